//! What one VM holds of silent upstreams; see `docs/design/silence.md`.

use super::silence::{SilenceTable, SilenceView};
use crate::state::ids::UpstreamKey;

/// What a VM knows of silent upstreams, and what all reported while it leads.
#[derive(Default)]
pub struct SilenceDesk {
    /// What it knows.
    pub view: SilenceView,
    /// What it received as the leader.
    pub table: SilenceTable,
    /// What it published last as the leader.
    pub published: Vec<UpstreamKey>,
    /// When it last renewed for a doubt.
    pub renewed_ms: u64,
}
