//! The upstreams, as the platform's list or another VM gave them.
//!
//! Leaving is sticky for an incarnation: no list that lags can take it back. A name that starts again
//! is another incarnation with another key, so that nothing known of the earlier one is said of it;
//! see `docs/design/identity.md`. Each state of the list has a
//! mark, and VMs with the same mark hold the same rows; so a change can be sent without the rest.
//! Marks have one order, whichever VM read the state, and nothing is replaced by a lower one. The age
//! of a state follows from [`UpstreamList::news_ms`], which only a reading or a proof by exchange
//! raises.
//! See `docs/design/fleet-news.md`.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ids::UpstreamKey;
use super::rollout_order::VersionKey;

/// What the list leaves open about an upstream. Unlike leaving it is not sticky: the next list that can be
/// read in full ends it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryDoubt {
    /// Nothing.
    #[default]
    None,
    /// Whether it takes work: its state is none that we know.
    State,
    /// Anything but that it is named: it was known, and its entry can't be read any more.
    Unread,
}

/// One incarnation of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The name under which it is listed. It may start again under it; then `born` is another.
    pub life: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// It takes no new work.
    pub leaving: bool,
    /// Its place in the order of engines; a life that replaces another takes its seat.
    pub seat: Option<u64>,
    /// It has started, or came back, a moment ago and bears little yet.
    #[serde(default)]
    pub cold: bool,
    /// Its version.
    #[serde(default)]
    pub version: VersionKey,
    /// When it started, in Unix milliseconds, if given.
    #[serde(default)]
    pub born: Option<u64>,
    /// What the list leaves open about it; while anything is, it gets no new work.
    #[serde(default)]
    pub doubt: EntryDoubt,
}

impl UpstreamEntry {
    /// The key of this incarnation.
    pub fn key(&self) -> UpstreamKey {
        UpstreamKey::of_birth(&self.life, self.born)
    }

    /// Whether the list says that it takes new work.
    pub fn takes_work(&self) -> bool {
        !self.leaving && self.doubt == EntryDoubt::None
    }
}

/// Names one state of the list. Fields are in the order in which marks compare: what a newer leader
/// read wins, then what was read after more changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListMark {
    /// The term of the leader that read it, or of the state from which a single reader went on.
    pub term: u64,
    /// Rises with each change; 0 before the first.
    pub change: u64,
    /// The VM that read it: two that read without a leader go on from one state to two marks.
    pub reader: u32,
}

/// What is other in one state of the list than in an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChange {
    /// Rows that are new or other than before.
    pub rows: Vec<UpstreamEntry>,
    /// Incarnations that are on the list no more.
    pub gone: Vec<UpstreamKey>,
}

impl ListChange {
    /// Whether nothing is other.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.gone.is_empty()
    }

    /// Joins the change that came next to this one.
    fn join(&mut self, next: &ListChange) {
        let named: HashSet<UpstreamKey> =
            next.rows.iter().map(UpstreamEntry::key).chain(next.gone.iter().copied()).collect();
        self.rows.retain(|row| !named.contains(&row.key()));
        self.gone.retain(|key| !named.contains(key));
        self.rows.extend_from_slice(&next.rows);
        self.gone.extend_from_slice(&next.gone);
    }
}

/// A step from one marked state to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStep {
    /// The state before.
    pub from: ListMark,
    /// The state after.
    pub to: ListMark,
    /// What is other.
    pub change: ListChange,
}

/// Steps that are remembered for VMs that missed some; one that missed more takes the whole.
const STEPS_KEPT: usize = 32;

/// All upstreams that one VM knows.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    /// By key.
    pub entries: BTreeMap<UpstreamKey, UpstreamEntry>,
    /// When each of them was first seen here, in milliseconds of the VM's steady clock.
    pub first_seen_ms: BTreeMap<UpstreamKey, u64>,
    /// When this was surely the platform's list, in milliseconds of the VM's steady clock; 0 when
    /// that isn't known, as for a list from disk.
    pub news_ms: u64,
    /// Which state this is.
    pub mark: ListMark,
    /// How many incarnations were replaced by later ones under their names.
    pub replaced: u64,
    /// The names of those that the last change replaced.
    pub replaced_last: Vec<String>,
    /// The highest number of a change that was heard of. A leader that knew only its own would send
    /// marks that others have passed already, and none would take its list.
    heard_change: u64,
    leaving: HashSet<UpstreamKey>,
    steps: VecDeque<ListStep>,
}

impl UpstreamList {
    /// Whether there is a list.
    pub fn is_held(&self) -> bool {
        self.mark.change > 0
    }

    /// Takes a list that VM `reader` read beginning at `began_ms`, as the leader of `term`, or
    /// without one when `term` is `None`. Returns the step to send to the others, if there is one:
    /// a new leader's first goes on from what the last one sent.
    pub fn read(
        &mut self,
        rows: Vec<UpstreamEntry>,
        term: Option<u64>,
        reader: u32,
        began_ms: u64,
    ) -> Option<ListStep> {
        let change = self.replace(rows, began_ms);
        self.news_ms = self.news_ms.max(began_ms);
        let term = term.unwrap_or(self.mark.term).max(self.mark.term);
        if change.is_empty() && self.mark.term == term && self.is_held() {
            return None;
        }
        let from = self.mark;
        let to = ListMark { term, change: self.heard_change + 1, reader };
        let step = ListStep { from, to, change };
        self.note_step(step.clone());
        Some(step)
    }

    /// Takes a whole list that another VM sent, unless it is older than what is here.
    pub fn take_whole(&mut self, mark: ListMark, rows: Vec<UpstreamEntry>, now_ms: u64) -> bool {
        let newer = mark > self.mark;
        if newer {
            self.replace(rows, now_ms);
            self.set_mark(mark);
            self.steps.clear();
        }
        newer
    }

    /// Another VM proved that the platform's list was the state `mark` at `news_ms` of this VM's
    /// clock; says something of the list here only when that is the same.
    pub fn confirm(&mut self, mark: ListMark, news_ms: u64) {
        if mark == self.mark && self.is_held() {
            self.news_ms = self.news_ms.max(news_ms);
        }
    }

    /// Another VM holds the state `mark`.
    pub fn hear(&mut self, mark: ListMark) {
        self.heard_change = self.heard_change.max(mark.change);
    }

    /// Takes a step that another VM sent; false when it doesn't start at the state that is here.
    pub fn follow(&mut self, step: ListStep, now_ms: u64) -> bool {
        if step.from != self.mark || !self.is_held() || step.to <= self.mark {
            return false;
        }
        self.apply(&step.change, now_ms);
        self.note_step(step);
        true
    }

    /// The step from an earlier state to this one, while it is remembered.
    pub fn step_since(&self, have: ListMark) -> Option<ListStep> {
        let first = self.steps.iter().position(|step| step.from == have && have.change > 0)?;
        let mut change = ListChange::default();
        self.steps.range(first..).for_each(|step| change.join(&step.change));
        Some(ListStep { from: have, to: self.mark, change })
    }

    fn set_mark(&mut self, mark: ListMark) {
        self.mark = mark;
        self.hear(mark);
    }

    fn note_step(&mut self, step: ListStep) {
        self.set_mark(step.to);
        if self.steps.len() == STEPS_KEPT {
            self.steps.pop_front();
        }
        self.steps.push_back(step);
    }

    /// Puts the rows in place of all others; returns the difference.
    fn replace(&mut self, rows: Vec<UpstreamEntry>, now_ms: u64) -> ListChange {
        let mut entries = BTreeMap::new();
        for mut row in rows {
            let key = row.key();
            row.leaving |= self.leaving.contains(&key);
            entries.insert(key, row);
        }
        let gone = self.entries.keys().filter(|key| !entries.contains_key(key)).copied().collect();
        let is_other =
            |(key, row): &(UpstreamKey, UpstreamEntry)| self.entries.get(key) != Some(row);
        let rows = entries.into_iter().filter(is_other).map(|(_, row)| row).collect();
        let change = ListChange { rows, gone };
        self.apply(&change, now_ms);
        change
    }

    /// Changes the rows that a change names, and leaves all others as they are: a list is long, and
    /// changes are small.
    fn apply(&mut self, change: &ListChange, now_ms: u64) {
        let mut gone_lives = BTreeSet::new();
        for key in &change.gone {
            gone_lives.extend(self.entries.remove(key).map(|row| row.life));
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
            self.entries.insert(key, row);
        }
        self.note_replaced(&gone_lives);
    }

    /// Notes whose names are on the list as before while their incarnations aren't.
    fn note_replaced(&mut self, gone_lives: &BTreeSet<String>) {
        self.replaced_last.clear();
        if gone_lives.is_empty() {
            return;
        }
        let again = self.entries.values().filter(|row| gone_lives.contains(&row.life));
        self.replaced_last = again.map(|row| row.life.clone()).collect();
        self.replaced += self.replaced_last.len() as u64;
    }

    /// The rows, as sent to another VM.
    pub fn rows(&self) -> Vec<UpstreamEntry> {
        self.entries.values().cloned().collect()
    }

    /// The upstreams of a service, those that leave included.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (UpstreamKey, &'a UpstreamEntry)> + Clone + 'a {
        let entries = self.entries.iter();
        entries.filter(move |(_, entry)| entry.service == service).map(|(key, entry)| (*key, entry))
    }

    /// The upstreams of a service in the order of their keys, and when each was first seen.
    pub fn seen_of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (UpstreamKey, &'a UpstreamEntry, u64)> + 'a {
        // Both maps hold the same keys, so that they go in step.
        let rows = self.entries.iter().zip(self.first_seen_ms.values());
        let of_service = rows.filter(move |((_, entry), _)| entry.service == service);
        of_service.map(|((key, entry), first_seen_ms)| (*key, entry, *first_seen_ms))
    }

    /// The upstreams of a service that take new work.
    pub fn taking<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (UpstreamKey, &'a UpstreamEntry)> + 'a {
        self.of_service(service).filter(|(_, entry)| entry.takes_work())
    }
}
