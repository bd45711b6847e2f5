//! The names and formats that the soak uses on the wire to the VMs, in place of the platform.

pub mod document;
pub mod entry;
pub mod settings;

/// The environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "WINGSHED_BOOT";
/// The header with the id of an attempt.
pub const ATTEMPT: &str = "x-attempt-id";
/// The header with the id of the incarnation that is to run a request.
pub const EXPECTED_INSTANCE: &str = "x-expect-instance";
/// The header which states that a request did not run.
pub const NOT_RUN: &str = "x-not-executed";
/// The header of each answer to a request that ran.
pub const STAMP: &str = "x-response-stamp";
/// The header with the id of the last event that a caller has received.
pub const LAST_EVENT: &str = "last-event-id";
/// The header in which a caller that resumes a stream names the attempt that brought its first event.
pub const RESUMES: &str = "resumes";
/// The header in which a caller names the parts of its prompt.
pub const PROMPT: &str = "x-prompt-prefix";
/// The header in which an upstream announces how many requests it may reject per second.
pub const BRITTLE: &str = "server-brittle";
/// The header by which an upstream announces that it leaves.
pub const LEAVING: &str = "server-leaving";
/// The header by which an upstream that refuses a request requests back-off, in seconds.
pub const RETRY_AFTER: &str = "retry-after";
/// The path to which configurations are posted.
pub const PUT_DOCUMENT: &str = "/config/put";
