//! Limits the fraction of a home's slots that one workspace may fill.
//!
//! A workspace that holds half of a home's slots or more, while others have sent requests there
//! lately, may fill only three quarters of each engine. A surge then leaves slots that are free for
//! the others at once, so that they don't have to wait for a request to end. A workspace that is
//! alone may fill all slots. See `docs/design/fairness.md`.

use std::collections::HashMap;

use crate::state::ids::{FleetKey, WorkspaceKey};

/// How long a workspace counts as present after its last request, in milliseconds.
pub const PRESENCE_MS: u64 = 5000;

#[derive(Clone, Copy, Debug, Default)]
struct WorkspacePresence {
    in_flight: u32,
    asked_ms: u64,
}

/// The workspaces that are present at one home.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    present: HashMap<(FleetKey, WorkspaceKey), WorkspacePresence>,
}

impl ShareTable {
    /// Records that a workspace requests a slot.
    pub fn note_request(&mut self, fleet: FleetKey, workspace: WorkspaceKey, now_ms: u64) {
        self.present.entry((fleet, workspace)).or_default().asked_ms = now_ms;
    }

    /// Records that a workspace was given a slot.
    pub fn enter(&mut self, fleet: FleetKey, workspace: WorkspaceKey) {
        self.present.entry((fleet, workspace)).or_default().in_flight += 1;
    }

    /// Records that a workspace returned a slot.
    pub fn leave(&mut self, fleet: FleetKey, workspace: WorkspaceKey) {
        if let Some(presence) = self.present.get_mut(&(fleet, workspace)) {
            presence.in_flight = presence.in_flight.saturating_sub(1);
        }
    }

    /// Removes workspaces that are no longer present.
    pub fn expire(&mut self, now_ms: u64) {
        self.present.retain(|_, p| p.in_flight > 0 || now_ms < p.asked_ms + PRESENCE_MS);
    }

    /// Whether a workspace holds at least half of the home's `slots` while others are present.
    pub fn is_heavy(
        &self,
        fleet: FleetKey,
        workspace: WorkspaceKey,
        slots: u32,
        now_ms: u64,
    ) -> bool {
        let held = self.present.get(&(fleet, workspace)).map_or(0, |p| p.in_flight);
        if held * 2 < slots {
            return false;
        }
        self.present.iter().any(|((other_fleet, other), presence)| {
            *other_fleet == fleet && *other != workspace && now_ms < presence.asked_ms + PRESENCE_MS
        })
    }
}
