//! A request that ends each upstream that runs it, and comes again at all VMs in turn.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

use crate::caller::{CallerShared, SoakCaller};
use crate::ledger::{AskKind, FatalRow, Touched};
use crate::site::SoakSite;
use crate::upstream::FATAL_BODY;

/// It comes again so often.
const COMES_EACH: Duration = Duration::from_millis(350);
/// An upstream that ended is back after this.
const BACK_AFTER: Duration = Duration::from_millis(1_500);
/// How often upstreams are looked at.
const LOOK_EACH: Duration = Duration::from_millis(3);

/// Sends the request of this number for so many milliseconds, and waits for the end of all that.
pub async fn send_fatal(site: Rc<SoakSite>, callers: Rc<CallerShared>, number: u64, ms: u64) {
    let row = fatal_row(&site, number);
    let spans: Vec<usize> =
        (0..site.upstreams.len()).map(|at| site.disturb(Touched::Upstream(at))).collect();
    let coming = Rc::new(Cell::new(true));
    let watch = spawn_local(end_upstreams(site.clone(), row, coming.clone()));
    let until_ms = site.ledger.now_ms() + ms;
    let mut asking = Vec::new();
    while site.ledger.now_ms() < until_ms {
        let at = asking.len();
        asking.push(spawn_local(ask_once(site.clone(), callers.clone(), row, at as u64)));
        tokio::time::sleep(COMES_EACH).await;
    }
    for ask in asking {
        let _ = ask.await;
    }
    coming.set(false);
    let _ = watch.await;
    spans.into_iter().for_each(|span| site.ledger.calm(span));
}

/// The row of a request; one that comes a second time has the same.
fn fatal_row(site: &SoakSite, number: u64) -> usize {
    let rows = &mut site.ledger.rows.borrow_mut().fatal;
    let known = rows.iter().position(|row| row.number == number);
    known.unwrap_or_else(|| {
        rows.push(FatalRow { number, ..FatalRow::default() });
        rows.len() - 1
    })
}

async fn ask_once(site: Rc<SoakSite>, callers: Rc<CallerShared>, row: usize, at: u64) {
    let place = site.vms[at as usize % site.vms.len()].place.clone();
    let (attempt, body) = {
        let rows = &mut site.ledger.rows.borrow_mut().fatal[row];
        let attempt = format!("{:08x}{:08x}", rows.number as u32 ^ 0x5a5a, rows.attempts.len());
        rows.attempts.push(attempt.clone());
        (attempt, format!("{FATAL_BODY} {}", rows.number))
    };
    let mut caller = SoakCaller::new(callers, place, at).steady();
    caller.ask_as(&attempt, "once", AskKind::Once, &body).await;
}

/// Ends upstreams that began to run it, and starts each again.
async fn end_upstreams(site: Rc<SoakSite>, row: usize, coming: Rc<Cell<bool>>) {
    let mut returning = Vec::new();
    while coming.get() {
        for (at, upstream) in site.upstreams.iter().enumerate() {
            let fatal = upstream.life.borrow().as_ref().is_some_and(|life| life.is_fatal());
            if fatal {
                drop(upstream.life.take());
                let now_ms = site.ledger.now_ms();
                site.ledger.rows.borrow_mut().fatal[row].ended_ms.push(now_ms);
                returning.push(spawn_local(start_again(site.clone(), at)));
            }
        }
        tokio::time::sleep(LOOK_EACH).await;
    }
    for start in returning {
        let _ = start.await;
    }
}

async fn start_again(site: Rc<SoakSite>, at: usize) {
    tokio::time::sleep(BACK_AFTER).await;
    crate::steps::start_life(&site, at, false).await;
}
