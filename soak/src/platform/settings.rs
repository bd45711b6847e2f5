//! Builds the settings file of a VM in the format of the platform.

use serde_json::{json, Value};

use crate::process::{
    VmSpec, CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, LAST_PORT, PEER_PORT, READY_PORT,
};

/// Builds the settings of a VM; `first` is true at its first start in a run, and `change` makes the settings
/// differ from earlier ones.
pub fn settings(spec: &VmSpec, first: bool, change: u64) -> Value {
    let ip = &spec.ip;
    let data = spec.folder.join("data");
    json!({
        "node": format!("vm-{}", spec.index), "ip": ip,
        "zone": format!("z-{}", spec.index % 3),
        "listen": {
            "front": format!("{ip}:{FRONT_PORT}"), "ready": format!("{ip}:{READY_PORT}"),
            "control": format!("{ip}:{CONTROL_PORT}"),
            "directory": format!("{ip}:{DIRECTORY_PORT}"),
        },
        "zones": {"z-0": "r", "z-1": "r", "z-2": "r"},
        "portRange": [PEER_PORT + spec.index as u16, LAST_PORT], "seeds": spec.seeds, "bootstrap": first,
        "dataDir": spec.disk.then_some(data), "tolerate": {"machines": 1},
        "bounds": {
            "revokeMs": 5000, "drainMs": 4000, "configApplyMs": 2500, "graceS": 8,
            "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 60 + change % 7,
            "exposeShare": 0.1, "exposeSlack": 50,
        },
        "cloud": {"address": spec.list, "ratePerS": 50, "maxLagMs": 300},
    })
}
