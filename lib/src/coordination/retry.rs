//! The retry budget: failures must not multiply load.

/// Retries that one plain request earns, in thousandths.
const EARNED_PER_REQUEST: u64 = 100;
const COST_OF_RETRY: u64 = 1000;
const MOST_SAVED: u64 = 20 * COST_OF_RETRY;

/// A budget that lets one retry pass for every ten requests, and some at the start.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: 5 * COST_OF_RETRY }
    }
}

impl RetryBudget {
    /// A first try was made.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MOST_SAVED);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let affordable = self.saved >= COST_OF_RETRY;
        if affordable {
            self.saved -= COST_OF_RETRY;
        }
        affordable
    }
}

/// Whether a request may be tried again elsewhere after a failure.
///
/// Bytes that were sent may have run; only a repeatable request of which the
/// caller has seen nothing may then be sent again.
pub fn may_retry(bytes_sent: bool, repeatable: bool, caller_saw_bytes: bool) -> bool {
    !bytes_sent || (repeatable && !caller_saw_bytes)
}
