//! `wingshed keeper backup` against keepers whose answer is not a complete backup.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::Command;

/// Runs `wingshed keeper backup` against a keeper that sends `answer` on each connection. Returns
/// whether the command succeeded, what it printed on stderr, and whether it wrote the file.
fn run_backup(answer: &str) -> (bool, String, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = answer.to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    let folder = tempfile::tempdir().unwrap();
    let (connect, file) = (folder.path().join("connect.json"), folder.path().join("backup"));
    let text = format!(r#"{{ "keepers": ["{address}"], "operator": "ana", "key": "k" }}"#);
    std::fs::write(&connect, text).unwrap();

    let mut command = Command::new(env!("CARGO_BIN_EXE_wingshed"));
    command.arg("keeper").arg("--connect").arg(&connect).arg("backup").arg(&file);
    let output = command.output().unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.success(), stderr, file.exists())
}

#[test]
fn a_backup_that_breaks_off_is_not_written() {
    let (success, stderr, written) =
        run_backup("HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nthe first part");

    assert!(!success && !written, "{stderr}");
}

#[test]
fn a_refusal_is_not_written_as_a_backup() {
    let (success, stderr, written) =
        run_backup("HTTP/1.1 401 Unauthorized\r\ncontent-length: 2\r\n\r\n{}");

    assert!(!success && !written && stderr.contains("401"), "{stderr}");
}
