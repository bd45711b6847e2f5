//! Entries of the list of upstreams.

use serde_json::{json, Value};

use crate::list::ListRow;

/// An entry.
pub fn entry(row: &ListRow) -> Value {
    json!({
        "id": row.id, "service": row.place.service, "zone": row.place.zone,
        "address": row.place.listed.to_string(), "version": row.version, "slots": 32,
        "born": row.born_ms, "coldLeftMs": 0,
        "state": if row.leaving { "draining" } else { "ready" },
    })
}
