//! What one VM holds of zones and of cold upstreams; see `docs/design/zones.md`.

use super::cold_share::ColdSends;
use super::zone_watch::ZoneWatch;

/// What a VM knows of zones, and what it sent to cold upstreams.
#[derive(Default)]
pub struct ZoneDesk {
    /// The orders.
    pub watch: ZoneWatch,
    /// What it sent to cold upstreams.
    pub cold: ColdSends,
}
