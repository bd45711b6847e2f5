//! One VM's state of availability zones and of cold upstreams; see `docs/design/zones.md`.

use super::cold_share::ColdSends;
use super::zone_watch::ZoneWatch;

/// The orders that a VM received about zones, and what it sent to cold upstreams.
#[derive(Default)]
pub struct ZoneState {
    /// The orders about zones.
    pub watch: ZoneWatch,
    /// The requests sent to cold upstreams.
    pub cold: ColdSends,
}
