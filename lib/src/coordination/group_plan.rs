//! The leader's choice of the next membership change of the keepers' group.
//!
//! The group has enough voters to survive the number of losses that a deployment tolerates.
//! A keeper whose disk was wiped is a new member at its old address: its earlier incarnation
//! is removed first, so that it never counts twice. A voter that stops answering is replaced
//! only once a caught-up learner can succeed it; until then it stays, because removing it
//! would make the group smaller but not safer. See `docs/design/platform.md`.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use super::raft::RaftCore;
use super::raft_message::{MemberChange, ELECTION_MS};
use crate::state::ids::{Incarnation, KeeperId};

/// The time without an answer after which a voter is replaced if there is a successor, in
/// milliseconds.
///
/// It is longer than the restart of a process, and shorter than the platform's `catchUpS` of 4 s.
pub const VOTER_TIMEOUT_MS: u64 = 1500;
/// The time without an answer after which a learner is removed, in milliseconds.
pub const LEARNER_TIMEOUT_MS: u64 = 10_000;

/// The VMs with a disk that report to the leader, with the incarnation of the disk and the hash of
/// the zone's name.
pub type KnownKeepers = BTreeMap<KeeperId, (Incarnation, u64)>;

/// Returns how many voters a group needs to tolerate a number of lost keepers.
pub fn required_voters(tolerated_losses: u32) -> usize {
    (2 * tolerated_losses as usize + 1).max(3)
}

/// Returns the membership change that the leader should propose next, if any. `own` is the leader,
/// `known` the keepers that report to it, and `wanted` the number of voters that the group needs.
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

    let other_incarnation = |id: &KeeperId| {
        known.get(id).is_some_and(|(incarnation, _)| *incarnation != members[id].incarnation)
    };
    if let Some(wiped) = voters().find(|id| *id != own && other_incarnation(id)) {
        return Some(MemberChange::Remove(wiped));
    }

    let count = voters().count();
    let replaceable = voters().find(|id| silent(*id, VOTER_TIMEOUT_MS));
    if count < wanted || (count == wanted && replaceable.is_some()) {
        let caught_up = |id: &KeeperId| {
            let matched = core.member_match(*id).unwrap_or(0);
            !silent(*id, ELECTION_MS) && matched >= core.commit()
        };
        let learners = members.iter().filter(|(_, member)| !member.votes).map(|(id, _)| *id);
        let ready = learners.filter(|id| known.contains_key(id) && caught_up(id));
        let zone = |id: KeeperId| known.get(&id).map_or(0, |(_, zone)| *zone);
        let voters_in_zone = |id: &KeeperId| {
            let living = voters().filter(|other| !silent(*other, VOTER_TIMEOUT_MS));
            (living.filter(|other| zone(*other) == zone(*id)).count(), *id)
        };
        if let Some(best) = ready.min_by_key(voters_in_zone) {
            return Some(MemberChange::Promote(best));
        }
    }
    if count > wanted {
        if let Some(gone) = replaceable {
            return Some(MemberChange::Remove(gone));
        }
    }

    let address = |id: KeeperId| SocketAddr::from((Ipv4Addr::from(id.0), peer_port));
    let joining = known.iter().find(|(id, (incarnation, _))| {
        members.get(id).is_none_or(|member| !member.votes && member.incarnation != *incarnation)
    });
    if let Some((id, (incarnation, _))) = joining {
        return Some(MemberChange::AddLearner(*id, *incarnation, address(*id)));
    }
    let mut learners = members.iter().filter(|(_, member)| !member.votes);
    let gone = learners.find(|(id, _)| {
        !known.contains_key(id) && silent(**id, LEARNER_TIMEOUT_MS) && count >= wanted
    });
    gone.map(|(id, _)| MemberChange::Remove(*id))
}
