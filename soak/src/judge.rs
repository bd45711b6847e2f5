//! Finds the promises that a run broke, from the rows of its ledger.
//!
//! The bounds are those of the settings that the soak writes. Most of them apply to a VM only while it is in
//! contact: from [`CONTACT_MS`] after the end of the last disturbance of that VM on.

use std::collections::{BTreeSet, HashMap};

use crate::judge_answers::answer_fault;
use crate::judge_streams::{mixed_streams, resumption_fault, stream_counts, StreamCount};
use crate::ledger::{
    ArrivalRow, DocumentRow, FatalCause, LedgerRows, OrderContent, OrderRow, RequestEnd,
    RequestKind, RequestRow, RollOutRow, RunRow, SpanRow, Touched,
};
use crate::operator::version_of;
use crate::rollouts::UNKNOWN;

/// Milliseconds after the end of its last disturbance until a VM counts as in contact (`contactMs`).
const CONTACT_MS: u64 = 4_000;
/// Milliseconds from the acknowledgement of a configuration until it is in force (`configApplyMs`).
const APPLY_MS: u64 = 2_500;
/// Milliseconds from the acknowledgement of a revocation until the key is refused (`revokeMs`).
const REVOKE_MS: u64 = 5_000;
/// Milliseconds after which a leaving upstream gets no new requests (`drainMs`).
const DRAIN_MS: u64 = 4_000;
/// Milliseconds after which an evacuated zone gets no new requests (`evacMs`).
const EVACUATION_MS: u64 = 5_000;
/// Milliseconds that are added to a bound while one of the [`CORE_VMS`] is disturbed (`outerMs`).
const CORE_ALLOWANCE_MS: u64 = 6_000;
/// Milliseconds that a planned stop can last: the 8 s of `graceS`, and one second more. A request that ends
/// within them counts as ended during the stop.
const PLANNED_STOP_MS: u64 = 9_000;
/// Share of the requests of its service that an unsound version may get (`exposeShare`).
const EXPOSURE_SHARE: f64 = 0.1;
/// Requests that an unsound version may get beyond [`EXPOSURE_SHARE`] (`exposeSlack`).
const EXPOSURE_SLACK: f64 = 50.0;
/// Milliseconds after bad answer number [`BAD_ANSWERS`] of an unsound version until it gets no new requests
/// (`rollbackMs`).
const ROLL_BACK_MS: u64 = 5_000;
/// Bad answers of an unsound version after which [`ROLL_BACK_MS`] starts.
const BAD_ANSWERS: usize = 50;
/// Milliseconds for which an order is sent again (`ackMs`). An order without an acknowledgement may have been
/// accepted at any time until then.
const REPEAT_MS: u64 = 5_000;
/// Milliseconds by which two observers may differ in the time that they record for one event. They share a
/// clock, but a loaded machine delays them.
const CLOCK_SLACK_MS: u64 = 250;
/// Upstreams that one request may crash before VMs must refuse it, and sends of it that are tolerated after
/// that.
const FATAL_TOLERANCE: usize = 3;
/// Upstreams that requests with one prompt part may crash before VMs must refuse them.
const FATAL_PART_CRASHES: usize = 5;
/// Falls of the upstreams of a brittle service that are tolerated, and one more for this many upstreams.
const FALL_TOLERANCE: usize = 2;
const FALL_UPSTREAMS: usize = 10;
/// Requests that one VM may send to an upstream during a back-off which that upstream requested from it,
/// counted from [`BACKOFF_GRACE_MS`] after the upstream did so.
const BACKOFF_TOLERANCE: usize = 2;
/// Milliseconds after the request for back-off in which sends are not counted.
const BACKOFF_GRACE_MS: u64 = 500;
/// How often VMs that are partitioned from all upstreams must serve, as a share of how often others do.
const PARTITIONED_SHARE: f64 = 2.0 / 3.0;
/// Requests that may fail at these VMs whatever the others serve, and one more in this many requests.
const PARTITIONED_SLACK: usize = 10;
const PARTITIONED_FAILURE_INTERVAL: usize = 50;
/// The number of VMs with a disk, the first ones by index, that store the agreed state.
const CORE_VMS: usize = 3;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenPromise {
    /// The name of the promise.
    pub promise: &'static str,
    /// The observation that breaks the promise.
    pub details: String,
}

/// How many requests were sent, and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct ServedCount {
    sent: usize,
    served: usize,
}

impl ServedCount {
    fn add(&mut self, request: &RequestRow) {
        self.sent += 1;
        self.served += usize::from(request.end == RequestEnd::Whole);
    }

    /// Whether these are served less than [`PARTITIONED_SHARE`] times as often as others, and more fail than
    /// chance explains.
    fn is_far_below(&self, others: &ServedCount) -> bool {
        let failed = self.sent - self.served;
        let total = self.sent + others.sent;
        let allowed = PARTITIONED_SLACK + total / PARTITIONED_FAILURE_INTERVAL;
        let share = |count: &ServedCount| count.served as f64 / count.sent.max(1) as f64;
        self.sent > 0
            && others.sent > 0
            && failed > allowed
            && share(self) < PARTITIONED_SHARE * share(others)
    }
}

/// The rows of a run, indexed by attempt, and the broken promises found so far.
struct RunJudge<'a> {
    rows: &'a LedgerRows,
    requests: HashMap<&'a str, &'a RequestRow>,
    runs: HashMap<&'a str, Vec<&'a RunRow>>,
    broken: Vec<BrokenPromise>,
}

/// Returns the numbers of new streams and of resumed ones that are compared.
pub fn compared_streams(rows: &LedgerRows) -> (StreamCount, StreamCount) {
    let judge = RunJudge::new(rows);
    stream_counts(rows, |request| judge.may_be_compared(request) && judge.may_reach(request))
}

/// Returns all broken promises.
pub fn judge(rows: &LedgerRows) -> Vec<BrokenPromise> {
    let mut judge = RunJudge::new(rows);
    for fault in &rows.run_faults {
        judge.add("recovery", fault.clone());
    }
    judge.check_answers();
    judge.check_streams();
    judge.check_partitions();
    judge.check_planned_stops();
    judge.check_leaving();
    judge.check_notices();
    judge.check_backoffs();
    judge.check_zones();
    judge.check_documents();
    judge.check_keys();
    judge.check_reads();
    judge.check_rollouts();
    judge.check_fatal_requests();
    judge.check_brittle();
    judge.broken
}

impl<'a> RunJudge<'a> {
    fn new(rows: &'a LedgerRows) -> RunJudge<'a> {
        let mut runs: HashMap<&str, Vec<&RunRow>> = HashMap::new();
        for run in &rows.runs {
            runs.entry(&run.attempt).or_default().push(run);
        }
        let requests =
            rows.requests.iter().map(|request| (request.attempt.as_str(), request)).collect();
        RunJudge { rows, requests, runs, broken: Vec::new() }
    }

    fn add(&mut self, promise: &'static str, details: String) {
        self.broken.push(BrokenPromise { promise, details });
    }

    fn runs_of(&self, request: &RequestRow) -> &[&'a RunRow] {
        self.runs.get(request.attempt.as_str()).map_or(&[], Vec::as_slice)
    }

    /// Checks that complete answers are whole, that requests run at most as often as their route permits, and
    /// that refused requests did not run.
    fn check_answers(&mut self) {
        for request in &self.rows.requests {
            let runs = self.runs_of(request).len();
            if let RequestEnd::Wrong(how) = &request.end {
                self.add("whole answers", format!("{how}: {request:?}"));
            }
            let repeats = matches!(request.kind, RequestKind::Safe | RequestKind::Resume);
            if runs > 1 && !repeats {
                self.add("runs once", format!("{runs} runs: {request:?}"));
            }
            if matches!(request.end, RequestEnd::Status(408 | 421 | 429 | 503))
                && runs > 0
                && !repeats
            {
                self.add("not run", format!("{runs} runs: {request:?}"));
            }
            if let Some(how) = answer_fault(self.rows, request, self.runs_of(request)) {
                self.add("whole answers", format!("{how}: {request:?}"));
            }
        }
    }

    /// Checks that a stream holds events of one version only, over all attempts of its caller, and that resumed
    /// streams go on where their version serves.
    fn check_streams(&mut self) {
        for mixed in mixed_streams(self.rows) {
            self.add("streams of one version", mixed);
        }
        let (new, resumed) = compared_streams(self.rows);
        if let Some(fault) = resumption_fault(&new, &resumed) {
            self.add("streams go on", fault);
        }
    }

    /// Checks that VMs which are partitioned from all upstreams, while others aren't, serve their callers nearly
    /// as often as those. Each moment at which a partition begins or ends starts another comparison.
    fn check_partitions(&mut self) {
        let partitions = || {
            let spans = self.rows.spans.iter();
            spans.filter(|span| matches!(span.touched, Touched::Partition(_)))
        };
        let edges = partitions().flat_map(|span| [Some(span.from_ms), span.until_ms]).flatten();
        let edges: BTreeSet<u64> = edges.collect();
        let edges: Vec<u64> = edges.into_iter().collect();
        let vms: BTreeSet<usize> = self.rows.requests.iter().map(|request| request.vm).collect();
        for window in edges.windows(2) {
            let (from_ms, until_ms) = (window[0] + CONTACT_MS, window[1]);
            let is_cut_off = |vm: usize| {
                let mut spans = partitions().filter(|span| span.touched == Touched::Partition(vm));
                spans.any(|span| span.overlaps(window[0] + 1, until_ms.saturating_sub(1)))
            };
            let reaching: Vec<usize> = vms.iter().copied().filter(|vm| !is_cut_off(*vm)).collect();
            let (mut cut_off, mut others) = (ServedCount::default(), ServedCount::default());
            for request in &self.rows.requests {
                let within = (from_ms..until_ms).contains(&request.sent_ms);
                if within && self.may_be_compared(request) && self.has_contact(&reaching, request) {
                    let count = if is_cut_off(request.vm) { &mut cut_off } else { &mut others };
                    count.add(request);
                }
            }
            if cut_off.is_far_below(&others) {
                let details = format!("{from_ms} to {until_ms} ms: {cut_off:?}, others {others:?}");
                self.broken.push(BrokenPromise { promise: "partitions", details });
            }
        }
    }

    /// Whether one of these VMs was in contact throughout a request, and could have served it.
    fn has_contact(&self, vms: &[usize], request: &RequestRow) -> bool {
        let since = |vm: &usize| self.in_contact_since(*vm, request.ended_ms);
        vms.iter().filter_map(since).any(|since_ms| since_ms <= request.sent_ms)
    }

    /// Whether a VM in contact that isn't partitioned from all upstreams could have served a request throughout.
    fn may_reach(&self, request: &RequestRow) -> bool {
        let vms: BTreeSet<usize> = self.rows.requests.iter().map(|request| request.vm).collect();
        let reaches = |vm: &usize| {
            let cut_off = |span: &&SpanRow| span.touched == Touched::Partition(*vm);
            let mut spans = self.rows.spans.iter().filter(cut_off);
            !spans.any(|span| span.overlaps(request.sent_ms, request.ended_ms))
        };
        let reaching: Vec<usize> = vms.into_iter().filter(reaches).collect();
        self.has_contact(&reaching, request)
    }

    /// Whether nothing but a partition can be at fault for how a request ended: its VM was in contact, its
    /// caller reached the VM, and its key was not revoked.
    fn may_be_compared(&self, request: &RequestRow) -> bool {
        let front = Touched::Front(request.vm);
        let mut fronts = self.rows.spans.iter().filter(|span| span.touched == front);
        self.in_contact_since(request.vm, request.ended_ms).is_some()
            && !fronts.any(|span| span.overlaps(request.sent_ms, request.ended_ms))
            && request.end != RequestEnd::Status(401)
    }

    /// Whether a disturbance other than a planned stop overlaps this time.
    fn was_disturbed_unplanned(&self, from_ms: u64, until_ms: u64) -> bool {
        let unplanned = |span: &&SpanRow| !matches!(span.touched, Touched::PlannedVm(_));
        self.rows.spans.iter().filter(unplanned).any(|span| span.overlaps(from_ms, until_ms))
    }

    /// Checks that no request which had reached an upstream is cut off by a planned stop. A stop that
    /// coincides with another kind of disturbance is not judged.
    fn check_planned_stops(&mut self) {
        for request in &self.rows.requests {
            let stop = self.rows.spans.iter().find(|span| {
                span.touched == Touched::PlannedVm(request.vm)
                    && (span.from_ms..span.from_ms + PLANNED_STOP_MS).contains(&request.ended_ms)
            });
            let cut = matches!(request.end, RequestEnd::Cut | RequestEnd::Late);
            let sent_on = !self.runs_of(request).is_empty();
            if stop.is_some() && cut && sent_on {
                let from_ms = request.sent_ms.saturating_sub(CONTACT_MS);
                if !self.was_disturbed_unplanned(from_ms, request.ended_ms + CLOCK_SLACK_MS) {
                    self.add("planned stops cut nothing", format!("{request:?}"));
                }
            }
        }
    }

    /// Since when the VM has been in contact at `at_ms`; none if it is not in contact then.
    fn in_contact_since(&self, vm: usize, at_ms: u64) -> Option<u64> {
        let mut since = 0;
        for span in &self.rows.spans {
            let own = matches!(span.touched, Touched::Vm(x) | Touched::PlannedVm(x) if x == vm);
            if own && span.from_ms <= at_ms {
                since = since.max(span.until_ms? + CONTACT_MS);
            }
        }
        (since <= at_ms).then_some(since)
    }

    /// Milliseconds to add to a bound because one of the [`CORE_VMS`] was disturbed, or not yet back in
    /// contact, between these times; 0 if none was.
    fn core_allowance_ms(&self, from_ms: u64, until_ms: u64) -> u64 {
        let core = self.rows.spans.iter().any(|span| {
            let vm = match span.touched {
                Touched::Vm(vm) | Touched::PlannedVm(vm) => vm,
                _ => return false,
            };
            vm < CORE_VMS && span.overlaps(from_ms.saturating_sub(CONTACT_MS), until_ms)
        });
        if core {
            CORE_ALLOWANCE_MS
        } else {
            0
        }
    }

    /// Checks that upstreams that the list shows as leaving get no requests after the bound.
    fn check_leaving(&mut self) {
        for run in &self.rows.runs {
            let Some(mut since) = self.in_contact_since(run.sender, run.at_ms) else { continue };
            for span in &self.rows.spans {
                if span.touched == Touched::List && span.from_ms <= run.at_ms {
                    since = since.max(span.until_ms.unwrap_or(run.at_ms) + CONTACT_MS);
                }
            }
            let left = self.rows.leaving.iter().find(|row| {
                let until_ms = row.until_ms.unwrap_or(u64::MAX);
                row.upstream == run.upstream
                    && row.incarnation == run.life
                    && run.at_ms < until_ms
                    && run.at_ms > row.from_ms.max(since) + DRAIN_MS + CLOCK_SLACK_MS
            });
            if let Some(row) = left {
                let late = run.at_ms - row.from_ms;
                self.add(
                    "leaving upstreams",
                    format!("{late} ms after: {run:?}, VM {}", run.sender),
                );
            }
        }
    }

    /// Whether a disturbance of this VM or of this upstream overlaps this time. Either may then be late: the
    /// VM may have been started again, suspended or cut off, and the upstream or the link to it may have
    /// failed.
    fn is_excused(&self, vm: usize, upstream: usize, from_ms: u64, until_ms: u64) -> bool {
        let touched = |span: &&SpanRow| match span.touched {
            Touched::Vm(other) | Touched::PlannedVm(other) => other == vm,
            Touched::Upstream(other) => other == upstream,
            Touched::Partition(_) | Touched::Front(_) | Touched::List => false,
        };
        self.rows.spans.iter().filter(touched).any(|span| span.overlaps(from_ms, until_ms))
    }

    /// Finds requests that a VM sent to an upstream after it had forwarded an answer in which that upstream
    /// announced that it leaves.
    fn check_notices(&mut self) {
        let mut first_notice: HashMap<(usize, u64), u64> = HashMap::new();
        for run in self.rows.runs.iter().filter(|run| run.leaving) {
            let Some(request) = self.requests.get(run.attempt.as_str()) else { continue };
            // Of several answers to one request the VM may have received this one and forwarded another.
            if request.end == RequestEnd::Whole && self.runs_of(request).len() == 1 {
                let notice_ms =
                    first_notice.entry((run.sender, run.life)).or_insert(request.ended_ms);
                *notice_ms = request.ended_ms.min(*notice_ms);
            }
        }
        for run in &self.rows.runs {
            let Some(request) = self.requests.get(run.attempt.as_str()) else { continue };
            let Some(notice_ms) = first_notice.get(&(run.sender, run.life)).copied() else {
                continue;
            };
            let late = request.sent_ms > notice_ms + DRAIN_MS + CLOCK_SLACK_MS;
            if late && !self.is_excused(run.sender, run.upstream, notice_ms, run.at_ms) {
                let after = request.sent_ms - notice_ms;
                self.add("told leaving", format!("{after} ms after: {run:?}, VM {}", run.sender));
            }
        }
    }

    /// Finds requests that a VM sent to an upstream during a back-off which that upstream had requested from
    /// it.
    fn check_backoffs(&mut self) {
        let mut sent: HashMap<(usize, u64), Vec<&ArrivalRow>> = HashMap::new();
        for row in &self.rows.arrivals {
            sent.entry((row.sender, row.life)).or_default().push(row);
        }
        for ((vm, _), rows) in sent {
            for asked in rows.iter().filter(|row| row.rest_ms > 0) {
                let until_ms = asked.at_ms + asked.rest_ms;
                let within = rows.iter().filter(|row| {
                    row.at_ms > asked.at_ms + BACKOFF_GRACE_MS + CLOCK_SLACK_MS
                        && row.at_ms < until_ms
                });
                let within = within.count();
                if within > BACKOFF_TOLERANCE
                    && !self.is_excused(vm, asked.upstream, asked.at_ms, until_ms)
                {
                    self.add("rest", format!("{within} within it, VM {vm}: {asked:?}"));
                }
            }
        }
    }

    /// Checks that evacuated zones get no requests after the bound.
    fn check_zones(&mut self) {
        for order in &self.rows.orders {
            let (OrderContent::EmptyZone(zone), Some(acked_ms)) = (&order.content, order.acked_ms)
            else {
                continue;
            };
            let until_ms = self.return_sent_ms(zone, order.sent_ms);
            for run in self.rows.runs.iter().filter(|run| run.zone == *zone) {
                let Some(since) = self.in_contact_since(run.sender, run.at_ms) else { continue };
                let from_ms = acked_ms.max(since);
                let bound =
                    EVACUATION_MS + self.core_allowance_ms(acked_ms, run.at_ms) + CLOCK_SLACK_MS;
                if run.at_ms > from_ms + bound && run.at_ms < until_ms {
                    let late = run.at_ms - acked_ms;
                    self.add(
                        "emptied zones",
                        format!("{late} ms after: {run:?}, VM {}", run.sender),
                    );
                }
            }
        }
    }

    /// When the first order after `after_ms` to take the zone back was sent; the largest time if none was.
    fn return_sent_ms(&self, zone: &str, after_ms: u64) -> u64 {
        let returns = self.rows.orders.iter().filter(
            |order| matches!(&order.content, OrderContent::ReturnZone(other) if other == zone),
        );
        let sent = returns.map(|order| order.sent_ms).filter(|sent| *sent > after_ms);
        sent.min().unwrap_or(u64::MAX)
    }

    /// The configurations that were sent and not refused.
    fn documents(&self) -> impl Iterator<Item = (&'a DocumentRow, &'a OrderRow)> + use<'a> {
        self.rows.orders.iter().filter_map(|order| match &order.content {
            OrderContent::Document(row) if order.refused.is_none() => Some((row, order)),
            _ => None,
        })
    }

    /// The oldest configuration that a VM may still apply to a request sent at `sent_ms`, if configurations
    /// are in force `bound` milliseconds after their acknowledgement; 0 if none must be in force yet.
    fn oldest_allowed(&self, sent_ms: u64, bound: u64) -> u64 {
        let held = self.documents().filter(|(_, order)| {
            order.acked_ms.is_some_and(|acked_ms| acked_ms + bound + CLOCK_SLACK_MS < sent_ms)
        });
        held.map(|(row, _)| row.version).max().unwrap_or(0)
    }

    /// Checks that requests on the moved route run at a service of a configuration that may still be in
    /// force.
    fn check_documents(&mut self) {
        for request in self.rows.requests.iter().filter(|request| request.route == "moved") {
            let Some(since) = self.in_contact_since(request.vm, request.sent_ms) else { continue };
            let bound = APPLY_MS + self.core_allowance_ms(since, request.sent_ms);
            if request.sent_ms < since + bound {
                continue;
            }
            let oldest = self.oldest_allowed(request.sent_ms, bound);
            let allowed = self.documents().filter(|(row, _)| row.version >= oldest);
            let allowed: Vec<&str> = allowed.map(|(row, _)| row.moved_to.as_str()).collect();
            let runs = self.runs_of(request).iter();
            let other = runs.copied().find(|run| !allowed.contains(&run.service.as_str()));
            if let Some(run) = other {
                self.add(
                    "orders in force",
                    format!("version {oldest} is in force, but {run:?} of {request:?}"),
                );
            }
        }
    }

    /// Checks that no request runs whose key every configuration that may be in force lacks.
    fn check_keys(&mut self) {
        for request in &self.rows.requests {
            let oldest = self.oldest_allowed(request.sent_ms, REVOKE_MS);
            let mut allowed = self.documents().filter(|(row, _)| row.version >= oldest);
            let is_valid = allowed.any(|(row, _)| row.keys.contains(&request.key));
            if !is_valid && !self.runs_of(request).is_empty() {
                self.add(
                    "keys taken away",
                    format!("version {oldest} is in force, but it ran: {request:?}"),
                );
            }
        }
    }

    /// Checks that configurations are read back as they were sent, and none that is older than the bound
    /// permits.
    fn check_reads(&mut self) {
        for read in &self.rows.reads {
            let Some(version) = version_of(&read.text) else {
                self.add("orders kept", format!("cannot be read: {}", read.text));
                continue;
            };
            let oldest = self.oldest_allowed(read.sent_ms, APPLY_MS);
            if version < oldest {
                self.add(
                    "orders kept",
                    format!(
                        "version {version} is read at VM {}, but {oldest} is in force",
                        read.vm
                    ),
                );
            }
            let sent = self.documents().find(|(row, _)| row.version == version);
            let same = sent.is_some_and(|(row, _)| same_json(&row.text, &read.text));
            if !same {
                self.add("orders kept", format!("version {version} was never sent like this"));
            }
        }
    }

    fn check_rollouts(&mut self) {
        for row in &self.rows.rollouts {
            self.check_rollout_end(row);
            if row.unsound {
                self.check_exposure(row);
                self.check_roll_back(row);
            }
        }
    }

    /// Checks that a request that crashed upstreams is refused after the bound, but for [`FATAL_TOLERANCE`]
    /// sends.
    fn check_fatal_requests(&mut self) {
        for row in &self.rows.fatal {
            let tolerated = match row.cause {
                FatalCause::Request => FATAL_TOLERANCE,
                FatalCause::Part => FATAL_PART_CRASHES,
            };
            let Some(third_ms) = row.ended_ms.get(tolerated - 1).copied() else { continue };
            let requests =
                row.attempts.iter().filter_map(|attempt| self.requests.get(attempt.as_str()));
            let late = requests.flat_map(|request| {
                self.runs_of(request).iter().filter(|run| {
                    let bound =
                        CONTACT_MS + self.core_allowance_ms(third_ms, run.at_ms) + CLOCK_SLACK_MS;
                    run.at_ms > third_ms + bound
                        && self.in_contact_since(run.sender, run.at_ms).is_some()
                })
            });
            let late: Vec<u64> = late.map(|run| run.at_ms - third_ms).collect();
            if late.len() > FATAL_TOLERANCE {
                let details =
                    format!("sent {late:?} ms after upstream number {tolerated} ended: {row:?}");
                self.add("requests that end upstreams", details);
            }
        }
    }

    /// Checks how often brittle upstreams fell over, from [`CONTACT_MS`] after they became brittle, while all VMs
    /// were in contact.
    fn check_brittle(&mut self) {
        let vms: BTreeSet<usize> = self.rows.requests.iter().map(|request| request.vm).collect();
        for row in &self.rows.brittle {
            let counts = |at_ms: &&u64| {
                **at_ms > row.from_ms + CONTACT_MS
                    && vms.iter().all(|vm| self.in_contact_since(*vm, **at_ms).is_some())
            };
            let falls = row.falls_ms.iter().filter(counts).count();
            if falls > FALL_TOLERANCE + row.upstreams / FALL_UPSTREAMS {
                let details = format!("{falls} falls: {row:?}");
                self.broken.push(BrokenPromise { promise: "brittle upstreams", details });
            }
        }
    }

    /// Checks that an acknowledged roll-out is not lost, that it ends, and that its end does not change.
    fn check_rollout_end(&mut self, row: &RollOutRow) {
        if let Some(lost) = row.reports.iter().find(|report| report.state == UNKNOWN) {
            self.add("orders kept", format!("a roll-out is lost: {lost:?} of {row:?}"));
        }
        let reports = || row.reports.iter().filter(|report| report.target == row.target);
        let Some(end) = reports().find(|report| report.state != "running") else {
            if row.acked_ms.is_some() {
                self.add("roll-outs end", format!("no end was reported: {row:?}"));
            }
            return;
        };
        if let Some(other) = reports().find(|t| t.at_ms > end.at_ms && t.state != end.state) {
            self.add("roll-outs' ends stay", format!("{end:?}, then {other:?}"));
        }
    }

    /// Runs at the target version of requests by VMs in contact, each with the time at which the caller sent
    /// it.
    fn exposed(&self, row: &RollOutRow) -> Vec<(&'a RunRow, u64)> {
        let target_runs = self.rows.runs.iter().filter(|run| run.version == row.target);
        let sent_runs = target_runs.filter_map(|run| {
            let request = self.requests.get(run.attempt.as_str())?;
            self.in_contact_since(run.sender, run.at_ms)?;
            Some((run, request.sent_ms))
        });
        sent_runs.collect()
    }

    /// Checks how many requests an unsound version got during its roll-out.
    fn check_exposure(&mut self, row: &RollOutRow) {
        let until_ms = row.acked_ms.unwrap_or(row.sent_ms + REPEAT_MS) + row.duration_ms;
        let within = |run: &RunRow| (row.sent_ms..until_ms).contains(&run.at_ms);
        let all = self.rows.runs.iter().filter(|run| run.service == row.service && within(run));
        let bound = EXPOSURE_SHARE * all.count() as f64 + EXPOSURE_SLACK;
        let exposed = self.exposed(row).iter().filter(|(run, _)| within(run)).count();
        if exposed as f64 > bound {
            self.add("exposure", format!("{exposed} runs, {bound:.0} allowed: {row:?}"));
        }
    }

    /// Checks that an unsound version gets no requests after the bound.
    fn check_roll_back(&mut self, row: &RollOutRow) {
        let bad = self.rows.runs.iter().filter(|run| run.version == row.target && run.bad);
        let Some(from) = bad.map(|run| run.at_ms).nth(BAD_ANSWERS - 1) else { return };
        let late = self.exposed(row).into_iter().find(|(_, sent_ms)| {
            let bound = ROLL_BACK_MS + self.core_allowance_ms(from, *sent_ms) + CLOCK_SLACK_MS;
            *sent_ms > from + bound
        });
        if let Some((run, sent_ms)) = late {
            let after = sent_ms - from;
            self.add("roll-back in time", format!("{after} ms after: {run:?}"));
        }
    }
}

/// Whether both texts are the same JSON value; two texts that are not JSON count as equal.
fn same_json(one: &str, other: &str) -> bool {
    let read = |text| serde_json::from_str::<serde_json::Value>(text).ok();
    read(one) == read(other)
}
