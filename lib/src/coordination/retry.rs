//! The retry budget, which keeps failures from multiplying the load.

/// What one first attempt adds to the budget, in thousandths of a retry.
const EARNED_PER_REQUEST: u64 = 100;
/// The cost of one retry, in thousandths.
const COST_OF_RETRY: u64 = 1000;
/// The most that the budget holds: twenty retries.
const MAX_SAVED: u64 = 20 * COST_OF_RETRY;

/// A budget that allows one retry for every ten requests, and five at the start.
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
    /// Adds the share of one first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Takes one retry from the budget; returns false if there is none.
    pub fn spend(&mut self) -> bool {
        let affordable = self.saved >= COST_OF_RETRY;
        if affordable {
            self.saved -= COST_OF_RETRY;
        }
        affordable
    }
}

/// Whether a request may be tried again at another upstream after a failure.
///
/// A request of which bytes were sent may have run. It may be sent again only if it is repeatable
/// and its caller has received nothing of an answer.
pub fn may_retry(bytes_sent: bool, repeatable: bool, caller_saw_bytes: bool) -> bool {
    !bytes_sent || (repeatable && !caller_saw_bytes)
}
