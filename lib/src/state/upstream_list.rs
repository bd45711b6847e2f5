//! The list of upstreams, as read from the platform or received from another VM.
//!
//! Leaving is sticky for an incarnation: an older list can't revert it. An upstream that starts
//! again under the same name is another incarnation with another key, so that no state recorded for
//! the earlier one is applied to it; see `docs/design/identity.md`.
//!
//! Each state of the list has a revision, and VMs with the same revision hold the same rows, so
//! that a change can be sent without the other rows. Revisions are totally ordered, whichever VM
//! read the state, and a list is never replaced by one of a lower revision. The age of a state is
//! computed from [`UpstreamList::confirmed_ms`], which only a read or a confirmation by another VM
//! raises. See `docs/design/fleet-news.md`.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ids::{ServiceKey, UpstreamKey};
use super::rollout_order::VersionKey;
use super::version_history::VersionHistory;

/// What the list leaves undetermined about an upstream. Unlike leaving it is not sticky: the next
/// list that can be read in full clears it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryDefect {
    /// Nothing that keeps new work away from it.
    #[default]
    None,
    /// Whether it takes work is undetermined, since its state is not a known one.
    State,
    /// It was listed before, and its entry can't be read any more.
    Unread,
}

/// One incarnation of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The name under which it is listed. Another incarnation under the same name has another
    /// `started_ms`.
    pub name: String,
    /// The service that it belongs to.
    pub service: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is leaving, that is, takes no new work.
    pub leaving: bool,
    /// Its ring slot, that is, its position in the rendezvous order of engines; an incarnation that
    /// replaces another takes over its slot.
    pub ring_slot: Option<u64>,
    /// Whether it started or came back recently and can bear only little load yet.
    #[serde(default)]
    pub cold: bool,
    /// The version that it runs.
    #[serde(default)]
    pub version: VersionKey,
    /// When it started, in Unix milliseconds; `None` if the list doesn't give it.
    #[serde(default)]
    pub started_ms: Option<u64>,
    /// What the list leaves undetermined about it; unless this is [`EntryDefect::None`],
    /// it gets no new work.
    #[serde(default)]
    pub defect: EntryDefect,
}

impl UpstreamEntry {
    /// The key of this incarnation.
    pub fn key(&self) -> UpstreamKey {
        UpstreamKey::of_start(&self.name, self.started_ms)
    }

    /// Whether it takes new work according to the list.
    pub fn takes_work(&self) -> bool {
        !self.leaving && self.defect == EntryDefect::None
    }
}

/// Identifies one state of the list. The fields are in the order of comparison: a read by a leader
/// of a later term wins, then the read that follows more changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListRevision {
    /// The term of the leader that read it; for a read without a leader, the term of the state
    /// before it.
    pub term: u64,
    /// Rises with each change; 0 before the first.
    pub change: u64,
    /// The VM that read it. It makes the revisions of two VMs that read without a leader, starting
    /// from the same state, distinct.
    pub reader: u32,
}

/// The difference between an earlier and a later state of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChange {
    /// Rows that were added or changed.
    pub rows: Vec<UpstreamEntry>,
    /// Incarnations that are no longer on the list.
    pub removed: Vec<UpstreamKey>,
}

impl ListChange {
    /// Whether the two states are equal.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.removed.is_empty()
    }

    /// Appends the change that follows this one.
    fn join(&mut self, next: &ListChange) {
        let named: HashSet<UpstreamKey> =
            next.rows.iter().map(UpstreamEntry::key).chain(next.removed.iter().copied()).collect();
        self.rows.retain(|row| !named.contains(&row.key()));
        self.removed.retain(|key| !named.contains(key));
        self.rows.extend_from_slice(&next.rows);
        self.removed.extend_from_slice(&next.removed);
    }
}

/// A change of the list from one revision to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta {
    /// The revision before.
    pub from: ListRevision,
    /// The revision after.
    pub to: ListRevision,
    /// The rows that differ.
    pub change: ListChange,
}

/// Deltas that are kept for VMs that missed some. A VM that missed more receives the whole list.
const DELTAS_KEPT: usize = 32;

/// All upstreams that a VM has in its list.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    /// The rows by key.
    pub entries: BTreeMap<UpstreamKey, UpstreamEntry>,
    /// When each of them was first listed on this VM, in milliseconds of the VM's steady clock.
    pub first_seen_ms: BTreeMap<UpstreamKey, u64>,
    /// When this was last confirmed to be the platform's list, in milliseconds of the VM's steady
    /// clock; 0 when it never was, as for a list loaded from disk.
    pub confirmed_ms: u64,
    /// The revision of this state.
    pub revision: ListRevision,
    /// How many incarnations were replaced by later ones under the same name.
    pub replaced: u64,
    /// The names of the incarnations that the last change replaced.
    pub last_replaced: Vec<String>,
    /// The versions that the services have and had.
    pub versions: VersionHistory,
    /// The highest change number received in any revision. A leader that counted on from its own
    /// number alone would send revisions that other VMs have already passed, and they would reject
    /// its list.
    highest_change: u64,
    leaving: HashSet<UpstreamKey>,
    deltas: VecDeque<ListDelta>,
}

impl UpstreamList {
    /// Whether a list has been read or received.
    pub fn is_loaded(&self) -> bool {
        self.revision.change > 0
    }

    /// Replaces the rows by a list that VM `reader` read beginning at `began_ms`, as the leader of
    /// `term`, or without a leader when `term` is `None`. Returns the delta to send to the other
    /// VMs, if any. A new leader's first delta starts at the revision that the last leader sent.
    pub fn update_from_read(
        &mut self,
        rows: Vec<UpstreamEntry>,
        term: Option<u64>,
        reader: u32,
        began_ms: u64,
    ) -> Option<ListDelta> {
        let change = self.replace(rows, began_ms);
        self.confirmed_ms = self.confirmed_ms.max(began_ms);
        let term = term.unwrap_or(self.revision.term).max(self.revision.term);
        if change.is_empty() && self.revision.term == term && self.is_loaded() {
            return None;
        }
        let from = self.revision;
        let to = ListRevision { term, change: self.highest_change + 1, reader };
        let delta = ListDelta { from, to, change };
        self.push_delta(delta.clone());
        Some(delta)
    }

    /// Replaces the list by a whole one from another VM; does nothing and returns `false` unless
    /// its revision is higher.
    pub fn take_whole(
        &mut self,
        revision: ListRevision,
        rows: Vec<UpstreamEntry>,
        now_ms: u64,
    ) -> bool {
        let newer = revision > self.revision;
        if newer {
            self.replace(rows, now_ms);
            self.set_revision(revision);
            self.deltas.clear();
        }
        newer
    }

    /// Records that another VM confirmed `revision` to be the platform's list at `confirmed_ms` of
    /// this VM's clock. Has no effect if this list is at another revision.
    pub fn confirm(&mut self, revision: ListRevision, confirmed_ms: u64) {
        if revision == self.revision && self.is_loaded() {
            self.confirmed_ms = self.confirmed_ms.max(confirmed_ms);
        }
    }

    /// Whether another VM holds a later revision.
    pub fn is_outdated(&self) -> bool {
        self.highest_change > self.revision.change
    }

    /// Records that another VM holds `revision`.
    pub fn note_revision(&mut self, revision: ListRevision) {
        self.highest_change = self.highest_change.max(revision.change);
    }

    /// Applies a delta from another VM; returns `false` when it doesn't start at the revision held
    /// here.
    pub fn apply_delta(&mut self, delta: ListDelta, now_ms: u64) -> bool {
        if delta.from != self.revision || !self.is_loaded() || delta.to <= self.revision {
            return false;
        }
        self.apply(&delta.change, now_ms);
        self.push_delta(delta);
        true
    }

    /// The delta from an earlier revision to this one, if it can be composed from those kept.
    pub fn delta_since(&self, have: ListRevision) -> Option<ListDelta> {
        let first = self.deltas.iter().position(|delta| delta.from == have && have.change > 0)?;
        let mut change = ListChange::default();
        self.deltas.range(first..).for_each(|delta| change.join(&delta.change));
        Some(ListDelta { from: have, to: self.revision, change })
    }

    fn set_revision(&mut self, revision: ListRevision) {
        self.revision = revision;
        self.note_revision(revision);
    }

    fn push_delta(&mut self, delta: ListDelta) {
        self.set_revision(delta.to);
        if self.deltas.len() == DELTAS_KEPT {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta);
    }

    /// Replaces all rows and returns the difference.
    fn replace(&mut self, rows: Vec<UpstreamEntry>, now_ms: u64) -> ListChange {
        let mut entries = BTreeMap::new();
        for mut row in rows {
            let key = row.key();
            row.leaving |= self.leaving.contains(&key);
            entries.insert(key, row);
        }
        let removed =
            self.entries.keys().filter(|key| !entries.contains_key(key)).copied().collect();
        let is_changed =
            |(key, row): &(UpstreamKey, UpstreamEntry)| self.entries.get(key) != Some(row);
        let rows = entries.into_iter().filter(is_changed).map(|(_, row)| row).collect();
        let change = ListChange { rows, removed };
        self.apply(&change, now_ms);
        change
    }

    /// Applies a change to the rows that it names. The others aren't touched, since a list is long
    /// and changes are small.
    fn apply(&mut self, change: &ListChange, now_ms: u64) {
        let mut removed_names = BTreeSet::new();
        self.versions.begin(now_ms);
        for key in &change.removed {
            if let Some(row) = self.entries.remove(key) {
                self.versions.remove(ServiceKey::of(&row.service), row.version, now_ms);
                removed_names.insert(row.name);
            }
            self.first_seen_ms.remove(key);
            self.leaving.remove(key);
        }
        for row in &change.rows {
            let (key, mut row) = (row.key(), row.clone());
            if row.leaving {
                self.leaving.insert(key);
            }
            row.leaving = self.leaving.contains(&key);
            self.first_seen_ms.entry(key).or_insert(now_ms);
            self.versions.add(ServiceKey::of(&row.service), row.version, now_ms);
            if let Some(before) = self.entries.insert(key, row) {
                self.versions.remove(ServiceKey::of(&before.service), before.version, now_ms);
            }
        }
        self.note_replaced(&removed_names);
    }

    /// Records the names that are still on the list although an incarnation of theirs was removed.
    fn note_replaced(&mut self, removed_names: &BTreeSet<String>) {
        self.last_replaced.clear();
        if removed_names.is_empty() {
            return;
        }
        let again = self.entries.values().filter(|row| removed_names.contains(&row.name));
        self.last_replaced = again.map(|row| row.name.clone()).collect();
        self.replaced += self.last_replaced.len() as u64;
    }

    /// Copies of all rows, for sending to another VM.
    pub fn rows(&self) -> Vec<UpstreamEntry> {
        self.entries.values().cloned().collect()
    }

    /// The upstreams of a service, including those that are leaving.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (UpstreamKey, &'a UpstreamEntry)> + Clone + 'a {
        let entries = self.entries.iter();
        entries.filter(move |(_, entry)| entry.service == service).map(|(key, entry)| (*key, entry))
    }

    /// The upstreams of a service in the order of their keys, with the time at which each was first
    /// listed.
    pub fn seen_of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (UpstreamKey, &'a UpstreamEntry, u64)> + 'a {
        // Both maps hold the same keys, so that their iterators stay aligned.
        let rows = self.entries.iter().zip(self.first_seen_ms.values());
        let of_service = rows.filter(move |((_, entry), _)| entry.service == service);
        of_service.map(|((key, entry), first_seen_ms)| (*key, entry, *first_seen_ms))
    }

    /// The upstreams of a service that take new work.
    pub fn accepting<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (UpstreamKey, &'a UpstreamEntry)> + 'a {
        self.of_service(service).filter(|(_, entry)| entry.takes_work())
    }
}
