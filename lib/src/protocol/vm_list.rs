//! The platform's list of VMs, with their status. The list lags behind the actual status.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::http::HttpCall;

/// The status of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmStatus {
    /// The VM is running.
    Live,
    /// The VM will be removed.
    Leaving,
}

/// An entry of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The address on which its server listens.
    pub address: SocketAddr,
    /// The status of the VM.
    pub state: VmStatus,
}

#[derive(Serialize, Deserialize)]
struct VmDocument {
    vms: Vec<serde_json::Value>,
}

/// The call for the list.
pub fn list_call() -> HttpCall {
    HttpCall::get("/vms")
}

/// Parses the list; returns the entries and the number of malformed ones, which are skipped.
pub fn read_list(body: &[u8]) -> Result<(Vec<VmEntry>, usize), String> {
    let document: VmDocument = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let total = document.vms.len();
    let read = document.vms.into_iter().filter_map(|value| serde_json::from_value(value).ok());
    let entries: Vec<VmEntry> = read.collect();
    let left_out = total - entries.len();
    Ok((entries, left_out))
}
