//! Builds entries of the list of upstreams in the format of the platform.

use serde_json::{json, Value};

use crate::list::ListRow;

/// Builds the entry of a row of the list.
pub fn entry(row: &ListRow) -> Value {
    json!({
        "id": row.id, "service": row.spec.service, "zone": row.spec.zone,
        "address": row.spec.listed.to_string(), "version": row.version, "slots": 32,
        "born": row.started_ms, "coldLeftMs": 0,
        "state": if row.leaving { "draining" } else { "ready" },
    })
}
