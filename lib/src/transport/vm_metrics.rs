//! Writes the metrics of a VM in the Prometheus text format.
//!
//! [`METRICS`] lists each metric with its kind and help text. A test compares it with the table in
//! `docs/operators/metrics.md`.

use std::fmt::Write;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Request, Response, StatusCode};

use super::vm_answer::own_answer;
use super::vm_node::VmNode;
use super::vm_relay::AnswerBody;
use super::wire_count::WireCount;
use crate::coordination::engine_room::ServiceCapacity;
use crate::protocol::operator::WireRow;
use crate::state::body_end::{BodyEnd, BodyFraming};
use crate::state::connect_count::{ConnectCause, ConnectCount};
use crate::state::rollout_order::{RolloutPhase, RolloutRow};
use crate::state::vm_figures::{RequestEnd, VmCounters, BUCKETS_MS};

/// The name, kind and help text of one metric.
pub type MetricEntry = (&'static str, &'static str, &'static str);

/// All metrics, in the order in which they are written.
pub const METRICS: [MetricEntry; 52] = [
    ("wingshed_requests_total", "counter", "Requests by end."),
    ("wingshed_first_byte_ms", "histogram", "Milliseconds to an answer's first byte."),
    ("wingshed_repeats_total", "counter", "Sends beyond the first of each request."),
    ("wingshed_resumed_total", "counter", "Streams taken up at another upstream."),
    ("wingshed_resumed_by_callers_total", "counter", "Requests that resume a stream and are sent."),
    (
        "wingshed_resume_refused_total",
        "counter",
        "Requests that resume a stream of unknown origin, or whose version has no upstream.",
    ),
    ("wingshed_stream_notes", "gauge", "Notes of where streams began, other VMs' included."),
    ("wingshed_cut_total", "counter", "Streams that ended before their end."),
    ("wingshed_body_ends_total", "counter", "Relayed bodies by framing and where they stopped."),
    ("wingshed_late_total", "counter", "Answers whose first byte came after their goal."),
    ("wingshed_left_total", "counter", "Callers that left before the whole answer."),
    ("wingshed_signs_total", "counter", "Signs against upstreams."),
    ("wingshed_ended_under_total", "counter", "Requests under which their upstream ended."),
    (
        "wingshed_requests_held",
        "gauge",
        "Requests that are refused, as upstreams ended under them.",
    ),
    ("wingshed_rests_asked_total", "counter", "Answers by which upstreams asked for rest."),
    ("wingshed_upstreams_at_rest", "gauge", "Upstreams that want nothing from this VM now."),
    ("wingshed_upstreams_leaving", "gauge", "Upstreams that said in answers that they leave."),
    ("wingshed_relayed_total", "counter", "Requests that were served through another VM."),
    ("wingshed_isolations_total", "counter", "Times that this VM reached no upstream at all."),
    ("wingshed_isolated", "gauge", "1 while this VM reaches no upstream."),
    ("wingshed_serving", "gauge", "Requests that are being served."),
    ("wingshed_connections", "gauge", "Connections that are open at the listeners."),
    (
        "wingshed_connects_total",
        "counter",
        "Connections opened to upstreams, by why no other served.",
    ),
    ("wingshed_resting", "gauge", "Connections to upstreams that rest."),
    ("wingshed_heap_used_bytes", "gauge", "Bytes of the heap that are in use."),
    ("wingshed_heap_held_bytes", "gauge", "Bytes of the heap, those that are free included."),
    ("wingshed_in_flight", "gauge", "Requests in flight at upstreams, from this VM."),
    ("wingshed_ready", "gauge", "1 while callers should be sent here."),
    ("wingshed_version", "gauge", "The version of the configuration in force; 0 for none."),
    ("wingshed_contact_age_ms", "gauge", "Milliseconds since that was surely the newest."),
    ("wingshed_leader_silent_ms", "gauge", "Milliseconds since the leader answered."),
    ("wingshed_roster", "gauge", "VMs in the roster."),
    ("wingshed_upstreams", "gauge", "Upstreams on the list, those that leave included."),
    ("wingshed_upstreams_replaced_total", "counter", "Upstreams that started again by name."),
    ("wingshed_upstreams_aside", "gauge", "Upstreams that this VM has set aside."),
    ("wingshed_upstreams_dark", "gauge", "Upstreams that no VM reaches, as the leader reports."),
    ("wingshed_zones_emptied", "gauge", "Zones to which nothing more is sent."),
    ("wingshed_list_age_ms", "gauge", "Milliseconds since the list was surely the platform's."),
    ("wingshed_list_unread", "gauge", "Entries not read in full when this VM last read the list."),
    ("wingshed_repeats_left", "gauge", "Repeats that this VM may still send now, by service."),
    ("wingshed_hold_ms", "gauge", "Milliseconds that a request holds an engine, by service."),
    ("wingshed_places_used", "gauge", "Percent of the engines' places that are used, by service."),
    ("wingshed_leads", "gauge", "1 while this VM's keeper leads and may vouch."),
    ("wingshed_term", "gauge", "The term of this VM's keeper; 0 for a VM without one."),
    ("wingshed_voters", "gauge", "Voters of the group; 0 for a VM without a keeper."),
    ("wingshed_rollouts_known", "gauge", "Services that ever got a roll-out, as this VM knows."),
    ("wingshed_rollout_phase", "gauge", "0 ended, 1 trial, 2 traffic is moved, by service."),
    ("wingshed_rollout_requests_total", "counter", "Requests sent, by service and side."),
    ("wingshed_rollout_bad_total", "counter", "Bad answers to those, by service and side."),
    ("wingshed_rollout_share", "gauge", "Percent of those sent to the target, by service."),
    ("wingshed_peer_bytes_total", "counter", "Bytes to and from other VMs, by kind of message."),
    ("wingshed_peer_messages_total", "counter", "Messages to and from other VMs, by kind."),
];

/// Answers a request for the metrics.
pub async fn serve_metrics(node: Rc<VmNode>, request: Request<Incoming>) -> Response<AnswerBody> {
    let path = node.metrics_path.borrow().clone();
    if request.uri().path() != path {
        return own_answer(StatusCode::NOT_FOUND, "");
    }
    let mut answer = own_answer(StatusCode::OK, node.write_metrics());
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

impl VmNode {
    /// Returns all metrics as text.
    pub fn write_metrics(&self) -> String {
        let mut text = String::new();
        for (name, kind, help) in METRICS {
            // Writing to a string can't fail.
            let _ = write!(text, "# HELP {name} {help}\n# TYPE {name} {kind}\n");
            self.write_metric(&mut text, name);
        }
        text
    }

    /// Writes the samples of one metric.
    fn write_metric(&self, text: &mut String, name: &str) {
        let figures = self.counters.borrow();
        match name {
            "wingshed_requests_total" => write_ends(text, &figures),
            "wingshed_body_ends_total" => write_body_ends(text, &figures),
            "wingshed_connects_total" => write_connects(text, self.pool.opened()),
            "wingshed_first_byte_ms" => write_first_bytes(text, &figures),
            "wingshed_peer_bytes_total" => {
                write_wire(text, name, &self.wire, |row| [row.sent_bytes, row.received_bytes]);
            }
            "wingshed_peer_messages_total" => {
                write_wire(text, name, &self.wire, |row| [row.sent, row.received]);
            }
            "wingshed_repeats_left" => self.write_repeats_left(text),
            "wingshed_hold_ms" => self.write_capacities(text, name, ServiceCapacity::hold_ms),
            "wingshed_places_used" => {
                self.write_capacities(text, name, |capacity| 100.0 * capacity.used_fraction());
            }
            name if name.starts_with("wingshed_rollout_") => self.write_rollout_rows(text, name),
            _ => drop(writeln!(text, "{name} {}", self.scalar_metric(&figures, name))),
        }
    }

    /// The value of a metric without labels.
    fn scalar_metric(&self, figures: &VmCounters, name: &str) -> u64 {
        let now_ms = self.now_ms();
        let keeper = self.keeper.borrow();
        let upstreams = self.upstreams.borrow();
        match name {
            "wingshed_repeats_total" => figures.repeats,
            "wingshed_resumed_total" => figures.resumed,
            "wingshed_resumed_by_callers_total" => figures.resumed_by_callers,
            "wingshed_resume_refused_total" => figures.resume_refused,
            "wingshed_stream_notes" => self.origins.borrow().table.len() as u64,
            "wingshed_cut_total" => figures.cut,
            "wingshed_late_total" => figures.late,
            "wingshed_left_total" => figures.abandoned,
            "wingshed_signs_total" => figures.failure_signs,
            "wingshed_ended_under_total" => figures.crashes,
            "wingshed_requests_held" => self.quarantine.borrow().quarantined_count() as u64,
            "wingshed_rests_asked_total" => figures.backoffs,
            "wingshed_upstreams_at_rest" => self.pool.notices().borrow().backing_off(now_ms) as u64,
            "wingshed_upstreams_leaving" => self.pool.notices().borrow().leaving() as u64,
            "wingshed_relayed_total" => figures.relayed,
            "wingshed_isolations_total" => figures.isolations,
            "wingshed_isolated" => u64::from(self.is_isolated()),
            "wingshed_serving" => u64::from(self.serving.get()),
            "wingshed_connections" => u64::from(self.connections.get()),
            "wingshed_resting" => self.pool.idle_count() as u64,
            "wingshed_heap_used_bytes" => heap_bytes().0,
            "wingshed_heap_held_bytes" => heap_bytes().1,
            "wingshed_in_flight" => self.in_flight.borrow().values().map(|n| u64::from(*n)).sum(),
            "wingshed_ready" => u64::from(self.is_ready()),
            "wingshed_version" => self.contact.borrow().applied(),
            "wingshed_contact_age_ms" => self.contact.borrow().age_ms(now_ms),
            "wingshed_upstreams_dark" => self.silence.borrow().view.published(now_ms).len() as u64,
            "wingshed_zones_emptied" => {
                let zones = self.zones.borrow();
                zones.watch.orders.rows().iter().filter(|row| row.evacuated).count() as u64
            }
            "wingshed_leader_silent_ms" => {
                now_ms.saturating_sub(self.view.borrow().last_contact_ms)
            }
            "wingshed_roster" => self.view.borrow().roster.rows.len() as u64,
            "wingshed_upstreams" => upstreams.entries.len() as u64,
            "wingshed_upstreams_replaced_total" => upstreams.replaced,
            "wingshed_list_unread" => self.list_state.borrow().unread as u64,
            "wingshed_upstreams_aside" => {
                let outliers = self.outliers.borrow();
                let keys = upstreams.entries.keys();
                keys.filter(|key| outliers.is_ejected(**key, now_ms)).count() as u64
            }
            "wingshed_list_age_ms" => now_ms.saturating_sub(upstreams.confirmed_ms),
            "wingshed_leads" => u64::from(self.leads(now_ms)),
            "wingshed_term" => keeper.as_ref().map_or(0, |keeper| keeper.term()),
            "wingshed_voters" => keeper.as_ref().map_or(0, |keeper| keeper.voters() as u64),
            "wingshed_rollouts_known" => {
                self.rollouts.borrow().tracker().table().rows().len() as u64
            }
            other => unreachable!("{other} is not a metric without labels"),
        }
    }

    /// Writes a metric that is derived from the capacity estimate of each service.
    fn write_capacities(
        &self,
        text: &mut String,
        name: &str,
        value: impl Fn(&ServiceCapacity) -> f64,
    ) {
        let rooms = self.capacities.borrow();
        let mut rows: Vec<(&String, u64)> =
            rooms.iter().map(|(service, capacity)| (service, value(capacity) as u64)).collect();
        rows.sort_unstable();
        for (service, value) in rows {
            let _ = writeln!(text, "{name}{{service=\"{service}\"}} {value}");
        }
    }

    /// Writes a metric of the rollouts, by service.
    fn write_rollout_rows(&self, text: &mut String, name: &str) {
        let rollouts = self.rollouts.borrow();
        let watch = rollouts.tracker();
        let mut rows: Vec<&RolloutRow> = watch.table().rows().iter().collect();
        rows.sort_unstable_by_key(|row| &row.order.service);
        for row in rows {
            let service = &row.order.service;
            let counts = watch.counts(service);
            let sides = |text: &mut String, target: u64, base: u64| {
                for (side, count) in [("target", target), ("base", base)] {
                    let label = format!("service=\"{service}\",side=\"{side}\"");
                    let _ = writeln!(text, "{name}{{{label}}} {count}");
                }
            };
            match name {
                "wingshed_rollout_requests_total" => {
                    sides(text, counts.target.sent, counts.base.sent);
                }
                "wingshed_rollout_bad_total" => sides(text, counts.target.bad, counts.base.bad),
                "wingshed_rollout_share" => {
                    let percent = counts.target_percent();
                    let _ = writeln!(text, "{name}{{service=\"{service}\"}} {percent:.1}");
                }
                _ => {
                    let phase = phase_value(row.phase);
                    let _ = writeln!(text, "{name}{{service=\"{service}\"}} {phase}");
                }
            }
        }
    }

    fn write_repeats_left(&self, text: &mut String) {
        let (allowance, now_ms) = (self.allowance(), self.now_ms());
        let vms = self.view.borrow().roster.rows.len();
        let mut budgets: Vec<_> = self.budgets.borrow().clone().into_iter().collect();
        budgets.sort_by(|a, b| a.0.cmp(&b.0));
        for (service, mut budget) in budgets {
            let left = budget.left(&allowance, vms, now_ms);
            let _ = writeln!(text, "wingshed_repeats_left{{service=\"{service}\"}} {left}");
        }
    }
}

fn phase_value(phase: RolloutPhase) -> u8 {
    match phase {
        RolloutPhase::Trial => 1,
        RolloutPhase::Shift => 2,
        RolloutPhase::Complete | RolloutPhase::RolledBack => 0,
    }
}

fn write_ends(text: &mut String, figures: &VmCounters) {
    for end in RequestEnd::ALL {
        let (name, count) = (end.name(), figures.ended(end));
        let _ = writeln!(text, "wingshed_requests_total{{end=\"{name}\"}} {count}");
    }
}

fn write_body_ends(text: &mut String, figures: &VmCounters) {
    for framing in BodyFraming::ALL {
        for end in BodyEnd::ALL {
            let label = format!("framing=\"{}\",end=\"{}\"", framing.name(), end.name());
            let count = figures.body_ends(framing, end);
            let _ = writeln!(text, "wingshed_body_ends_total{{{label}}} {count}");
        }
    }
}

fn write_connects(text: &mut String, opened: ConnectCount) {
    for cause in ConnectCause::ALL {
        let (name, count) = (cause.name(), opened.opened(cause));
        let _ = writeln!(text, "wingshed_connects_total{{why=\"{name}\"}} {count}");
    }
}

fn write_wire(
    text: &mut String,
    name: &str,
    wire: &WireCount,
    counts: impl Fn(&WireRow) -> [u64; 2],
) {
    for row in wire.rows() {
        let kind = &row.kind;
        for (direction, count) in ["sent", "received"].into_iter().zip(counts(&row)) {
            let _ = writeln!(text, "{name}{{kind=\"{kind}\",direction=\"{direction}\"}} {count}");
        }
    }
}

/// The bytes of the heap that are in use, and all bytes that the allocator holds. Freed memory isn't returned
/// to the system at once, so the process takes as much memory as the peak of the second value.
fn heap_bytes() -> (u64, u64) {
    // SAFETY: `mallinfo2` takes no arguments and returns plain numbers.
    let heap = unsafe { libc::mallinfo2() };
    (heap.uordblks as u64 + heap.hblkhd as u64, heap.arena as u64 + heap.hblkhd as u64)
}

fn write_first_bytes(text: &mut String, figures: &VmCounters) {
    for (workspace, histogram) in figures.first_bytes() {
        let label = format!("workspace=\"{workspace}\"");
        let mut sum = 0;
        for (end_ms, count) in BUCKETS_MS.iter().zip(histogram.counts) {
            sum += count;
            let _ =
                writeln!(text, "wingshed_first_byte_ms_bucket{{{label},le=\"{end_ms}\"}} {sum}");
        }
        let count = histogram.count();
        let _ = write!(
            text,
            "wingshed_first_byte_ms_bucket{{{label},le=\"+Inf\"}} {count}\n\
             wingshed_first_byte_ms_sum{{{label}}} {}\nwingshed_first_byte_ms_count{{{label}}} {count}\n",
            histogram.sum_ms
        );
    }
}
