//! Hears what an upstream says of itself in an answer.
//!
//! Invariant: only an answer to the request that was sent, by the incarnation that it was sent to, says
//! something of that incarnation. See `docs/design/upstream-notices.md`.

use hyper::http::response;
use tracing::info;

use super::vm_place::SendPlace;
use super::vm_task::CallerTask;
use crate::protocol::wire_adapter::UpstreamAnswer;

impl CallerTask {
    /// Takes the notices of the head of an answer to this request.
    pub(super) fn hear_notices(&self, place: &SendPlace, facts: &UpstreamAnswer) {
        if facts.other_incarnation {
            return;
        }
        let now_ms = self.node.now_ms();
        let drain_ms = self.node.settings.borrow().bounds.drain_ms;
        let mut notices = self.node.pool.notices().borrow_mut();
        match facts.backoff_ms {
            Some(rest_ms) => {
                notices.note_rest(place.upstream, rest_ms, self.node.clock.next_ms());
                self.node.figures.borrow_mut().backoffs += 1;
            }
            None if facts.not_run => notices.note_turned_away(place.upstream, now_ms),
            None => notices.note_taken(place.upstream, now_ms),
        }
        if facts.leaving && notices.note_leaving(place.upstream, drain_ms, now_ms) {
            info!(target: "upstream", life = place.send.name, "says that it leaves");
        }
    }

    /// Logs that an upstream turned the request away, and whether it had asked for rest before.
    pub(super) fn log_turned_away(
        &self,
        place: &SendPlace,
        facts: &UpstreamAnswer,
        head: &response::Parts,
        kept: bool,
    ) {
        let rests_ms = self.node.pool.notices().borrow().rest_ms(place.upstream, place.sent_ms);
        info!(
            target: "upstream", life = place.send.name, attempt = self.caller.attempt,
            status = head.status.as_u16(), asks_ms = facts.backoff_ms, rests_ms,
            kept, "did not run it",
        );
    }
}
