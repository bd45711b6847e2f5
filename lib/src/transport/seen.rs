//! The metrics of a router: histograms for each class and workspace, and counters.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Mutex;

use cadence::{CountedExt, StatsdClient, UdpMetricSink};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::coordination::fair_queue::RequestClass;

/// The number of workspaces whose histograms of all classes and phases fit into the table. Further
/// workspaces share the rows of `other`, so that memory stays bounded.
pub const MAX_WORKSPACES: usize = 64;
/// The largest time that a histogram records, in microseconds: one hour.
const MAX_RECORDED_US: u64 = 3_600_000_000;

/// A phase of a request whose time is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPhase {
    /// From arrival to dispatch.
    Wait,
    /// From arrival to the first piece.
    FirstToken,
    /// Between two pieces.
    BetweenTokens,
    /// From arrival to the end.
    Whole,
}

impl RequestPhase {
    fn name(self) -> &'static str {
        match self {
            RequestPhase::Wait => "wait",
            RequestPhase::FirstToken => "first_token",
            RequestPhase::BetweenTokens => "between_tokens",
            RequestPhase::Whole => "whole",
        }
    }
}

/// The statistics of one histogram, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistogramRow {
    /// The request class.
    pub class: String,
    /// The workspace, or `other`.
    pub workspace: String,
    /// The measured phase.
    pub phase: String,
    /// The number of values.
    pub count: u64,
    /// The median.
    pub p50_us: u64,
    /// The 95th percentile.
    pub p95_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The largest value.
    pub max_us: u64,
}

/// The class, the workspace and the phase of a histogram.
type HistogramKey = (RequestClass, String, RequestPhase);

/// Histograms and counters of one router.
pub struct RouterMetrics {
    histograms: Mutex<BTreeMap<HistogramKey, Histogram<u64>>>,
    counters: Mutex<BTreeMap<&'static str, u64>>,
    statsd: Option<StatsdClient>,
}

impl RouterMetrics {
    /// Makes empty metrics whose counters are also sent to `statsd`, if given.
    pub fn new(statsd: Option<SocketAddr>) -> RouterMetrics {
        let client = statsd.and_then(|address| {
            let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
            socket.set_nonblocking(true).ok()?;
            let sink = UdpMetricSink::from(address, socket).ok()?;
            Some(StatsdClient::from_sink("wingshed", sink))
        });
        RouterMetrics { histograms: Mutex::default(), counters: Mutex::default(), statsd: client }
    }

    /// Counts an event.
    pub fn count(&self, name: &'static str) {
        let mut counters = self.counters.lock().unwrap_or_else(|poison| poison.into_inner());
        *counters.entry(name).or_default() += 1;
        drop(counters);
        if let Some(client) = &self.statsd {
            let _ = client.incr(name);
        }
    }

    /// Records a value in microseconds.
    pub fn record(&self, class: RequestClass, workspace: &str, phase: RequestPhase, us: u64) {
        let mut table = self.histograms.lock().unwrap_or_else(|poison| poison.into_inner());
        let mut key = (class, workspace.to_string(), phase);
        if !table.contains_key(&key) && table.len() >= MAX_WORKSPACES * 12 {
            key.1 = "other".to_string();
        }
        let histogram = table.entry(key).or_insert_with(|| {
            Histogram::new_with_max(MAX_RECORDED_US, 2).expect("the constant bounds are valid")
        });
        histogram.saturating_record(us);
    }

    /// Returns the statistics of all histograms.
    pub fn rows(&self) -> Vec<HistogramRow> {
        let table = self.histograms.lock().unwrap_or_else(|poison| poison.into_inner());
        let to_row = |((class, workspace, phase), histogram): (&HistogramKey, &Histogram<u64>)| {
            HistogramRow {
                class: class.name().to_string(),
                workspace: workspace.clone(),
                phase: phase.name().to_string(),
                count: histogram.len(),
                p50_us: histogram.value_at_quantile(0.5),
                p95_us: histogram.value_at_quantile(0.95),
                p99_us: histogram.value_at_quantile(0.99),
                max_us: histogram.max(),
            }
        };
        table.iter().map(to_row).collect()
    }

    /// Returns all counters by name.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        let counters = self.counters.lock().unwrap_or_else(|poison| poison.into_inner());
        counters.iter().map(|(name, count)| (name.to_string(), *count)).collect()
    }
}
