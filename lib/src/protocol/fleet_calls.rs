//! The product's own operators' interface of a VM, beside the platform's calls: roll-outs and zones.
//!
//! Paths and JSON forms stand here alone; what is asked is served from the same replicated state as the
//! platform's calls. An answer that refuses is one sentence of text. See `docs/operators/rollouts.md`
//! and `docs/operators/zones.md`.

use serde::{Deserialize, Serialize};

use super::http::percent_decode;
use super::wire_adapter::{granted_ms, RolloutCall, LONGEST_GRANT_S};
use crate::coordination::rollout_counts::RolloutCounts;
use crate::state::finding::{parse_document, Finding, FindingList, ObjectReader};
use crate::state::rollout_order::{RolloutPhase, RolloutRow};

/// The path under which roll-outs stand.
pub const ROLLOUTS_PATH: &str = "/v1/rollouts";
/// The path under which zones stand.
pub const ZONES_PATH: &str = "/v1/zones";

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetCall {
    /// Return all roll-outs.
    ListRollouts,
    /// Begin a roll-out; the body says which.
    StartRollout,
    /// Return a service's last roll-out.
    GetRollout {
        /// The service's name.
        service: String,
    },
    /// Roll a service's running roll-out back.
    AbortRollout {
        /// The service's name.
        service: String,
    },
    /// Return all zones.
    ListZones,
    /// Send nothing more to a zone's upstreams, or take the zone back.
    Zone {
        /// The zone's name.
        zone: String,
        /// Whether it is emptied.
        evacuate: bool,
    },
    /// It is none of these, but meant as one; the text says what is wrong.
    Malformed(String),
    /// None of these.
    Unknown,
}

/// Reads the head of a call; names in the path are percent-encoded.
pub fn read_fleet_call(method: &str, path: &str) -> FleetCall {
    let rollouts = path.strip_prefix(ROLLOUTS_PATH);
    if let Some(rest) = rollouts.filter(|rest| rest.is_empty() || rest.starts_with('/')) {
        return rollout_call(method, rest.trim_start_matches('/'));
    }
    let zones = path.strip_prefix(ZONES_PATH);
    match zones.filter(|rest| rest.is_empty() || rest.starts_with('/')) {
        Some(rest) => zone_call(method, rest.trim_start_matches('/')),
        None => FleetCall::Unknown,
    }
}

fn rollout_call(method: &str, name: &str) -> FleetCall {
    let service = percent_decode(&name.replace('+', "%2B"));
    match (method, name) {
        ("GET", "") => FleetCall::ListRollouts,
        ("POST", "") => FleetCall::StartRollout,
        ("DELETE", "") => FleetCall::Malformed("no service is named".to_string()),
        (_, name) if name.contains('/') => FleetCall::Unknown,
        ("GET", _) => FleetCall::GetRollout { service },
        ("DELETE", _) => FleetCall::AbortRollout { service },
        _ => FleetCall::Unknown,
    }
}

fn zone_call(method: &str, rest: &str) -> FleetCall {
    let (zone, verb) = rest.split_once('/').unwrap_or((rest, ""));
    let zone = percent_decode(&zone.replace('+', "%2B"));
    match (method, verb) {
        ("GET", "") if zone.is_empty() => FleetCall::ListZones,
        ("POST", _) if zone.is_empty() => FleetCall::Malformed("no zone is named".to_string()),
        ("POST", "empty") => FleetCall::Zone { zone, evacuate: true },
        ("POST", "return") => FleetCall::Zone { zone, evacuate: false },
        ("POST", other) => {
            FleetCall::Malformed(format!("'{other}' is neither 'empty' nor 'return'"))
        }
        _ => FleetCall::Unknown,
    }
}

/// Reads the body of [`FleetCall::StartRollout`]; all findings in one go, each with its line.
pub fn read_start(bytes: &[u8]) -> Result<RolloutCall, Vec<Finding>> {
    let text = String::from_utf8_lossy(bytes);
    let mut list = FindingList::default();
    let mut call = RolloutCall { service: String::new(), target: String::new(), duration_ms: 0 };
    if let Some(value) = parse_document(&text, &mut list) {
        let mut reader = ObjectReader::new("$", &value, &mut list);
        call.service = reader.text("service", &mut list);
        call.target = reader.text("version", &mut list);
        call.duration_ms = read_seconds(&mut reader, &mut list);
        reader.finish(&mut list);
    }
    match list.findings.is_empty() {
        true => Ok(call),
        false => Err(list.locate(&text)),
    }
}

fn read_seconds(reader: &mut ObjectReader<'_>, list: &mut FindingList) -> u64 {
    let path = reader.path_of("seconds");
    let Some(value) = reader.value("seconds") else {
        list.add(&path, "is missing");
        return 0;
    };
    value.as_f64().and_then(granted_ms).unwrap_or_else(|| {
        list.add(&path, format!("must be a number above 0 and up to {LONGEST_GRANT_S}"));
        0
    })
}

/// The findings as the body of a refusal.
pub fn write_findings(findings: &[Finding]) -> String {
    let rows: Vec<String> = findings.iter().map(Finding::to_string).collect();
    rows.join("; ")
}

/// The body that asks for a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RolloutRequestBody {
    /// The service's name.
    pub service: String,
    /// The version that its traffic is to be moved to.
    pub version: String,
    /// How long that may take.
    pub seconds: f64,
}

/// How far the last roll-out of a service has come, as one VM reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutView {
    /// The service's name.
    pub service: String,
    /// The order's place among those of the service.
    pub number: u64,
    /// The version that the traffic is moved to.
    pub version: String,
    /// `trial`, `shift`, `complete` or `rolled_back`.
    pub phase: String,
    /// How long it may take, in seconds.
    pub granted_s: f64,
    /// How long it had run when the leader noted it last, at most some two seconds ago.
    pub spent_s: f64,
    /// Requests that this VM sent to the target.
    pub sent_target: u64,
    /// All requests of the service that this VM sent since it knew of the order.
    pub sent_all: u64,
}

impl RolloutView {
    /// A row as operators see it.
    pub fn new(row: &RolloutRow, counts: &RolloutCounts) -> RolloutView {
        RolloutView {
            service: row.order.service.clone(),
            number: row.order.number,
            version: row.order.target.clone(),
            phase: phase_name(row.phase).to_string(),
            granted_s: row.order.duration_ms as f64 / 1000.0,
            spent_s: row.spent_ms as f64 / 1000.0,
            sent_target: counts.target.sent,
            sent_all: counts.sent(),
        }
    }

    /// Whether it has ended.
    pub fn is_end(&self) -> bool {
        self.is_complete() || self.phase == phase_name(RolloutPhase::RolledBack)
    }

    /// Whether the traffic is moved.
    pub fn is_complete(&self) -> bool {
        self.phase == phase_name(RolloutPhase::Complete)
    }
}

/// The name of a phase.
pub fn phase_name(phase: RolloutPhase) -> &'static str {
    match phase {
        RolloutPhase::Trial => "trial",
        RolloutPhase::Shift => "shift",
        RolloutPhase::Complete => "complete",
        RolloutPhase::RolledBack => "rolled_back",
    }
}

/// How a zone stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneView {
    /// The zone's name.
    pub zone: String,
    /// Whether nothing more is sent to its upstreams.
    #[serde(rename = "emptied")]
    pub evacuated: bool,
    /// How many orders it got; 0 when none.
    pub number: u64,
}
