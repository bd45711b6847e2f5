//! The layers of the crate: a lower one never imports a higher one, and the files of a layer import
//! each other without cycles.

use std::collections::{BTreeMap, BTreeSet};
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

/// Import cycles that exist, by their files. A new one fails the test; a removed one is deleted here.
const KNOWN_CYCLES: [&[&str]; 3] = [
    &["home", "load_spread", "placement"],
    &["keeper_node", "keeper_operator"],
    &[
        "router_engines",
        "router_forward",
        "router_place",
        "router_plain",
        "router_serve",
        "router_status",
    ],
];

/// The files of a layer, each with the files of the layer that it imports.
fn imports(layer: &str) -> BTreeMap<String, BTreeSet<String>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src").join(layer);
    let texts: BTreeMap<String, String> = fs::read_dir(folder)
        .unwrap()
        .flatten()
        .map(|entry| {
            let name = entry.path().file_stem().unwrap().to_string_lossy().into_owned();
            (name, fs::read_to_string(entry.path()).unwrap())
        })
        .filter(|(name, _)| name != "mod")
        .collect();
    let imported = |text: &str, name: &str| {
        let paths = [format!("super::{name}"), format!("crate::{layer}::{name}")];
        let ends = |rest: &str| !rest.starts_with(|c: char| c == '_' || c.is_alphanumeric());
        let found = |path: &String| text.split(path.as_str()).skip(1).any(ends);
        paths.iter().any(found)
    };
    let of = |text: &str| texts.keys().filter(|name| imported(text, name)).cloned().collect();
    texts.iter().map(|(name, text)| (name.clone(), of(text))).collect()
}

/// All files that a file imports directly or indirectly.
fn reached(imports: &BTreeMap<String, BTreeSet<String>>, from: &str) -> BTreeSet<String> {
    let (mut seen, mut pending) = (BTreeSet::new(), vec![from.to_string()]);
    while let Some(name) = pending.pop() {
        let added = imports[&name].iter().filter(|other| **other != name && !seen.contains(*other));
        let added: Vec<String> = added.cloned().collect();
        seen.extend(added.iter().cloned());
        pending.extend(added);
    }
    seen
}

#[test]
fn files_of_a_layer_import_each_other_without_a_new_loop() {
    let mut cycles = BTreeSet::new();
    for layer in LAYERS {
        let imports = imports(layer);
        let reaches: BTreeMap<&String, BTreeSet<String>> =
            imports.keys().map(|name| (name, reached(&imports, name))).collect();
        for name in imports.keys().filter(|name| reaches[name].contains(*name)) {
            let both =
                |other: &&String| reaches[name].contains(*other) && reaches[other].contains(name);
            let around: Vec<String> = imports.keys().filter(both).cloned().collect();
            cycles.insert(around);
        }
    }

    let known: BTreeSet<Vec<String>> = KNOWN_CYCLES
        .iter()
        .map(|names| names.iter().map(|name| name.to_string()).collect())
        .collect();

    assert_eq!(cycles, known);
}
