//! Counts of one VM's requests and failures during a roll-out, for operators.
//!
//! Invariant: the counts begin with the order and remain after its end until the next order begins,
//! so that an operator can still read this VM's part after a roll-back.

use super::rollout_evidence::RolloutArm;

/// The counts of one side of a roll-out at this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SideCount {
    /// The number of requests sent.
    pub sent: u64,
    /// The number of requests whose connection broke, whose answer was a failure, or whose answer
    /// came too late.
    pub bad: u64,
}

/// The counts of both sides of the last order of a service at this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutCounts {
    /// Requests to upstreams of the target version.
    pub target: SideCount,
    /// Requests to upstreams of other versions.
    pub base: SideCount,
}

impl RolloutCounts {
    /// Returns the counts of one side for updates.
    pub fn side(&mut self, arm: RolloutArm) -> &mut SideCount {
        match arm {
            RolloutArm::Base => &mut self.base,
            RolloutArm::Target => &mut self.target,
        }
    }

    /// Returns the number of requests sent to both sides.
    pub fn sent(&self) -> u64 {
        self.target.sent + self.base.sent
    }

    /// Returns the percentage of the requests that went to the target, or 0 before the first
    /// request.
    pub fn target_percent(&self) -> f64 {
        100.0 * self.target.sent as f64 / self.sent().max(1) as f64
    }
}
