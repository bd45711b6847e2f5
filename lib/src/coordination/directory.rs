//! Which addresses a caller should use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::placement::{EngineHint, FleetView};
use crate::state::ids::{ChatKey, RouterId};
use crate::state::rendezvous::rendezvous_score;
use crate::state::roster::RouterRoster;

/// How long a caller may keep an answer, in seconds.
pub const KEEP_S: u64 = 30;
/// How many addresses an answer holds.
pub const MOST_ADDRESSES: usize = 4;

/// The answer to a caller's question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Routers, the best first.
    pub addresses: Vec<SocketAddr>,
    /// How long to keep it, in seconds.
    pub keep_seconds: u64,
}

/// How long a caller may keep an answer for a chat that does not exist yet, in seconds: it
/// names homes of engines that are light now.
pub const KEEP_FRESH_S: u64 = 2;

/// What a caller asks for.
#[derive(Clone, Copy, Debug)]
pub struct AddressQuestion<'a> {
    /// The chat, if it exists already.
    pub chat: Option<ChatKey>,
    /// The answering router's zone, taken for the caller's.
    pub zone: &'a str,
    /// Turns the order among equals, so that callers do not all meet at one router.
    pub spread: u64,
    /// Light engines of the fleet, as the answering router knows them.
    pub hints: &'a [EngineHint],
}

/// The chat's home first, or for a fresh chat the home of a light engine; then routers of the
/// caller's zone, then the rest; never a leaving one.
pub fn addresses(
    roster: &RouterRoster,
    view: Option<&FleetView>,
    question: &AddressQuestion<'_>,
) -> AddressAnswer {
    let home = match (view, question.chat) {
        (Some(view), Some(chat)) => view.chat_home(chat),
        (Some(view), None) => light_home(view, question),
        (None, _) => None,
    };
    let mut routers: Vec<_> =
        roster.routers.iter().filter(|(_, session)| !session.leaving).collect();
    routers.sort_by_key(|(id, session)| {
        let order = rendezvous_score(question.spread, id.0 as u64);
        (Some(**id) != home, session.zone != question.zone, order)
    });
    let first = routers.into_iter().take(MOST_ADDRESSES);
    AddressAnswer {
        addresses: first.map(|(_, session)| session.address).collect(),
        keep_seconds: if question.chat.is_some() { KEEP_S } else { KEEP_FRESH_S },
    }
}

/// One of the light engines' homes, another for each question.
pub fn light_home(view: &FleetView, question: &AddressQuestion<'_>) -> Option<RouterId> {
    let mut homes = question.hints.iter().filter_map(|hint| view.engines.get(&hint.engine));
    let count = question.hints.len().max(1) as u64;
    homes.nth((question.spread % count) as usize).copied()
}

/// The peers to pass a request to, home excluded, nearest first.
pub fn peers(roster: &RouterRoster, own: RouterId, zone: &str) -> Vec<(RouterId, SocketAddr)> {
    let mut peers: Vec<_> =
        roster.routers.iter().filter(|(id, s)| **id != own && !s.leaving).collect();
    peers.sort_by_key(|(id, session)| (session.zone != zone, **id));
    peers.into_iter().map(|(id, session)| (*id, session.address)).collect()
}
