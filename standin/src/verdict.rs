//! Compares the answers that a caller received with the runs that the upstreams counted.
//!
//! "Not run" applies to a single send. A run-once request that was refused as not run may be sent again, and the
//! second send may run. Therefore a counted run contradicts the first answer only if the second send can't have
//! caused it.

use wingshed_lib::protocol::caller::RanStatus;

use crate::caller::CallerAnswer;

/// The result of checking the first answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The answer is the whole answer to this request.
    Whole,
    /// The request was refused as not run, and that send did not run.
    Refused,
    /// The request failed, and the answer reports an error.
    Failed,
    /// The answer is wrong, was cut without an error, or reports "not run" although the request ran.
    Wrong,
}

/// The answers that a caller received to one request, and the runs that upstreams counted.
#[derive(Clone, Copy, Debug)]
pub struct RequestView<'a> {
    /// The whole text of the expected answer, or the target that it must echo if `exact` is false.
    pub expected: &'a str,
    /// Whether a whole answer must be equal to `expected`. Otherwise it must be an echo of the target.
    pub exact: bool,
    /// The answer to the first send.
    pub first: &'a CallerAnswer,
    /// The answer to a second send of the same run-once request, if there was one.
    pub second: Option<&'a CallerAnswer>,
    /// The number of times that upstreams started the request.
    pub starts: u64,
}

impl RequestView<'_> {
    /// Checks the first answer.
    pub fn verdict(&self) -> AnswerVerdict {
        let first = self.first;
        if self.is_whole(first) {
            return AnswerVerdict::Whole;
        }
        if first.ran == Some(RanStatus::No) {
            return match self.starts <= u64::from(self.second_may_have_run()) {
                true => AnswerVerdict::Refused,
                false => AnswerVerdict::Wrong,
            };
        }
        let reports_error =
            first.error_event.is_some() || (first.status >= 500 && !first.code().is_empty());
        match reports_error && !first.whole {
            true => AnswerVerdict::Failed,
            false => AnswerVerdict::Wrong,
        }
    }

    /// Returns whether the second send was handled correctly: it must be rejected as a duplicate, unless the first
    /// one was refused as not run. True if there was no second send.
    pub fn second_is_valid(&self) -> bool {
        let Some(second) = self.second else { return true };
        let first_refused = self.first.ran == Some(RanStatus::No) && !self.is_whole(self.first);
        second.status == 409 || first_refused
    }

    fn is_whole(&self, answer: &CallerAnswer) -> bool {
        answer.whole
            && match self.exact {
                true => answer.text == self.expected,
                false => {
                    let echo = serde_json::from_str::<serde_json::Value>(&answer.body);
                    echo.is_ok_and(|echo| echo["target"] == self.expected)
                }
            }
    }

    fn second_may_have_run(&self) -> bool {
        self.second.is_some_and(|second| {
            second.status != 409 && (second.whole || second.ran != Some(RanStatus::No))
        })
    }
}
