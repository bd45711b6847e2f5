//! One VM's state of unresponsive upstreams; see `docs/design/silence.md`.

use super::silence::{SilenceTable, SilenceView};
use crate::state::ids::UpstreamKey;

/// A VM's view of unresponsive upstreams, and the table of all VMs' reports while it leads.
#[derive(Default)]
pub struct SilenceState {
    /// The VM's own view.
    pub view: SilenceView,
    /// The reports that it received as the leader.
    pub table: SilenceTable,
    /// The set that it published last as the leader.
    pub published: Vec<UpstreamKey>,
    /// When it last sent a renewal to report a suspicion.
    pub renewed_ms: u64,
}
