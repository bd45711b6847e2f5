//! Builds configurations in the format in which operators send them.

use serde_json::json;

use crate::ledger::DocumentRow;

/// Builds the configuration of a version. Each odd version has the route `moved` lead to another service than
/// each even one, and the newest key is number `keys_taken`, the number of revocations so far.
pub fn document(version: u64, keys_taken: u64) -> DocumentRow {
    let moved_to = if version % 2 == 0 { "s1" } else { "s2" };
    let keys = vec!["steady".to_string(), format!("key-{keys_taken}")];
    let route = |name: &str, kind: &str, service: &str, most: u32, resume: bool| {
        json!({
            "name": name, "host": "a.example", "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 4000, "goalMs": 300, "priority": 1, "service": service,
            "maxAttempts": most, "public": false, "sticky": false, "canResume": resume,
            "gapTargetMs": 300,
        })
    };
    let service = |name: &str| json!({"name": name, "healthPath": "/health", "maxConns": 200});
    let text = json!({
        "version": version,
        "routes": [
            route("once", "unsafe", "s1", 1, false), route("twice", "unsafe", "s1", 3, false),
            route("safe", "safe", "s1", 3, false), route("stream", "streaming", "s1", 2, false),
            route("resume", "streaming", "s1", 3, true),
            route("moved", "unsafe", moved_to, 2, false),
        ],
        "services": [service("s1"), service("s2")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [
            {"name": "t1", "apiKeys": [keys[0]]}, {"name": "t2", "apiKeys": [keys[1]]},
        ],
    });
    DocumentRow { version, moved_to: moved_to.to_string(), keys, text: text.to_string() }
}
