//! The platform's list of VMs: which are live and which are leaving. It lags.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::http::HttpCall;

/// How a VM stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmStatus {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Where its server listens.
    pub address: SocketAddr,
    /// How it stands.
    pub state: VmStatus,
}

#[derive(Serialize, Deserialize)]
struct VmDocument {
    vms: Vec<serde_json::Value>,
}

/// Asks for the list.
pub fn list_call() -> HttpCall {
    HttpCall::get("/vms")
}

/// Reads the list. A malformed entry is left out and counted: the rest still counts.
pub fn read_list(body: &[u8]) -> Result<(Vec<VmEntry>, usize), String> {
    let document: VmDocument = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let total = document.vms.len();
    let read = document.vms.into_iter().filter_map(|value| serde_json::from_value(value).ok());
    let entries: Vec<VmEntry> = read.collect();
    let left_out = total - entries.len();
    Ok((entries, left_out))
}
