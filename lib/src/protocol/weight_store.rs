//! The platform's weight store, which limits how many loads run at the same time.

use serde::{Deserialize, Serialize};

use super::http::HttpCall;

/// The state that the store reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreState {
    /// The most loads that it runs at the same time.
    #[serde(rename = "most_loads")]
    pub max_loads: usize,
    /// The number of loads that are running.
    pub loads: usize,
}

/// The call for the state of the store.
pub fn state_call() -> HttpCall {
    HttpCall::get("/weights/state")
}

/// Parses the state of the store.
pub fn read_state(body: &[u8]) -> Result<StoreState, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}
