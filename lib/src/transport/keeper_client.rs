//! How a router talks to the keepers: it finds the leader and asks again when that moves.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

use snafu::Snafu;

use super::clock::wall_ms;
use super::http_client::{CallFailure, CallTimes, HttpClient};
use crate::protocol::http::HttpCall;
use crate::protocol::keeper_wire::{decode, encode, KeeperCall, KeeperReply, CALL_PATH};
use crate::protocol::seal::{SealMaker, SEAL_HEADER};
use crate::state::settings::KeeperAddress;

const MAX_REPLY_BYTES: usize = 64 << 20;

/// Why no keeper answered.
#[derive(Clone, Debug, Snafu)]
pub enum KeeperFailure {
    /// No keeper took the call; nothing was done.
    #[snafu(display("no keeper took the call: {text}"))]
    NotTaken {
        /// The last word heard.
        text: String,
    },
    /// A keeper may have taken the call.
    #[snafu(display("a keeper may have taken the call: {text}"))]
    Unsure {
        /// The last word heard.
        text: String,
    },
}

/// A client of the group of keepers.
pub struct KeeperClient {
    keepers: Vec<KeeperAddress>,
    leader: AtomicUsize,
    maker: Arc<SealMaker>,
    client: HttpClient,
    times: CallTimes,
    stopped: AtomicBool,
}

impl KeeperClient {
    /// A client of these keepers.
    pub fn new(
        keepers: Vec<KeeperAddress>,
        maker: Arc<SealMaker>,
        client: HttpClient,
        times: CallTimes,
    ) -> KeeperClient {
        let (leader, stopped) = (AtomicUsize::new(0), AtomicBool::new(false));
        KeeperClient { keepers, leader, maker, client, times, stopped }
    }

    /// Sends nothing more, so that a caller that tries one keeper after the other ends soon.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Where the leader was last seen.
    pub fn leader(&self) -> SocketAddr {
        self.keepers[self.leader.load(Ordering::Relaxed) % self.keepers.len()].address
    }

    /// The keeper at this address answered as leader.
    pub fn note_leader(&self, address: SocketAddr) {
        let found = self.keepers.iter().position(|keeper| keeper.address == address);
        if let Some(at) = found {
            self.leader.store(at, Ordering::Relaxed);
        }
    }

    /// The keeper last seen leading does not answer: the next one is tried.
    pub fn try_next_leader(&self) {
        self.leader.fetch_add(1, Ordering::Relaxed);
    }

    /// All keepers.
    pub fn keepers(&self) -> &[KeeperAddress] {
        &self.keepers
    }

    /// Asks one keeper.
    pub fn call(&self, address: SocketAddr, call: &KeeperCall) -> Result<KeeperReply, CallFailure> {
        if self.stopped.load(Ordering::Relaxed) {
            return Err(CallFailure::NotSent { text: "this process stops".to_string() });
        }
        let body = encode(call);
        let seal = self.maker.header(CALL_PATH, &body, wall_ms());
        let http = HttpCall::post(CALL_PATH, body).with(SEAL_HEADER, seal);
        let reply = self.client.call(address, &http, self.times, MAX_REPLY_BYTES, kind_of(call))?;
        if reply.status != 200 {
            return Err(CallFailure::NotSent { text: format!("status {}", reply.status) });
        }
        decode(&reply.body).map_err(|text| CallFailure::Broken { text })
    }

    /// Asks the leader, looking for it among all keepers.
    ///
    /// A call that may have been taken is sent again only by the caller's choice: claims and
    /// changes carry ids that make that safe.
    pub fn call_leader(&self, call: &KeeperCall) -> Result<KeeperReply, KeeperFailure> {
        let mut last = String::new();
        let mut unsure = false;
        for _ in 0..2 * self.keepers.len() {
            let at = self.leader.load(Ordering::Relaxed) % self.keepers.len();
            match self.call(self.keepers[at].address, call) {
                Ok(KeeperReply::NotLeader(hint)) => self.note_leader_hint(at, hint, &mut last),
                Ok(KeeperReply::Unsure) => {
                    unsure = true;
                    last = "the leader cannot vouch for it".to_string();
                    break;
                }
                Ok(reply) => return Ok(reply),
                Err(failure) => {
                    unsure |= matches!(failure, CallFailure::Broken { .. });
                    last = failure.to_string();
                    self.leader.store(at + 1, Ordering::Relaxed);
                }
            }
        }
        match unsure {
            true => Err(KeeperFailure::Unsure { text: last }),
            false => Err(KeeperFailure::NotTaken { text: last }),
        }
    }

    fn note_leader_hint(
        &self,
        at: usize,
        hint: Option<crate::state::ids::KeeperId>,
        last: &mut String,
    ) {
        let hinted = self.keepers.iter().position(|keeper| Some(keeper.id) == hint);
        self.leader.store(hinted.unwrap_or(at + 1), Ordering::Relaxed);
        *last = "no leader is known".to_string();
        if hinted.is_none() {
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    }
}

fn kind_of(call: &KeeperCall) -> &'static str {
    match call {
        KeeperCall::Identity => "identity",
        KeeperCall::Join(..) | KeeperCall::Leave(..) => "session",
        KeeperCall::Changes(_) => "changes",
        KeeperCall::Roster => "roster",
        KeeperCall::Claims(..) => "claims",
    }
}
