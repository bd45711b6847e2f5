//! Which change of membership a leader should make next, if any.
//!
//! The group holds as many voters as survive the losses that a deployment bears.
//! A wiped disk is a new member under its old address: its earlier life is removed
//! first, so that it never counts twice. A voter that stays silent is replaced only
//! while a caught-up successor is there; until then it stays, because removing it
//! would make the group smaller and not safer. See `docs/design/platform.md`.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use super::raft::RaftCore;
use super::raft_message::{MemberChange, ELECTION_MS};
use crate::state::ids::{Incarnation, KeeperId};

/// A voter that was not heard for this long is replaced when there is a successor.
///
/// Longer than a restart of a process, shorter than the platform's `catchUpS` of 4 s.
pub const SILENT_VOTER_MS: u64 = 1500;
/// A learner that was not heard for this long is dropped.
pub const SILENT_LEARNER_MS: u64 = 10_000;

/// What a leader knows of VMs with a disk: the life of the disk and the zone.
pub type KnownKeepers = BTreeMap<KeeperId, (Incarnation, u64)>;

/// The voters that a group should have.
pub fn voters_wanted(tolerated_losses: u32) -> usize {
    (2 * tolerated_losses as usize + 1).max(3)
}

/// The next change, given who was heard lately.
pub fn next_change(
    core: &RaftCore,
    own: KeeperId,
    known: &KnownKeepers,
    wanted: usize,
    peer_port: u16,
    now_ms: u64,
) -> Option<MemberChange> {
    let members = &core.membership().members;
    let silent = |id: KeeperId, limit: u64| {
        id != own && core.member_age_ms(id, now_ms).is_none_or(|age| age > limit)
    };
    let voters = || members.iter().filter(|(_, member)| member.votes).map(|(id, _)| *id);

    let other_life =
        |id: &KeeperId| known.get(id).is_some_and(|(life, _)| *life != members[id].incarnation);
    if let Some(wiped) = voters().find(|id| *id != own && other_life(id)) {
        return Some(MemberChange::Remove(wiped));
    }

    let count = voters().count();
    let replaceable = voters().find(|id| silent(*id, SILENT_VOTER_MS));
    if count < wanted || (count == wanted && replaceable.is_some()) {
        let caught_up = |id: &KeeperId| {
            let matched = core.member_match(*id).unwrap_or(0);
            !silent(*id, ELECTION_MS) && matched >= core.commit()
        };
        let learners = members.iter().filter(|(_, member)| !member.votes).map(|(id, _)| *id);
        let ready = learners.filter(|id| known.contains_key(id) && caught_up(id));
        let zone = |id: KeeperId| known.get(&id).map_or(0, |(_, zone)| *zone);
        let crowd = |id: &KeeperId| {
            let living = voters().filter(|other| !silent(*other, SILENT_VOTER_MS));
            (living.filter(|other| zone(*other) == zone(*id)).count(), *id)
        };
        if let Some(best) = ready.min_by_key(crowd) {
            return Some(MemberChange::Promote(best));
        }
    }
    if count > wanted {
        if let Some(gone) = replaceable {
            return Some(MemberChange::Remove(gone));
        }
    }

    let address = |id: KeeperId| SocketAddr::from((Ipv4Addr::from(id.0), peer_port));
    let joins = known.iter().find(|(id, (life, _))| {
        members.get(id).is_none_or(|member| !member.votes && member.incarnation != *life)
    });
    if let Some((id, (life, _))) = joins {
        return Some(MemberChange::AddLearner(*id, *life, address(*id)));
    }
    let mut learners = members.iter().filter(|(_, member)| !member.votes);
    let gone = learners.find(|(id, _)| {
        !known.contains_key(id) && silent(**id, SILENT_LEARNER_MS) && count >= wanted
    });
    gone.map(|(id, _)| MemberChange::Remove(*id))
}
