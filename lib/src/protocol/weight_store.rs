//! The platform's weight store: how many loads it takes at once.

use serde::{Deserialize, Serialize};

use super::http::HttpCall;

/// What the store reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreState {
    /// Loads that it takes at once.
    #[serde(rename = "most_loads")]
    pub max_loads: usize,
    /// Loads that run.
    pub loads: usize,
}

/// Asks how the store stands.
pub fn state_call() -> HttpCall {
    HttpCall::get("/weights/state")
}

/// Reads the store's answer.
pub fn read_state(body: &[u8]) -> Result<StoreState, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}
