//! Seats: what the order of engines is computed from, in place of their lives.
//!
//! A life that takes another's place takes its seat (a restart that of its own address), so that the prompts that were kept
//! there move to one engine and no others change theirs. A new upstream waits a little
//! before it gets a seat of its own, since in a release the new one starts before the
//! old one leaves; a new engine waits until the others are in use ([`patient_services`]).
//! The leader seats; the rows carry it to the others. See
//! `docs/design/platform.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use super::upstream_load::UpstreamLoad;
use crate::state::fleet_record::RingSlotRow;
use crate::state::ids::UpstreamKey;
use crate::state::upstream_list::{UpstreamEntry, UpstreamList};

/// How long a new upstream waits for another to leave before it gets a seat of its own, in
/// milliseconds; a release starts the new one shortly before the old one leaves.
pub const WAIT_MS: u64 = 2500;
/// New engines get seats of their own from this part of the places in use on. Below it they wait for
/// a seat to become vacant: a new seat takes its share of all prompts from engines that keep them, and
/// each of those is moved or read anew for nothing, since there was room where it was.
const SEAT_FROM_PART: f64 = 0.25;

/// The services of engines whose new engines may wait for a vacant seat, since those with seats have
/// room: `places` is how many requests one engine of a service runs at once, `loads` what all VMs
/// have in flight. Where nothing is in flight nothing is kept, and none waits.
pub fn patient_services(
    list: &UpstreamList,
    loads: &[UpstreamLoad],
    places: impl Fn(&str) -> Option<u32>,
) -> BTreeSet<String> {
    let mut used: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    let loads: BTreeMap<UpstreamKey, u32> =
        loads.iter().map(|load| (load.upstream, load.requests)).collect();
    for (key, row) in list.entries.iter().filter(|(_, row)| row.ring_slot.is_some() && !row.leaving)
    {
        let (seated, requests) = used.entry(&row.service).or_default();
        *seated += 1;
        *requests += loads.get(key).copied().unwrap_or(0);
    }
    let patient = |(service, (seated, requests)): &(&str, (u32, u32))| {
        let all = f64::from(*seated) * f64::from(places(service).unwrap_or(0));
        *requests > 0 && f64::from(*requests) < SEAT_FROM_PART * all
    };
    used.into_iter().filter(patient).map(|(service, _)| service.to_string()).collect()
}

/// Who holds or last held each seat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeatTable {
    seats: BTreeMap<u64, RingSlotRow>,
}

impl SeatTable {
    /// The table of these rows.
    pub fn of(rows: &[RingSlotRow]) -> SeatTable {
        SeatTable { seats: rows.iter().map(|row| (row.ring_slot, row.clone())).collect() }
    }

    /// The rows, to record them.
    pub fn rows(&self) -> Vec<RingSlotRow> {
        self.seats.values().cloned().collect()
    }

    /// Gives the rows of a fresh list their seats; `list` is what was known before, `patient` the
    /// services whose new upstreams take vacant seats only.
    pub fn seat(
        &mut self,
        rows: &mut [UpstreamEntry],
        list: &UpstreamList,
        patient: &BTreeSet<String>,
        now_ms: u64,
    ) {
        let first_list = self.seats.is_empty();
        let held: BTreeMap<UpstreamKey, u64> =
            self.seats.values().map(|row| (row.holder, row.ring_slot)).collect();
        for row in rows.iter_mut() {
            let before = list.entries.get(&row.key()).and_then(|known| known.ring_slot);
            // One that leaves keeps the seat that another may have taken by now.
            row.ring_slot = held.get(&row.key()).copied().or(before.filter(|_| row.leaving));
        }
        let living: BTreeSet<UpstreamKey> =
            rows.iter().filter(|row| !row.leaving).map(UpstreamEntry::key).collect();
        let mut vacant = VacantSeats::of(self.seats.values(), &living);
        // Restarts first: a newcomer elsewhere would take the seat that is theirs.
        for row in rows.iter_mut().filter(|row| row.ring_slot.is_none() && row.takes_work()) {
            row.ring_slot = vacant.take_place(row);
            self.hold(row);
        }
        for row in rows.iter_mut().filter(|row| row.ring_slot.is_none() && row.takes_work()) {
            let seen_ms = list.first_seen_ms.get(&row.key()).copied().unwrap_or(now_ms);
            let waited = seen_ms + WAIT_MS <= now_ms && !patient.contains(&row.service);
            let own = first_list || waited;
            row.ring_slot = vacant.take_any(row).or_else(|| own.then(|| self.fresh_seat(row)));
            self.hold(row);
        }
    }

    fn hold(&mut self, row: &UpstreamEntry) {
        if let Some(seat) = row.ring_slot {
            let (service, address) = (row.service.clone(), row.address);
            self.seats
                .insert(seat, RingSlotRow { ring_slot: seat, service, address, holder: row.key() });
        }
    }

    /// A seat of its own: named by its address, so that a VM that knows nothing of earlier
    /// seats gives the same ones to all whose place is free.
    fn fresh_seat(&self, row: &UpstreamEntry) -> u64 {
        let mut seat = xxh3_64(row.address.to_string().as_bytes());
        while self.seats.contains_key(&seat) {
            seat = seat.wrapping_add(1);
        }
        seat
    }
}

/// The seats whose holders leave or are gone, found without a search for each upstream.
struct VacantSeats {
    by_service: BTreeMap<String, BTreeSet<u64>>,
    by_place: BTreeMap<(String, SocketAddr), u64>,
}

impl VacantSeats {
    fn of<'a>(
        seats: impl Iterator<Item = &'a RingSlotRow>,
        living: &BTreeSet<UpstreamKey>,
    ) -> VacantSeats {
        let mut vacant = VacantSeats { by_service: BTreeMap::new(), by_place: BTreeMap::new() };
        for row in seats.filter(|row| !living.contains(&row.holder)) {
            vacant.by_service.entry(row.service.clone()).or_default().insert(row.ring_slot);
            vacant.by_place.insert((row.service.clone(), row.address), row.ring_slot);
        }
        vacant
    }

    /// The seat of the same service at the same address: that of a restart.
    fn take_place(&mut self, row: &UpstreamEntry) -> Option<u64> {
        let seat = self.by_place.remove(&(row.service.clone(), row.address))?;
        self.by_service.get_mut(&row.service)?.remove(&seat).then_some(seat)
    }

    /// Any seat of the same service.
    fn take_any(&mut self, row: &UpstreamEntry) -> Option<u64> {
        self.by_service.get_mut(&row.service)?.pop_first()
    }
}
