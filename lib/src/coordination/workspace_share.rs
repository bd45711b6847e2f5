//! How much of a home's places one workspace may fill.
//!
//! A workspace that holds half of a home's places or more, while others have asked there
//! lately, may fill only three quarters of each engine. So a surge leaves places free at
//! once for the others, instead of making each of them wait for an end. A workspace that is
//! alone may fill all. See `docs/design/fairness.md`.

use std::collections::HashMap;

use crate::state::ids::{FleetKey, WorkspaceKey};

/// For how long a workspace counts as present after it asked, in milliseconds.
pub const PRESENT_MS: u64 = 5000;

#[derive(Clone, Copy, Debug, Default)]
struct WorkspacePresence {
    in_flight: u32,
    asked_ms: u64,
}

/// The workspaces present at one home.
#[derive(Clone, Debug, Default)]
pub struct ShareTable {
    present: HashMap<(FleetKey, WorkspaceKey), WorkspacePresence>,
}

impl ShareTable {
    /// A workspace asks for a place.
    pub fn ask(&mut self, fleet: FleetKey, workspace: WorkspaceKey, now_ms: u64) {
        self.present.entry((fleet, workspace)).or_default().asked_ms = now_ms;
    }

    /// It was given one.
    pub fn enter(&mut self, fleet: FleetKey, workspace: WorkspaceKey) {
        self.present.entry((fleet, workspace)).or_default().in_flight += 1;
    }

    /// It gave one back.
    pub fn leave(&mut self, fleet: FleetKey, workspace: WorkspaceKey) {
        if let Some(presence) = self.present.get_mut(&(fleet, workspace)) {
            presence.in_flight = presence.in_flight.saturating_sub(1);
        }
    }

    /// Forgets those that are gone.
    pub fn expire(&mut self, now_ms: u64) {
        self.present.retain(|_, p| p.in_flight > 0 || now_ms < p.asked_ms + PRESENT_MS);
    }

    /// Whether a workspace holds half of the home's `places` while others are present.
    pub fn is_heavy(
        &self,
        fleet: FleetKey,
        workspace: WorkspaceKey,
        places: u32,
        now_ms: u64,
    ) -> bool {
        let held = self.present.get(&(fleet, workspace)).map_or(0, |p| p.in_flight);
        if held * 2 < places {
            return false;
        }
        self.present.iter().any(|((other_fleet, other), presence)| {
            *other_fleet == fleet && *other != workspace && now_ms < presence.asked_ms + PRESENT_MS
        })
    }
}
