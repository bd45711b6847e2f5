//! The layers hold: a lower one never imports a higher one.

use std::fs;
use std::path::Path;

const LAYERS: [&str; 4] = ["state", "coordination", "protocol", "transport"];

#[test]
fn a_lower_layer_never_imports_a_higher_one() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut wrong = Vec::new();

    for (rank, layer) in LAYERS.iter().enumerate() {
        for entry in fs::read_dir(source.join(layer)).unwrap().flatten() {
            let text = fs::read_to_string(entry.path()).unwrap();
            for higher in &LAYERS[rank + 1..] {
                if text.contains(&format!("crate::{higher}")) {
                    wrong.push(format!("{} imports {higher}", entry.path().display()));
                }
            }
        }
    }

    assert!(wrong.is_empty(), "{wrong:#?}");
}
