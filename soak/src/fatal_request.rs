//! A request that ends each upstream that runs it, and comes again at all VMs in turn.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

use crate::caller::{CallerShared, SoakCaller};
use crate::ledger::{FatalRow, RequestKind, Touched};
use crate::site::SoakSite;
use crate::upstream::FATAL_BODY;

/// It comes again so often.
const SEND_INTERVAL: Duration = Duration::from_millis(350);
/// An upstream that ended is back after this.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// How often upstreams are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(3);

/// Sends the request of this number for so many milliseconds, and waits for the end of all that.
pub async fn send_fatal(site: Rc<SoakSite>, callers: Rc<CallerShared>, number: u64, ms: u64) {
    let row = row_index(&site, number);
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

/// The row of a request; one that comes a second time has the same.
fn row_index(site: &SoakSite, number: u64) -> usize {
    let rows = &mut site.ledger.rows.borrow_mut().fatal;
    let known = rows.iter().position(|row| row.number == number);
    known.unwrap_or_else(|| {
        rows.push(FatalRow { number, ..FatalRow::default() });
        rows.len() - 1
    })
}

async fn send_once(site: Rc<SoakSite>, callers: Rc<CallerShared>, row: usize, at: u64) {
    let spec = site.vms[at as usize % site.vms.len()].spec.clone();
    let (attempt, body) = {
        let rows = &mut site.ledger.rows.borrow_mut().fatal[row];
        let attempt = format!("{:08x}{:08x}", rows.number as u32 ^ 0x5a5a, rows.attempts.len());
        rows.attempts.push(attempt.clone());
        (attempt, format!("{FATAL_BODY} {}", rows.number))
    };
    let mut caller = SoakCaller::new(callers, spec, at).with_steady_key();
    caller.request_as(&attempt, "once", RequestKind::Once, &body).await;
}

/// Ends upstreams that began to run it, and starts each again.
async fn crash_upstreams(site: Rc<SoakSite>, row: usize, active: Rc<Cell<bool>>) {
    let mut restarts = Vec::new();
    while active.get() {
        for (at, upstream) in site.upstreams.iter().enumerate() {
            let fatal = upstream
                .incarnation
                .borrow()
                .as_ref()
                .is_some_and(|incarnation| incarnation.is_fatal());
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
