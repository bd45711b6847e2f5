//! This VM's part of the repeat budget, which all VMs share.
//!
//! The fleet may repeat a share of its requests in any window, plus a fixed number. A VM counts its
//! own requests for the share and takes an equal part of the fixed number, so that VMs don't need
//! to exchange anything. See `docs/design/platform.md`.

use std::collections::VecDeque;

/// The fraction of the allowed repeats that is used. It stays below 1 because windows slide and the
/// number of VMs changes.
const USED_FRACTION: f64 = 0.7;

/// The repeats that the fleet is allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatAllowance {
    /// Repeats as a share of requests.
    pub ratio: f64,
    /// Repeats in addition to the share, for the whole fleet.
    pub slack: f64,
    /// The length of the window, in milliseconds.
    pub window_ms: u64,
}

/// The requests and repeats of one service at this VM.
#[derive(Clone, Debug, Default)]
pub struct RepeatBudget {
    firsts: VecDeque<u64>,
    repeats: VecDeque<u64>,
}

impl RepeatBudget {
    /// Records a first attempt.
    pub fn note_first(&mut self, allowance: &RepeatAllowance, now_ms: u64) {
        self.expire(allowance, now_ms);
        self.firsts.push_back(now_ms);
    }

    /// Whether this VM's part has a repeat left; `vms` is the number of VMs in the fleet.
    pub fn may_spend(&mut self, allowance: &RepeatAllowance, vms: usize, now_ms: u64) -> bool {
        self.left(allowance, vms, now_ms) > 0
    }

    /// The number of repeats that this VM's part has left.
    pub fn left(&mut self, allowance: &RepeatAllowance, vms: usize, now_ms: u64) -> u64 {
        self.expire(allowance, now_ms);
        let own = allowance.ratio * self.firsts.len() as f64;
        let allowed = USED_FRACTION * (own + allowance.slack / vms.max(1) as f64);
        (allowed as u64).saturating_sub(self.repeats.len() as u64)
    }

    /// Takes one repeat; returns false if none is left.
    pub fn spend(&mut self, allowance: &RepeatAllowance, vms: usize, now_ms: u64) -> bool {
        let affordable = self.may_spend(allowance, vms, now_ms);
        if affordable {
            self.repeats.push_back(now_ms);
        }
        affordable
    }

    fn expire(&mut self, allowance: &RepeatAllowance, now_ms: u64) {
        let old = |at_ms: &u64| at_ms + allowance.window_ms <= now_ms;
        while self.firsts.front().is_some_and(old) {
            self.firsts.pop_front();
        }
        while self.repeats.front().is_some_and(old) {
            self.repeats.pop_front();
        }
    }
}
