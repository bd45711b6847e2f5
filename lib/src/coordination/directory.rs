//! Which addresses a caller should use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::placement::FleetView;
use crate::state::ids::{ChatKey, RouterId};
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

/// The chat's home first, then routers of the caller's zone, then the rest; never a leaving one.
///
/// Without a chat or a fleet, the answering router's zone counts as the caller's, and the
/// order inside a zone is turned by `spread`, so that callers do not all meet at one router.
pub fn addresses(
    roster: &RouterRoster,
    view: Option<&FleetView>,
    chat: Option<ChatKey>,
    zone: &str,
    spread: u64,
) -> AddressAnswer {
    let home = view.zip(chat).and_then(|(view, chat)| view.chat_home(chat));
    let mut routers: Vec<_> =
        roster.routers.iter().filter(|(_, session)| !session.leaving).collect();
    routers.sort_by_key(|(id, session)| {
        let order = crate::state::rendezvous::rendezvous_score(spread, id.0 as u64);
        (Some(**id) != home, session.zone != zone, order)
    });
    let first = routers.into_iter().take(MOST_ADDRESSES);
    AddressAnswer {
        addresses: first.map(|(_, session)| session.address).collect(),
        keep_seconds: KEEP_S,
    }
}

/// The peers to pass a request to, home excluded, nearest first.
pub fn peers(roster: &RouterRoster, own: RouterId, zone: &str) -> Vec<(RouterId, SocketAddr)> {
    let mut peers: Vec<_> =
        roster.routers.iter().filter(|(id, s)| **id != own && !s.leaving).collect();
    peers.sort_by_key(|(id, session)| (session.zone != zone, **id));
    peers.into_iter().map(|(id, session)| (*id, session.address)).collect()
}
