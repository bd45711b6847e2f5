//! What one VM sent while a service is rolled out, and what came back badly, for operators.
//!
//! Invariant: the counts begin with the order and stay after its end until the next one begins, so
//! that an operator who looks after a roll-back still sees what this VM's part of it was.

use super::rollout_evidence::RolloutArm;

/// What one side of a roll-out got from this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SideCount {
    /// Requests sent.
    pub sent: u64,
    /// Those that broke, were answered with a failure, or not in time.
    pub bad: u64,
}

/// What both sides of the last order of a service got from this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutCounts {
    /// Upstreams of the target's version.
    pub target: SideCount,
    /// Upstreams of other versions.
    pub base: SideCount,
}

impl RolloutCounts {
    /// The counts of one side.
    pub fn side(&mut self, arm: RolloutArm) -> &mut SideCount {
        match arm {
            RolloutArm::Base => &mut self.base,
            RolloutArm::Target => &mut self.target,
        }
    }

    /// Requests sent to either side.
    pub fn sent(&self) -> u64 {
        self.target.sent + self.base.sent
    }

    /// Percent of the requests that went to the target; 0 before the first.
    pub fn target_percent(&self) -> f64 {
        100.0 * self.target.sent as f64 / self.sent().max(1) as f64
    }
}
