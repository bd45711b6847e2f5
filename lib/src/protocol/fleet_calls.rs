//! The operators' interface of a VM that doesn't depend on the platform: roll-outs and zones.
//!
//! All paths and JSON formats of it are in this module. The calls act on the same replicated state
//! as the platform's calls. The body of a refusal is one sentence of text. See
//! `docs/operators/rollouts.md` and `docs/operators/zones.md`.

use serde::{Deserialize, Serialize};

use super::http::percent_decode;
use super::wire_adapter::{granted_ms, RolloutCall, LONGEST_GRANT_S};
use crate::coordination::rollout_counts::RolloutCounts;
use crate::state::finding::{parse_document, Finding, FindingList, ObjectReader};
use crate::state::rollout_order::{RolloutPhase, RolloutRow};

/// The path of the roll-outs.
pub const ROLLOUTS_PATH: &str = "/v1/rollouts";
/// The path of the zones.
pub const ZONES_PATH: &str = "/v1/zones";

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetCall {
    /// Lists all roll-outs.
    ListRollouts,
    /// Begins the roll-out that the body describes.
    StartRollout,
    /// Returns a service's last roll-out.
    GetRollout {
        /// The service's name.
        service: String,
    },
    /// Rolls back a service's roll-out that is in progress.
    AbortRollout {
        /// The service's name.
        service: String,
    },
    /// Lists all zones.
    ListZones,
    /// Evacuates a zone or returns it to service.
    Zone {
        /// The zone's name.
        zone: String,
        /// Whether to evacuate the zone; `false` returns it to service.
        evacuate: bool,
    },
    /// An invalid call to one of these paths; the text says what is wrong.
    Malformed(String),
    /// Any other call.
    Unknown,
}

/// Parses the method and path of a call; names in the path are percent-encoded.
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

/// Parses the body of [`FleetCall::StartRollout`]; returns all findings with their lines if it is
/// invalid.
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

/// The body of a refusal that lists findings.
pub fn write_findings(findings: &[Finding]) -> String {
    let rows: Vec<String> = findings.iter().map(Finding::to_string).collect();
    rows.join("; ")
}

/// The body of a call that begins a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RolloutRequestBody {
    /// The service's name.
    pub service: String,
    /// The name of the version that the traffic moves to.
    pub version: String,
    /// How long the roll-out may take, in seconds.
    pub seconds: f64,
}

/// The progress of a service's last roll-out, as reported by one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutView {
    /// The service's name.
    pub service: String,
    /// The number of the order among those of the service.
    pub number: u64,
    /// The name of the version that the traffic moves to.
    pub version: String,
    /// The phase: `trial`, `shift`, `complete` or `rolled_back`.
    pub phase: String,
    /// How long the roll-out may take, in seconds.
    pub granted_s: f64,
    /// How long it had run when the leader last recorded it, in seconds; the record is at most
    /// about two seconds old.
    pub spent_s: f64,
    /// The requests that this VM has sent to the target.
    pub sent_target: u64,
    /// All requests of the service that this VM has sent since it received the order.
    pub sent_all: u64,
}

impl RolloutView {
    /// The view of a row of the replicated table.
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

    /// Whether the roll-out has ended.
    pub fn is_end(&self) -> bool {
        self.is_complete() || self.phase == phase_name(RolloutPhase::RolledBack)
    }

    /// Whether all traffic has moved to the target.
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

/// The state of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneView {
    /// The zone's name.
    pub zone: String,
    /// Whether the zone is evacuated, so that nothing is sent to its upstreams.
    #[serde(rename = "emptied")]
    pub evacuated: bool,
    /// The number of orders that it has had.
    pub number: u64,
}
