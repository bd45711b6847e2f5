//! A client of the keepers, which finds the leader and follows it when it changes.

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

/// The maximum length of a keeper's reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// The reason why a call has no answer.
#[derive(Clone, Debug, Snafu)]
pub enum KeeperFailure {
    /// No keeper accepted the call, so it had no effect.
    #[snafu(display("no keeper accepted the call: {text}"))]
    NotTaken {
        /// The last error.
        text: String,
    },
    /// A keeper may have accepted the call.
    #[snafu(display("a keeper may have accepted the call: {text}"))]
    Unsure {
        /// The last error.
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
    /// Makes a client of these keepers.
    pub fn new(
        keepers: Vec<KeeperAddress>,
        maker: Arc<SealMaker>,
        client: HttpClient,
        times: CallTimes,
    ) -> KeeperClient {
        let (leader, stopped) = (AtomicUsize::new(0), AtomicBool::new(false));
        KeeperClient { keepers, leader, maker, client, times, stopped }
    }

    /// Fails all further calls, so that a caller that tries one keeper after another ends soon.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns the address of the keeper that was the last known leader.
    pub fn leader(&self) -> SocketAddr {
        self.keepers[self.leader.load(Ordering::Relaxed) % self.keepers.len()].address
    }

    /// Records that the keeper at this address answered as leader.
    pub fn note_leader(&self, address: SocketAddr) {
        let found = self.keepers.iter().position(|keeper| keeper.address == address);
        if let Some(at) = found {
            self.leader.store(at, Ordering::Relaxed);
        }
    }

    /// Moves to the next keeper, since the last known leader doesn't answer.
    pub fn try_next_leader(&self) {
        self.leader.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns all keepers.
    pub fn keepers(&self) -> &[KeeperAddress] {
        &self.keepers
    }

    /// Sends a call to one keeper.
    pub fn call(&self, address: SocketAddr, call: &KeeperCall) -> Result<KeeperReply, CallFailure> {
        if self.stopped.load(Ordering::Relaxed) {
            return Err(CallFailure::NotSent { text: "this process is stopping".to_string() });
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

    /// Sends a call to the leader, which it searches among all keepers.
    ///
    /// If a keeper may have accepted the call, the caller decides whether to send it again: claims
    /// and changes carry ids that make this safe.
    pub fn call_leader(&self, call: &KeeperCall) -> Result<KeeperReply, KeeperFailure> {
        let mut last = String::new();
        let mut unsure = false;
        for _ in 0..2 * self.keepers.len() {
            let at = self.leader.load(Ordering::Relaxed) % self.keepers.len();
            match self.call(self.keepers[at].address, call) {
                Ok(KeeperReply::NotLeader(hint)) => self.note_leader_hint(at, hint, &mut last),
                Ok(KeeperReply::Unsure) => {
                    unsure = true;
                    last = "the leader cannot confirm that the call is committed".to_string();
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

    /// Moves to the leader that a keeper named, or after a pause to the next keeper if it named
    /// none.
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

/// Returns the kind under which the bytes of a call are counted.
fn kind_of(call: &KeeperCall) -> &'static str {
    match call {
        KeeperCall::Identity => "identity",
        KeeperCall::Join(..) | KeeperCall::Leave(..) => "session",
        KeeperCall::Changes(_) => "changes",
        KeeperCall::Roster => "roster",
        KeeperCall::Claims(..) => "claims",
    }
}
