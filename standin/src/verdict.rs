//! What a caller may say of the answers that it got, against what the upstreams counted.
//!
//! "Not run" is a promise about one send. A request that must run once and was refused as not
//! run may be sent again, and that second send may run: so a run is held against the first
//! answer only as far as no second one accounts for it.

use wingshed_lib::protocol::caller::RanStatus;

use crate::caller::CallerAnswer;

/// How a request's first answer stands up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The whole answer to this request.
    Whole,
    /// Refused as not run, and truly so.
    Refused,
    /// It failed, and the answer says so.
    Failed,
    /// Wrong, or cut without a word, or a promise that doesn't hold.
    Wrong,
}

/// One request as its caller saw it.
#[derive(Clone, Copy, Debug)]
pub struct RequestView<'a> {
    /// The whole text of a whole answer, or the target that it echoes where it isn't `exact`.
    pub expected: &'a str,
    /// A whole answer is `expected` and nothing else; another is a whole echo.
    pub exact: bool,
    /// The answer to the first send.
    pub first: &'a CallerAnswer,
    /// The answer to a second send of the same run-once request, if there was one.
    pub second: Option<&'a CallerAnswer>,
    /// How often upstreams began the request.
    pub starts: u64,
}

impl RequestView<'_> {
    /// How the first answer stands up.
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
        let said = first.error_event.is_some() || (first.status >= 500 && !first.code().is_empty());
        match said && !first.whole {
            true => AnswerVerdict::Failed,
            false => AnswerVerdict::Wrong,
        }
    }

    /// Whether the second send was treated as it must be: dropped as a duplicate, unless the
    /// first was refused as not run.
    pub fn second_holds(&self) -> bool {
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
