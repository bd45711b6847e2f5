//! Ring slots: the stable values from which the order of engines is computed, in place of their
//! incarnations.
//!
//! An incarnation that replaces another takes its ring slot (after a restart, the ring slot of its
//! own address), so that the prompts that were cached there move to one engine and all other
//! prompts stay where they are. A new upstream waits a little before it gets a ring slot of its
//! own, because in a release the new upstream starts before the old one leaves; a new engine waits
//! until the others are in use ([`waiting_services`]). The leader assigns the ring slots, and the
//! rows carry them to the other VMs. See `docs/design/platform.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use super::upstream_load::UpstreamLoad;
use crate::state::fleet_record::RingSlotRow;
use crate::state::ids::UpstreamKey;
use crate::state::upstream_list::{UpstreamEntry, UpstreamList};

/// How long a new upstream waits for another to leave before it gets a ring slot of its own, in
/// milliseconds. A release starts the new upstream shortly before the old one leaves.
pub const VACANCY_WAIT_MS: u64 = 2500;
/// The fraction of the request slots in use from which new engines get ring slots of their own.
/// Below it they wait for a ring slot to become vacant: a new ring slot takes its share of all
/// prompts from the engines that have them cached, and each of those prompts would be moved or read
/// again needlessly, because its engine had capacity for it.
const NEW_SLOT_USED_FRACTION: f64 = 0.25;

/// The services whose new engines may wait for a vacant ring slot, because the engines that have
/// one have capacity. `slots` gives how many requests one engine of a service runs at once, and
/// `loads` what all VMs have in flight. A service without requests in flight has nothing cached, so
/// its engines don't wait.
pub fn waiting_services(
    list: &UpstreamList,
    loads: &[UpstreamLoad],
    slots: impl Fn(&str) -> Option<u32>,
) -> BTreeSet<String> {
    let mut used: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    let loads: BTreeMap<UpstreamKey, u32> =
        loads.iter().map(|load| (load.upstream, load.requests)).collect();
    for (key, row) in list.entries.iter().filter(|(_, row)| row.ring_slot.is_some() && !row.leaving)
    {
        let (engines, requests) = used.entry(&row.service).or_default();
        *engines += 1;
        *requests += loads.get(key).copied().unwrap_or(0);
    }
    let waiting = |(service, (engines, requests)): &(&str, (u32, u32))| {
        let all = f64::from(*engines) * f64::from(slots(service).unwrap_or(0));
        *requests > 0 && f64::from(*requests) < NEW_SLOT_USED_FRACTION * all
    };
    used.into_iter().filter(waiting).map(|(service, _)| service.to_string()).collect()
}

/// The present or last holder of each ring slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RingSlotTable {
    slots: BTreeMap<u64, RingSlotRow>,
}

impl RingSlotTable {
    /// The table with these rows.
    pub fn of(rows: &[RingSlotRow]) -> RingSlotTable {
        RingSlotTable { slots: rows.iter().map(|row| (row.ring_slot, row.clone())).collect() }
    }

    /// The rows, for the durable record.
    pub fn rows(&self) -> Vec<RingSlotRow> {
        self.slots.values().cloned().collect()
    }

    /// Assigns ring slots to the rows of a new list. `list` is the previous list, and new upstreams
    /// of the services in `waiting` get vacant ring slots only.
    pub fn assign(
        &mut self,
        rows: &mut [UpstreamEntry],
        list: &UpstreamList,
        waiting: &BTreeSet<String>,
        now_ms: u64,
    ) {
        let first_list = self.slots.is_empty();
        let held: BTreeMap<UpstreamKey, u64> =
            self.slots.values().map(|row| (row.holder, row.ring_slot)).collect();
        for row in rows.iter_mut() {
            let before = list.entries.get(&row.key()).and_then(|known| known.ring_slot);
            // A leaving upstream keeps its ring slot, although another may have taken it by now.
            row.ring_slot = held.get(&row.key()).copied().or(before.filter(|_| row.leaving));
        }
        let living: BTreeSet<UpstreamKey> =
            rows.iter().filter(|row| !row.leaving).map(UpstreamEntry::key).collect();
        let mut vacant = VacantSlots::of(self.slots.values(), &living);
        // Restarts come first, because a new upstream at another address would take their ring
        // slots.
        for row in rows.iter_mut().filter(|row| row.ring_slot.is_none() && row.takes_work()) {
            row.ring_slot = vacant.take_place(row);
            self.hold(row);
        }
        for row in rows.iter_mut().filter(|row| row.ring_slot.is_none() && row.takes_work()) {
            let seen_ms = list.first_seen_ms.get(&row.key()).copied().unwrap_or(now_ms);
            let waited = seen_ms + VACANCY_WAIT_MS <= now_ms && !waiting.contains(&row.service);
            let own = first_list || waited;
            row.ring_slot = vacant.take_any(row).or_else(|| own.then(|| self.new_ring_slot(row)));
            self.hold(row);
        }
    }

    /// Records the row's upstream as the holder of its ring slot.
    fn hold(&mut self, row: &UpstreamEntry) {
        if let Some(ring_slot) = row.ring_slot {
            let (service, address) = (row.service.clone(), row.address);
            self.slots
                .insert(ring_slot, RingSlotRow { ring_slot, service, address, holder: row.key() });
        }
    }

    /// A new ring slot, computed from the address, so that a VM without a record of earlier ring
    /// slots gives the same ones to all upstreams whose ring slot is free.
    fn new_ring_slot(&self, row: &UpstreamEntry) -> u64 {
        let mut ring_slot = xxh3_64(row.address.to_string().as_bytes());
        while self.slots.contains_key(&ring_slot) {
            ring_slot = ring_slot.wrapping_add(1);
        }
        ring_slot
    }
}

/// The ring slots whose holders are leaving or gone, indexed so that none is searched for.
struct VacantSlots {
    by_service: BTreeMap<String, BTreeSet<u64>>,
    by_place: BTreeMap<(String, SocketAddr), u64>,
}

impl VacantSlots {
    fn of<'a>(
        slots: impl Iterator<Item = &'a RingSlotRow>,
        living: &BTreeSet<UpstreamKey>,
    ) -> VacantSlots {
        let mut vacant = VacantSlots { by_service: BTreeMap::new(), by_place: BTreeMap::new() };
        for row in slots.filter(|row| !living.contains(&row.holder)) {
            vacant.by_service.entry(row.service.clone()).or_default().insert(row.ring_slot);
            vacant.by_place.insert((row.service.clone(), row.address), row.ring_slot);
        }
        vacant
    }

    /// The ring slot of the same service at the same address, which belongs to a restarted
    /// upstream.
    fn take_place(&mut self, row: &UpstreamEntry) -> Option<u64> {
        let ring_slot = self.by_place.remove(&(row.service.clone(), row.address))?;
        self.by_service.get_mut(&row.service)?.remove(&ring_slot).then_some(ring_slot)
    }

    /// Any vacant ring slot of the same service.
    fn take_any(&mut self, row: &UpstreamEntry) -> Option<u64> {
        self.by_service.get_mut(&row.service)?.pop_first()
    }
}
