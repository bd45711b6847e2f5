//! The choice of the router addresses that a caller should use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::placement::{EngineHint, FleetView};
use crate::state::ids::{ChatKey, RouterId};
use crate::state::rendezvous::rendezvous_score;
use crate::state::roster::RouterRoster;

/// How long a caller may cache the answer for an existing chat, in seconds.
pub const CACHE_S: u64 = 30;
/// The maximum number of addresses in an answer.
pub const MAX_ADDRESSES: usize = 4;

/// The answer to a caller's request for addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// The addresses of routers, the best first.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may cache the answer, in seconds.
    pub keep_seconds: u64,
}

/// How long a caller may cache an answer for a chat that does not exist yet, in seconds. It is
/// short, because the answer names the home routers of engines that are lightly loaded now.
pub const CACHE_NEW_CHAT_S: u64 = 2;

/// A caller's request for addresses.
#[derive(Clone, Copy, Debug)]
pub struct AddressRequest<'a> {
    /// The chat, if it exists already.
    pub chat: Option<ChatKey>,
    /// The answering router's zone, which is assumed to be the caller's.
    pub zone: &'a str,
    /// Varies the order among equally good routers, so that callers do not all use the same one.
    pub spread: u64,
    /// Lightly loaded engines of the fleet, as far as the answering router has reports of them.
    pub hints: &'a [EngineHint],
}

/// Returns addresses of routers that are not leaving: first the chat's home, or for a new chat the
/// home of a lightly loaded engine, then routers of the caller's zone, then others.
pub fn addresses(
    roster: &RouterRoster,
    view: Option<&FleetView>,
    request: &AddressRequest<'_>,
) -> AddressAnswer {
    let home = match (view, request.chat) {
        (Some(view), Some(chat)) => view.chat_home(chat),
        (Some(view), None) => light_home(view, request),
        (None, _) => None,
    };
    let mut routers: Vec<_> =
        roster.routers.iter().filter(|(_, session)| !session.leaving).collect();
    routers.sort_by_key(|(id, session)| {
        let order = rendezvous_score(request.spread, id.0 as u64);
        (Some(**id) != home, session.zone != request.zone, order)
    });
    let first = routers.into_iter().take(MAX_ADDRESSES);
    AddressAnswer {
        addresses: first.map(|(_, session)| session.address).collect(),
        keep_seconds: if request.chat.is_some() { CACHE_S } else { CACHE_NEW_CHAT_S },
    }
}

/// Returns the home of one of the lightly loaded engines, chosen by `request.spread`.
pub fn light_home(view: &FleetView, request: &AddressRequest<'_>) -> Option<RouterId> {
    let mut homes = request.hints.iter().filter_map(|hint| view.engines.get(&hint.engine));
    let count = request.hints.len().max(1) as u64;
    homes.nth((request.spread % count) as usize).copied()
}

/// Returns the other routers that are not leaving, to which a request may be passed, those of the
/// same zone first.
pub fn peers(roster: &RouterRoster, own: RouterId, zone: &str) -> Vec<(RouterId, SocketAddr)> {
    let mut peers: Vec<_> =
        roster.routers.iter().filter(|(id, s)| **id != own && !s.leaving).collect();
    peers.sort_by_key(|(id, session)| (session.zone != zone, **id));
    peers.into_iter().map(|(id, session)| (*id, session.address)).collect()
}
