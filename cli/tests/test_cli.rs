//! Checks what the commands print against snapshots, and that the examples are valid.

use std::path::{Path, PathBuf};
use std::process::Command;

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples")
}

/// Runs `wingshed` and returns its exit code and all that it printed.
fn wingshed(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_wingshed")).args(arguments).output().unwrap();
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    format!("exit {}\n{printed}{errors}", output.status.code().unwrap_or(-1))
}

/// Writes a file into a new temporary folder, and returns the folder and the path of the file.
fn write_file(name: &str, text: &str) -> (tempfile::TempDir, String) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(name);
    std::fs::write(&path, text).unwrap();
    let path = path.to_string_lossy().into_owned();
    (folder, path)
}

#[test]
fn every_example_is_good() {
    let mut files = Vec::new();
    for deployment in ["hotare", "campanario"] {
        let root = examples().join(deployment);
        files.push(root.join("configuration.json"));
        let settings = std::fs::read_dir(root.join("settings")).unwrap().flatten();
        files.extend(settings.map(|entry| entry.path()));
    }
    let names: Vec<String> = files.iter().map(|file| file.to_string_lossy().into_owned()).collect();
    let mut arguments = vec!["check"];
    arguments.extend(names.iter().map(String::as_str));

    let printed = wingshed(&arguments);

    assert!(printed.starts_with("exit 0"), "{printed}");
    assert_eq!(printed.matches(": a good ").count(), 32);
}

#[test]
fn every_policy_case_of_the_examples_comes_out() {
    for deployment in ["hotare", "campanario"] {
        let path = examples().join(deployment).join("policy-cases.json");
        let printed = wingshed(&["policy", "test", &path.to_string_lossy()]);
        assert!(printed.starts_with("exit 0") && printed.matches(": ok").count() == 6, "{printed}");
    }
}

#[test]
fn check_prints_every_finding_with_its_place() {
    let text = r#"{
  "role": "router",
  "id": 0,
  "zone": "",
  "adress": "127.0.0.1:1",
  "keepers": [
    { "id": 1, "address": "127.0.0.1:2" },
    { "id": 1, "address": "keeper:2" }
  ],
  "fleet_key": "short",
  "limits": { "drain_ms": 1000, "in_flight": 0 }
}"#;
    let (folder, path) = write_file("router.json", text);

    let printed = wingshed(&["check", &path]);

    let printed = printed.replace(&*folder.path().to_string_lossy(), "FOLDER");
    insta::assert_snapshot!(printed);
}

#[test]
fn check_of_a_configuration_names_doubled_keys_and_broken_policies() {
    let text = r#"{
  "fleets": { "f": { "kind": "engine" }, "f": { "kind": "plain" } },
  "upstreams": {
    "a": { "fleet": "f", "address": "127.0.0.1:9", "zone": "z" },
    "b": { "fleet": "g", "address": "127.0.0.1:9", "zone": "z" }
  },
  "policies": {
    "p": { "source": "let a = 1;\nif {" },
    "q": { "source_file": "absent.rhai" }
  }
}"#;
    let (folder, path) = write_file("configuration.json", text);

    let printed = wingshed(&["check", &path]);

    let printed = printed.replace(&*folder.path().to_string_lossy(), "FOLDER");
    insta::assert_snapshot!(printed);
}

#[test]
fn a_policy_case_that_misses_is_told() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("p.rhai"), "#{ fleet: \"f\", class: \"live\" }").unwrap();
    let cases = r#"{ "policy": "p.rhai", "cases": [
        { "name": "hit", "expect": { "fleet": "f" } },
        { "name": "miss", "expect": { "class": "batch", "run_once": true } }
    ] }"#;
    let path = folder.path().join("cases.json");
    std::fs::write(&path, cases).unwrap();

    let printed = wingshed(&["policy", "test", &path.to_string_lossy()]);

    let printed = printed.replace(&*folder.path().to_string_lossy(), "FOLDER");
    insta::assert_snapshot!(printed);
}

#[test]
fn a_trace_that_is_no_trace_is_refused_with_its_lines() {
    let (folder, path) = write_file("bad.jsonl", "{\"at\": 0}\nnot json\n");

    let printed = wingshed(&["replay", &path]);

    let printed = printed.replace(&*folder.path().to_string_lossy(), "FOLDER");
    insta::assert_snapshot!(printed);
}

#[test]
fn check_reads_the_files_of_the_platform() {
    let fixtures = Path::new(env!("CARGO_MANIFEST_DIR")).join("../platform/tests/fixtures");
    let file = |name: &str| fixtures.join(name).to_string_lossy().into_owned();
    let good = wingshed(&["check", "--platform", &file("settings.json"), &file("document.json")]);
    assert!(good.starts_with("exit 0"), "{good}");
    assert!(good.contains("a good settings file of the platform."), "{good}");
    assert!(good.contains("a good configuration of the platform."), "{good}");

    let bad = wingshed(&["check", "--platform", &file("bad-settings.json")]);
    let printed: Vec<&str> = bad.lines().filter_map(|line| line.split(".json: ").nth(1)).collect();
    insta::assert_snapshot!(printed.join("\n"), @r"
    $.node: is empty
    $.portRange: is no range of ports
    $.listen.ready: is the same as 'front'
    ");
}

#[test]
fn explain_tells_the_story_of_a_request() {
    let log = r#"
  -1.0000 vm-a {"level":"INFO","message":"in force","version":4,"routes":2,"target":"routes"}
   4.0000 vm-b {"level":"INFO","message":"broken","life":"i-1","attempt":"x2","aside":false,"target":"upstream"}
   4.5000 vm-a {"level":"INFO","message":"leads no more","term":3,"target":"keeper"}
   5.0000 vm-a {"level":"INFO","message":"broken","life":"i-1","attempt":"x1","aside":true,"target":"upstream"}
   5.0010 vm-a {"level":"INFO","message":"failed: broken","sent":1,"attempt":"x1","target":"request"}
"#;
    let (_folder, path) = write_file("day.log", log);

    insta::assert_snapshot!(wingshed(&["explain", "--attempt", "x1", &path]));
}

#[test]
fn explain_says_what_it_lacks() {
    let (_folder, path) = write_file("day.log", "no log line");

    let neither = wingshed(&["explain", &path]);
    let nothing = wingshed(&["explain", "--attempt", "x1", &path]);

    assert!(neither.starts_with("exit 1") && neither.contains("name an --attempt"), "{neither}");
    assert!(nothing.contains("1 lines are no log lines"), "{nothing}");
    assert!(nothing.contains("a request that went as it should leaves none"), "{nothing}");
}
