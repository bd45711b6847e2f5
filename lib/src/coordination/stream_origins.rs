//! Notes of where streams began, and the decision where a stream that its caller resumes may go on.
//!
//! Each VM keeps the notes of its own streams. While a service has several versions, three VMs that
//! every VM computes from the stream's key keep a copy, so that any VM can ask for it. Invariant: a
//! stream of unknown origin goes on only if no other version can have begun it. See
//! `docs/design/stream-versions.md`.

use std::collections::{BTreeSet, HashMap};

use crate::state::ids::{ServiceKey, StreamKey};
use crate::state::rendezvous::rendezvous_order;
use crate::state::stream_origin::StreamOrigin;

/// How many other VMs keep a copy of a note.
pub const NOTE_COPIES: usize = 3;
/// The maximum number of notes that are kept for each half of their lifetime.
const MAX_NOTES: usize = 1 << 17;
/// The shortest time for which notes are kept, in milliseconds.
const MIN_HORIZON_MS: u64 = 10_000;
/// The number of longest runs for which notes are kept: one run, and the pause of its caller.
const HORIZON_RUNS: u64 = 2;
/// How long a version that is new beside others begins no resumable stream, in milliseconds. Within
/// this time the list reaches every VM that is in contact with the leader.
pub const NEW_VERSION_HOLD_MS: u64 = 1000;

/// How long after its begin a stream may still be resumed, in milliseconds, where a run takes at most
/// `longest_run_ms`.
pub fn resume_horizon_ms(longest_run_ms: u64) -> u64 {
    longest_run_ms.saturating_mul(HORIZON_RUNS).max(MIN_HORIZON_MS)
}

/// The other VMs that keep a copy of a note, the most preferred first.
pub fn note_holders(stream: StreamKey, vms: impl Iterator<Item = u32>, own: u32) -> Vec<u32> {
    preferred_vms(stream, vms, own, NOTE_COPIES)
}

/// The VMs that become holders of a note once VM `own`, which is one, has left. There are two, since the VM
/// that began the stream isn't a holder, and may be the first of them.
pub fn next_holders(stream: StreamKey, vms: impl Iterator<Item = u32>, own: u32) -> Vec<u32> {
    let order = preferred_vms(stream, vms, own, NOTE_COPIES + 1);
    order.into_iter().skip(NOTE_COPIES - 1).collect()
}

fn preferred_vms(
    stream: StreamKey,
    vms: impl Iterator<Item = u32>,
    own: u32,
    count: usize,
) -> Vec<u32> {
    let others = vms.filter(|vm| *vm != own).map(u64::from);
    let order = rendezvous_order(stream.0, others, count);
    order.into_iter().map(|vm| vm as u32).collect()
}

/// The notes that one VM keeps.
///
/// They are in two generations, of which the older one is dropped when the newer one is full or as old
/// as the horizon. So a note is kept for one to two horizons without a time of its own.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    newer: HashMap<StreamKey, StreamOrigin>,
    older: HashMap<StreamKey, StreamOrigin>,
    began_ms: u64,
}

impl OriginTable {
    /// Notes where a stream began. An earlier note of the stream is kept, since an origin never changes.
    pub fn note(&mut self, stream: StreamKey, origin: StreamOrigin, horizon_ms: u64, now_ms: u64) {
        if now_ms >= self.began_ms + horizon_ms || self.newer.len() >= MAX_NOTES {
            self.older = std::mem::take(&mut self.newer);
            self.began_ms = now_ms;
        }
        let origin = self.get(stream).unwrap_or(origin);
        self.newer.insert(stream, origin);
    }

    /// Where a stream began, if there is a note of it.
    pub fn get(&self, stream: StreamKey) -> Option<StreamOrigin> {
        self.newer.get(&stream).or_else(|| self.older.get(&stream)).copied()
    }

    /// All notes of streams that began at one of these services.
    pub fn of_services(&self, services: &BTreeSet<ServiceKey>) -> Vec<(StreamKey, StreamOrigin)> {
        let all = self.newer.iter().chain(&self.older);
        let of_services = all.filter(|(_, origin)| services.contains(&origin.service));
        of_services.map(|(stream, origin)| (*stream, *origin)).collect()
    }

    /// The number of notes.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// What a VM knows of the versions that may have begun a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PossibleVersions {
    /// Only one version of each service that the route leads to.
    One,
    /// Only one version by this VM's lists, which may be outdated or not reach back far enough.
    OnePerhaps,
    /// Several versions of a service that the route leads to.
    Several,
}

/// What to do with a stream of which this VM has no note.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeDecision {
    /// Any upstream may continue it.
    Anywhere,
    /// Only upstreams of this origin may continue it.
    At(StreamOrigin),
    /// It can't be known where it began.
    Unknown,
    /// Where it began isn't known now, since not all VMs that were asked have answered.
    Unanswered,
}

impl From<Option<StreamOrigin>> for ResumeDecision {
    fn from(origin: Option<StreamOrigin>) -> ResumeDecision {
        origin.map_or(ResumeDecision::Anywhere, ResumeDecision::At)
    }
}

/// The answers of other VMs to the question where a stream began.
#[derive(Clone, Debug, Default)]
pub struct OriginAnswers {
    /// The VMs that keep a copy of the note, if there is one.
    pub holders: Vec<u32>,
    /// All keepers, this VM included if it is one.
    pub keepers: Vec<u32>,
    answered: BTreeSet<u32>,
    found: Option<StreamOrigin>,
    several: bool,
}

impl OriginAnswers {
    /// Expects answers of these VMs. VM `own` counts as having answered that it has no note.
    pub fn expect(holders: Vec<u32>, keepers: Vec<u32>, own: u32) -> OriginAnswers {
        OriginAnswers { holders, keepers, answered: BTreeSet::from([own]), ..Default::default() }
    }

    /// Notes an answer. `several` is whether the VM saw several versions.
    pub fn note(&mut self, vm: u32, origin: Option<StreamOrigin>, several: bool) {
        self.answered.insert(vm);
        self.found = self.found.or(origin);
        self.several |= several;
    }

    /// The VMs that haven't answered.
    pub fn missing(&self) -> Vec<u32> {
        let asked: BTreeSet<u32> = self.holders.iter().chain(&self.keepers).copied().collect();
        asked.difference(&self.answered).copied().collect()
    }

    /// The decision that the answers allow so far; `None` if more answers are to be waited for. While
    /// `waits_for_all`, one that may still object is waited for, too.
    pub fn decide(
        &self,
        versions: PossibleVersions,
        waits_for_all: bool,
    ) -> Option<ResumeDecision> {
        if let Some(origin) = self.found {
            return Some(ResumeDecision::At(origin));
        }
        if versions == PossibleVersions::OnePerhaps && !self.several {
            let has_answered = |vm: &&u32| self.answered.contains(vm);
            let agreeing = self.keepers.iter().filter(has_answered).count();
            let enough = 2 * agreeing > self.keepers.len();
            let may_object = waits_for_all && !self.missing().is_empty();
            return (enough && !may_object).then_some(ResumeDecision::Anywhere);
        }
        let all = self.holders.iter().all(|vm| self.answered.contains(vm));
        let unknown = match versions {
            PossibleVersions::One => ResumeDecision::Anywhere,
            PossibleVersions::OnePerhaps | PossibleVersions::Several => ResumeDecision::Unknown,
        };
        all.then_some(unknown)
    }
}
