//! Where a stream of events began.
//!
//! Invariant: a stream has one origin, however often it is resumed, since the events of different
//! versions don't fit together. See `docs/design/stream-versions.md`.

use serde::{Deserialize, Serialize};

use super::ids::ServiceKey;
use super::rollout_order::VersionKey;

/// The service and the software version of the upstream that sent the first event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceKey,
    /// The version of its upstream.
    pub version: VersionKey,
}
