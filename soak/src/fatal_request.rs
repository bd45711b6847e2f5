//! Sends requests that crash every upstream that runs them, to all VMs in turn: the same one again and again, or
//! others that share a part of their prompts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

use crate::caller::{CallerShared, SoakCaller};
use crate::ledger::{FatalCause, FatalRow, RequestKind, Touched};
use crate::site::SoakSite;
use crate::upstream::{FATAL_BODY, FATAL_PART};

/// Interval between two sends of the request.
const SEND_INTERVAL: Duration = Duration::from_millis(350);
/// Delay after which a crashed upstream is started again.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Interval at which upstreams are checked for a run of the request.
const WATCH_INTERVAL: Duration = Duration::from_millis(3);

/// Repeats the request of this number, or sends others with the prompt part of this number, for `ms`
/// milliseconds. Waits until all attempts have ended and all crashed upstreams are started again.
pub async fn send_fatal(
    site: Rc<SoakSite>,
    callers: Rc<CallerShared>,
    (number, cause): (u64, FatalCause),
    ms: u64,
) {
    let row = row_index(&site, number, cause);
    let spans: Vec<usize> =
        (0..site.upstreams.len()).map(|at| site.begin_span(Touched::Upstream(at))).collect();
    let active = Rc::new(Cell::new(true));
    let watch = spawn_local(crash_upstreams(site.clone(), row, active.clone()));
    let until_ms = site.ledger.now_ms() + ms;
    let mut tasks = Vec::new();
    while site.ledger.now_ms() < until_ms {
        let at = tasks.len();
        tasks.push(spawn_local(send_once(site.clone(), callers.clone(), row, at as u64)));
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    for task in tasks {
        let _ = task.await;
    }
    active.set(false);
    let _ = watch.await;
    spans.into_iter().for_each(|span| site.ledger.end_span(span));
}

/// Returns the index of the ledger row of the request of this number, and adds the row if there is none. A
/// request that is sent again later in the run shares the row of its number.
fn row_index(site: &SoakSite, number: u64, cause: FatalCause) -> usize {
    let rows = &mut site.ledger.rows.borrow_mut().fatal;
    let known = rows.iter().position(|row| row.number == number && row.cause == cause);
    known.unwrap_or_else(|| {
        rows.push(FatalRow { number, cause, ..FatalRow::default() });
        rows.len() - 1
    })
}

/// Sends one attempt, number `at` of this call, to the VM whose turn it is.
async fn send_once(site: Rc<SoakSite>, callers: Rc<CallerShared>, row: usize, at: u64) {
    let spec = site.vms[at as usize % site.vms.len()].spec.clone();
    let (attempt, body, prompt) = {
        let rows = &mut site.ledger.rows.borrow_mut().fatal[row];
        let mask = if rows.cause == FatalCause::Request { 0x5a5a } else { 0xa5a5 };
        let attempt = format!("{:08x}{:08x}", rows.number as u32 ^ mask, rows.attempts.len());
        rows.attempts.push(attempt.clone());
        match rows.cause {
            FatalCause::Request => (attempt, format!("{FATAL_BODY} {}", rows.number), None),
            FatalCause::Part => {
                let prompt = fatal_prompt(rows.number, rows.attempts.len());
                (attempt.clone(), attempt, Some(prompt))
            }
        }
    };
    let mut caller = SoakCaller::new(callers, spec, at).with_steady_key().with_prompt(prompt);
    caller.request_as(&attempt, "once", RequestKind::Once, &body).await;
}

/// The parts of a prompt with the fatal part of this number, in various places; the last one is unique.
fn fatal_prompt(number: u64, attempt: usize) -> String {
    let fatal = format!("{FATAL_PART}{:x}:200", number & 0xffff);
    let (root, other) = ("a1:400".to_string(), format!("b{}:100", attempt % 3));
    let mut parts = vec![root, other];
    parts.insert(number as usize % 3, fatal);
    parts.push(format!("{attempt:x}{:x}:50", number & 0xffff));
    parts.join(",")
}

/// Crashes each upstream that began to run the request and starts it again, until `active` is false.
async fn crash_upstreams(site: Rc<SoakSite>, row: usize, active: Rc<Cell<bool>>) {
    let mut restarts = Vec::new();
    while active.get() {
        for (at, upstream) in site.upstreams.iter().enumerate() {
            let fatal = upstream
                .incarnation
                .borrow()
                .as_ref()
                .is_some_and(|incarnation| incarnation.has_fatal_request());
            if fatal {
                drop(upstream.incarnation.take());
                let now_ms = site.ledger.now_ms();
                site.ledger.rows.borrow_mut().fatal[row].ended_ms.push(now_ms);
                restarts.push(spawn_local(restart_upstream(site.clone(), at)));
            }
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
    for restart in restarts {
        let _ = restart.await;
    }
}

async fn restart_upstream(site: Rc<SoakSite>, at: usize) {
    tokio::time::sleep(RESTART_DELAY).await;
    crate::steps::start_incarnation(&site, at, false).await;
}
