//! The platform's side of the wire as the soak plays it: names and formats, and no decision.

pub mod document;
pub mod entry;
pub mod settings;

/// The variable that holds where the settings are.
pub const SETTINGS_VARIABLE: &str = "WINGSHED_BOOT";
/// The header with the id of an attempt.
pub const ATTEMPT: &str = "x-attempt-id";
/// The header that names the life that is to run a request.
pub const EXPECTED_INSTANCE: &str = "x-expect-instance";
/// The header that says that a request did not run.
pub const NOT_RUN: &str = "x-not-executed";
/// The header that each whole answer carries.
pub const STAMP: &str = "x-response-stamp";
/// The header by which an upstream says that it leaves.
pub const LEAVING: &str = "server-leaving";
/// The header by which one that turns a request away requests for rest.
pub const RETRY_AFTER: &str = "retry-after";
/// Where configurations are put.
pub const PUT_DOCUMENT: &str = "/config/put";
