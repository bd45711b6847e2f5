//! Reads the platform's list of upstreams, at the leader, and tells the others of it.
//!
//! One VM reads, since calls cost and are limited; a VM without contact to a leader
//! reads for itself, slowly.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use tracing::{info, warn};

use super::vm_node::VmNode;
use crate::protocol::vm_wire::{ListMark, VmMessage};
use crate::state::ids::UpstreamKey;
use crate::state::upstream_list::UpstreamEntry;

/// How often the leader reads the list, in milliseconds: the list itself lags by 800 ms, and
/// an upstream that leaves must get nothing after 3 s.
const READ_MS: u64 = 600;
/// A VM that heard no leader for this long reads for itself, in milliseconds.
const ALONE_MS: u64 = 2500;
/// How long one call may take.
const CALL_TIME: Duration = Duration::from_millis(1000);
/// The largest page, in bytes.
const PAGE_BYTES: usize = 4 << 20;
/// The most pages that are read, so that a list that never ends can't hold the VM.
const MOST_PAGES: usize = 1000;

impl VmNode {
    /// Reads the list, again and again, when it is this VM's turn.
    pub async fn keep_list(self: Rc<Self>) {
        let mut fails = 0u64;
        loop {
            let pause = READ_MS + fails.min(4) * READ_MS / 2 + self.draw() % 50;
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let now_ms = self.now_ms();
            let leads = self.keeper.borrow().as_ref().is_some_and(|k| k.may_vouch(now_ms));
            let alone = self.view.borrow().heard_ms + ALONE_MS < now_ms;
            // Those alone share the calls by chance: one in three of them reads at a time.
            let its_turn = leads || (alone && self.draw() % 3 == 0);
            if !its_turn {
                continue;
            }
            match self.read_list().await {
                Ok(rows) => {
                    fails = 0;
                    self.take_list(rows);
                }
                Err(error) => {
                    if fails == 0 {
                        warn!(target: "list", "cannot be read: {error}");
                    }
                    fails += 1;
                }
            }
            let upstreams = self.upstreams.borrow();
            self.pool.sweep(
                |key| upstreams.entries.contains_key(&key) || key == self.list_key(),
                self.now_ms(),
            );
        }
    }

    fn list_key(&self) -> UpstreamKey {
        UpstreamKey(0)
    }

    fn take_list(&self, rows: Vec<UpstreamEntry>) {
        let now_ms = self.now_ms();
        let changed = self.upstreams.borrow_mut().replace(rows, now_ms);
        let keeper = self.keeper.borrow();
        let Some(keeper) = keeper.as_ref().filter(|keeper| keeper.may_vouch(now_ms)) else {
            return;
        };
        let mut view = self.view.borrow_mut();
        let new_term = view.list_mark.term != keeper.term();
        if !changed && !new_term {
            return;
        }
        let change = if new_term { 1 } else { view.list_mark.change + 1 };
        view.list_mark = ListMark { term: keeper.term(), change };
        let rows = self.upstreams.borrow().rows();
        info!(target: "list", upstreams = rows.len(), change, "changed");
        let others = view.roster.iter().map(|row| row.id).filter(|id| *id != self.id);
        self.links.send_all(others, &VmMessage::List { mark: view.list_mark, rows });
    }

    async fn read_list(&self) -> Result<Vec<UpstreamEntry>, String> {
        let mut rows = Vec::new();
        let mut next: Option<String> = None;
        for _ in 0..MOST_PAGES {
            let call = self.adapter.list_call(next.as_deref());
            let body = tokio::time::timeout(CALL_TIME, self.call_list(&call));
            let body = body.await.map_err(|_| "no answer in time".to_string())??;
            let page = self.adapter.read_list(&body)?;
            rows.extend(page.rows);
            match page.next {
                Some(token) => next = Some(token),
                None => return Ok(rows),
            }
        }
        Err(format!("more than {MOST_PAGES} pages"))
    }

    async fn call_list(&self, call: &str) -> Result<Bytes, String> {
        let address = self.settings.borrow().list.address;
        let lease = self.pool.take(self.list_key(), address, self.now_ms()).await;
        let mut lease = lease.ok_or("cannot connect")?;
        let request = Request::get(call)
            .header(HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| error.to_string())?;
        let answer = lease.sender().send_request(request).await;
        let answer = answer.map_err(|error| error.to_string())?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), PAGE_BYTES).collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        lease.finish(false, None, self.now_ms()).await;
        match status {
            StatusCode::OK => Ok(body),
            other => Err(format!("status {other}")),
        }
    }
}
