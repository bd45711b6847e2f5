//! Whether what a version under trial answers shows that it is unsound.

use super::rollout_evidence::{RouteKey, RouteSums};

/// What shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsoundSign {
    /// More of its answers are failures.
    Failures,
    /// Its answers take longer.
    Slow,
}

/// A version is unsound.
#[derive(Clone, Debug, PartialEq)]
pub struct UnsoundFinding {
    /// On which route; `None` when it shows on all together.
    pub route: Option<RouteKey>,
    /// What shows it.
    pub sign: UnsoundSign,
    /// The figures that decided.
    pub figures: String,
}

impl std::fmt::Display for UnsoundFinding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let sign = match self.sign {
            UnsoundSign::Failures => "fails more",
            UnsoundSign::Slow => "is slower",
        };
        write!(f, "{sign}: {}", self.figures)
    }
}

/// What is remembered between two looks at the evidence of one order.
#[derive(Clone, Debug, Default)]
pub struct VerdictState {}

impl VerdictState {
    /// Looks at the sums over all VMs since the order; asked a few times a second.
    pub fn judge(&mut self, _sums: &[RouteSums], _now_ms: u64) -> Option<UnsoundFinding> {
        None
    }
}

/// Whether the target answered enough for "not unsound" to say something.
pub fn is_enough(sums: &[RouteSums]) -> bool {
    sums.iter().any(|row| row.target.well > 0)
}
