//! Which keeper a VM asks for a whole list of upstreams or a whole configuration.
//!
//! Every keeper holds both, and after a common restart every VM asks for them. A VM asks a keeper of
//! its own availability zone, so that only keepers fetch copies from other zones: bytes between zones
//! grow with the number of keepers, not of VMs. See `docs/design/whole-fleet.md`.

use super::vm_roster::RosterRow;

/// Who asks.
#[derive(Clone, Copy, Debug)]
pub struct NewsAsker {
    /// Its address as a number.
    pub id: u32,
    /// The hash of its availability zone's name.
    pub zone: u64,
}

/// The keeper to ask. The first attempt goes to one of the own zone. Every second attempt goes to any,
/// since the keepers of the zone may be lost or cut off. `rows` are in the order of their ids.
pub fn choose_source(
    keepers: &[u32],
    rows: &[RosterRow],
    asker: NewsAsker,
    attempt: u32,
    draw: u64,
) -> Option<u32> {
    let others = || keepers.iter().copied().filter(|id| *id != asker.id);
    let zone_of = |id: &u32| {
        let at = rows.binary_search_by_key(id, |row| row.id).ok()?;
        Some(rows[at].zone)
    };
    let near: Vec<u32> = others().filter(|id| zone_of(id) == Some(asker.zone)).collect();
    let asked = match near.is_empty() || attempt % 2 == 1 {
        true => others().collect(),
        false => near,
    };
    asked.get(draw as usize % asked.len().max(1)).copied()
}

/// Whether a VM asks the one that named a newer list in place of a keeper of its zone: a
/// leader does, to which no keeper can give more, and at each second attempt any VM that holds a list.
pub fn asks_holder(leads: bool, held: bool, attempt: u32) -> bool {
    leads || held && attempt % 2 == 1
}
