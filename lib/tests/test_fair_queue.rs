//! The order in which requests that wait for an engine are served.

use wingshed_lib::coordination::fair_queue::*;
use wingshed_lib::coordination::workspace_share::{ShareTable, PRESENCE_MS};
use wingshed_lib::state::ids::*;

const FLEET: FleetKey = FleetKey(1);

fn waiting(ticket: u64, workspace: u64, class: RequestClass, since_ms: u64) -> WaitingRequest {
    WaitingRequest {
        ticket,
        workspace: WorkspaceKey(workspace),
        weight: 1,
        class,
        work: 100,
        since_ms,
        until_ms: since_ms + 600_000,
        only: None,
    }
}

fn drain_queue(queue: &mut FairQueue, now_ms: u64) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(now_ms, |_| true)).map(|request| request.ticket).collect()
}

#[test]
fn classes_go_in_order_and_a_digest_that_waited_is_never_starved() {
    let mut queue = FairQueue::default();
    queue.push(waiting(1, 1, RequestClass::Batch, 0), 100);
    queue.push(waiting(2, 1, RequestClass::Normal, 0), 100);
    queue.push(waiting(3, 1, RequestClass::Live, 0), 100);
    assert_eq!(drain_queue(&mut queue, 10), [3, 2, 1]);

    // A batch request beside an endless stream of live ones.
    let mut queue = FairQueue::default();
    queue.push(waiting(1, 1, RequestClass::Batch, 0), 10_000);
    let mut served_ms = None;
    for step in 0..300u64 {
        let now_ms = step * 100;
        queue.push(waiting(1000 + 2 * step, 2, RequestClass::Live, now_ms), 10_000);
        queue.push(waiting(1001 + 2 * step, 2, RequestClass::Live, now_ms), 10_000);
        if queue.pop(now_ms, |_| true).is_some_and(|request| request.ticket == 1) {
            served_ms = Some(now_ms);
            break;
        }
    }
    let served_ms = served_ms.expect("the batch request is served");
    assert!(served_ms >= 2 * AGE_STEP_MS, "it waited for the live requests first");
    assert!(served_ms <= 2 * AGE_STEP_MS + 1000, "and no longer than two steps of ageing");
}

#[test]
fn a_quiet_workspace_does_not_wait_behind_a_surge() {
    let mut queue = FairQueue::default();
    for ticket in 0..1000 {
        queue.push(waiting(ticket, 1, RequestClass::Normal, 0), 10_000);
    }
    queue.push(waiting(5000, 2, RequestClass::Normal, 0), 10_000);

    let order = drain_queue(&mut queue, 1);

    let position = order.iter().position(|ticket| *ticket == 5000).unwrap();
    assert!(position <= 2, "served at position {position}");
}

#[test]
fn workspaces_share_by_weight() {
    let mut queue = FairQueue::default();
    for ticket in 0..300 {
        let weight = if ticket % 2 == 0 { 3 } else { 1 };
        let request = waiting(ticket, 1 + ticket % 2, RequestClass::Normal, 0);
        queue.push(WaitingRequest { weight, ..request }, 10_000);
    }

    let first: Vec<u64> = drain_queue(&mut queue, 1).into_iter().take(80).collect();

    let heavy = first.iter().filter(|ticket| **ticket % 2 == 0).count();
    assert!((55..=65).contains(&heavy), "{heavy} of 80 went to the workspace of weight 3");
}

#[test]
fn who_waits_for_a_certain_engine_holds_up_nobody() {
    let mut queue = FairQueue::default();
    let only = Some(UpstreamKey(9));
    queue.push(WaitingRequest { only, ..waiting(1, 1, RequestClass::Normal, 0) }, 100);
    queue.push(waiting(2, 1, RequestClass::Normal, 0), 100);

    let popped = queue.pop(1, |request| request.only.is_none());

    assert_eq!(popped.map(|request| request.ticket), Some(2));
    assert!(!queue.has_waiting(RequestClass::Live));
    let expired = queue.expire(700_000);
    assert_eq!(expired.len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn a_surging_workspace_leaves_places_only_while_others_are_present() {
    let (surging, quiet) = (WorkspaceKey(1), WorkspaceKey(2));
    let mut shares = ShareTable::default();
    shares.note_request(FLEET, surging, 1000);
    (0..8).for_each(|_| shares.enter(FLEET, surging));
    assert!(!shares.is_heavy(FLEET, surging, 16, 1000), "it is alone");

    shares.note_request(FLEET, quiet, 2000);
    assert!(shares.is_heavy(FLEET, surging, 16, 2001));
    assert!(!shares.is_heavy(FLEET, quiet, 16, 2001), "the quiet workspace is not limited");
    shares.leave(FLEET, surging);
    assert!(!shares.is_heavy(FLEET, surging, 16, 2001), "below half of the slots");
    shares.enter(FLEET, surging);
    shares.expire(2000 + PRESENCE_MS);
    assert!(!shares.is_heavy(FLEET, surging, 16, 2000 + PRESENCE_MS), "alone again");
}
