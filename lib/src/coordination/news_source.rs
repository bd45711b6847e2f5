//! The choice of the keeper from which a VM requests a whole list of upstreams or a whole configuration.
//!
//! Every keeper holds both, and after a common restart every VM requests them. A VM prefers a keeper of
//! its own availability zone, so that only keepers fetch copies from other zones and the traffic between
//! zones grows with the number of keepers, not of VMs. See `docs/design/whole-fleet.md`.

use super::vm_roster::RosterRow;

/// The VM that sends the request.
#[derive(Clone, Copy, Debug)]
pub struct UpdateRequester {
    /// The VM's address as a number.
    pub id: u32,
    /// The hash of the name of the VM's availability zone.
    pub zone: u64,
}

/// Returns the keeper to send a request to, chosen by the random number `draw`. The first attempt goes to
/// a keeper of the VM's own zone. Every second attempt goes to any keeper, since those of the zone may be
/// lost or partitioned. `rows` must be sorted by id.
pub fn choose_source(
    keepers: &[u32],
    rows: &[RosterRow],
    requester: UpdateRequester,
    attempt: u32,
    draw: u64,
) -> Option<u32> {
    let others = || keepers.iter().copied().filter(|id| *id != requester.id);
    let zone_of = |id: &u32| {
        let at = rows.binary_search_by_key(id, |row| row.id).ok()?;
        Some(rows[at].zone)
    };
    let near: Vec<u32> = others().filter(|id| zone_of(id) == Some(requester.zone)).collect();
    let candidates = match near.is_empty() || attempt % 2 == 1 {
        true => others().collect(),
        false => near,
    };
    candidates.get(draw as usize % candidates.len().max(1)).copied()
}

/// Returns whether a VM requests a newer list from the VM that announced it instead of a keeper of its
/// zone. A leader always does, since no keeper has a newer list than it. Any VM that already holds a list
/// (`held`) does so at every second attempt.
pub fn requests_from_holder(leads: bool, held: bool, attempt: u32) -> bool {
    leads || held && attempt % 2 == 1
}
