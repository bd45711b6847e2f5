//! `wingshed rollout` and `wingshed zone` against a VM with scripted answers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::{Arc, Mutex};

/// The control address of a VM that sends scripted answers, one for each call, and records the
/// calls.
struct ScriptedVm {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<String>>>,
}

impl ScriptedVm {
    /// Starts the VM. The last answer is repeated for all later calls.
    fn start(answers: &[(u16, &str)]) -> ScriptedVm {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::new(Mutex::new(Vec::new()));
        let answers: Vec<(u16, String)> =
            answers.iter().map(|(status, body)| (*status, body.to_string())).collect();
        let recorded = calls.clone();
        std::thread::spawn(move || {
            for (at, stream) in listener.incoming().enumerate() {
                let Ok(mut stream) = stream else { return };
                recorded.lock().unwrap().push(read_call(&mut stream));
                let (status, body) = &answers[at.min(answers.len() - 1)];
                let length = body.len();
                let text = format!(
                    "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
                );
                let _ = stream.write_all(text.as_bytes());
            }
        });
        ScriptedVm { address, calls }
    }

    /// Returns the method, path and body of each call.
    fn calls(&self) -> Vec<String> {
        self.calls.lock().unwrap().clone()
    }
}

/// Reads one call and returns its method, path and body.
fn read_call(stream: &mut impl Read) -> String {
    let mut bytes = Vec::new();
    let mut piece = [0; 2048];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let lower = head.to_lowercase();
            let length = lower.lines().find_map(|line| line.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |length| length.trim().parse().unwrap()) {
                let line = head.lines().next().unwrap_or_default();
                return format!("{} {body}", line.trim_end_matches(" HTTP/1.1")).trim().to_string();
            }
        }
        match stream.read(&mut piece) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&piece[..count]),
            _ => return text,
        }
    }
}

/// Runs `wingshed` with the control addresses `at`, and returns its exit code and all that it
/// printed.
fn wingshed(arguments: &[&str], at: &[SocketAddr]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wingshed"));
    command.args(arguments);
    for address in at {
        command.args(["--at", &address.to_string()]);
    }
    let output = command.output().unwrap();
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    format!("exit {}\n{printed}{errors}", output.status.code().unwrap_or(-1))
}

/// Returns a roll-out in this phase, as a VM sends it.
fn rollout_row(phase: &str) -> String {
    format!(
        r#"{{"service":"s/1","number":3,"version":"v2","phase":"{phase}","granted_s":60.0,
            "spent_s":4.25,"sent_target":7,"sent_all":90}}"#
    )
}

#[test]
fn a_start_that_is_waited_for_succeeds_when_the_traffic_is_moved() {
    let (trial, shift, end) = (rollout_row("trial"), rollout_row("shift"), rollout_row("complete"));
    let vm = ScriptedVm::start(&[(200, &trial), (503, "?"), (200, &shift), (200, &end)]);

    let printed =
        wingshed(&["rollout", "start", "s/1", "v2", "--seconds", "60", "--wait"], &[vm.address]);

    insta::assert_snapshot!(printed, @r"
    exit 0
    service  number  version  phase     granted s  spent s  to target  all sent
    s/1      3       v2       complete  60.0       4.2      7          90
    wingshed: order 3 is in phase trial
    wingshed: order 3 is in phase shift
    ");
    let calls = vm.calls();
    assert_eq!(calls[0], r#"POST /v1/rollouts {"service":"s/1","version":"v2","seconds":60.0}"#);
    assert_eq!(calls[1], "GET /v1/rollouts/s%2F1");
}

#[test]
fn a_start_that_is_waited_for_fails_when_it_was_rolled_back() {
    let vm = ScriptedVm::start(&[(200, &rollout_row("trial")), (200, &rollout_row("rolled_back"))]);

    let printed =
        wingshed(&["rollout", "start", "s/1", "v2", "--seconds", "60", "--wait"], &[vm.address]);

    assert!(printed.starts_with("exit 1"), "{printed}");
    assert!(printed.contains("it was rolled back"), "{printed}");
}

#[test]
fn a_vm_that_is_not_sure_or_not_there_is_passed_over() {
    let absent = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let unsure = ScriptedVm::start(&[(503, "not known what holds")]);
    let vm = ScriptedVm::start(&[(200, &rollout_row("trial"))]);

    let printed = wingshed(&["rollout", "status", "s/1"], &[absent, unsure.address, vm.address]);

    assert!(printed.starts_with("exit 0"), "{printed}");
    assert_eq!(unsure.calls().len(), 1, "it was called once");
}

#[test]
fn no_answer_from_any_vm_names_what_each_said() {
    let unsure = ScriptedVm::start(&[(503, "not known what holds")]);

    let printed = wingshed(&["rollout", "list"], &[unsure.address]);

    assert!(printed.starts_with("exit 1"), "{printed}");
    let expected = format!("{}: status 503: not known what holds", unsure.address);
    assert!(printed.contains(&expected), "{printed}");
}

#[test]
fn a_refusal_is_told_and_no_other_vm_asked() {
    let vm = ScriptedVm::start(&[(409, "it is complete")]);
    let other = ScriptedVm::start(&[(200, "{}")]);

    let printed = wingshed(&["rollout", "abort", "s/1"], &[vm.address, other.address]);

    assert_eq!(printed, "exit 1\nwingshed: status 409: it is complete\n");
    assert_eq!(vm.calls(), ["DELETE /v1/rollouts/s%2F1"]);
    assert!(other.calls().is_empty());
}

#[test]
fn a_command_without_an_address_says_what_it_lacks() {
    let printed = wingshed(&["zone", "list"], &[]);

    assert_eq!(printed, "exit 1\nwingshed: name a VM's control address by --at HOST:PORT\n");
}

#[test]
fn an_evacuation_prints_how_the_zone_stands() {
    let zones = r#"[{"zone":"z-1","emptied":true,"number":3},
                    {"zone":"z-2","emptied":false,"number":0}]"#;
    let vm = ScriptedVm::start(&[(200, "{}"), (200, zones)]);

    let printed = wingshed(&["zone", "evacuate", "z-1"], &[vm.address]);

    insta::assert_snapshot!(printed, @r"
    exit 0
    zone  emptied  orders
    z-1   yes      3
    ");
    assert_eq!(vm.calls(), ["POST /v1/zones/z-1/empty", "GET /v1/zones"]);
}

#[test]
fn a_list_as_json_can_be_read_again() {
    let vm = ScriptedVm::start(&[(200, &format!("[{}]", rollout_row("trial")))]);

    let printed = wingshed(&["rollout", "list", "--json"], &[vm.address]);

    let rows: serde_json::Value = serde_json::from_str(&printed["exit 0\n".len()..]).unwrap();
    assert_eq!(rows[0]["sent_target"], 7, "{printed}");
}
