//! The verdicts on answers. They are strict about "not run", and account for the runs of a second send.

use wingshed_lib::protocol::caller::RanStatus;
use wingshed_standin::caller::CallerAnswer;
use wingshed_standin::verdict::{AnswerVerdict, RequestView};

fn whole() -> CallerAnswer {
    let (text, ran) = ("abc".to_string(), Some(RanStatus::Yes));
    CallerAnswer { status: 200, text, whole: true, ran, ..CallerAnswer::default() }
}

fn refused() -> CallerAnswer {
    let body = r#"{"error":{"code":"busy"}}"#.to_string();
    CallerAnswer { status: 503, body, ran: Some(RanStatus::No), ..CallerAnswer::default() }
}

fn rejected_duplicate() -> CallerAnswer {
    CallerAnswer { status: 409, ran: Some(RanStatus::Yes), ..CallerAnswer::default() }
}

fn view<'a>(
    first: &'a CallerAnswer,
    second: Option<&'a CallerAnswer>,
    starts: u64,
) -> RequestView<'a> {
    RequestView { expected: "abc", exact: true, first, second, starts }
}

#[test]
fn a_refused_request_that_is_sent_again_may_run_once() {
    let (first, second) = (refused(), whole());

    let again = view(&first, Some(&second), 1);

    assert_eq!(again.verdict(), AnswerVerdict::Refused);
    assert!(again.second_is_valid());
}

#[test]
fn a_refusal_is_false_when_no_second_send_accounts_for_the_run() {
    let (first, second, refused_again) = (refused(), rejected_duplicate(), refused());

    let verdicts = [
        view(&first, None, 1).verdict(),
        view(&first, Some(&second), 1).verdict(),
        view(&first, Some(&refused_again), 1).verdict(),
        view(&first, Some(&whole()), 2).verdict(),
    ];

    assert_eq!(verdicts, [AnswerVerdict::Wrong; 4]);
}

#[test]
fn a_duplicate_of_what_ran_must_be_dropped() {
    let (first, second, other) = (whole(), rejected_duplicate(), whole());

    assert!(view(&first, Some(&second), 1).second_is_valid());
    assert!(!view(&first, Some(&other), 2).second_is_valid());
}

#[test]
fn a_stream_that_ends_without_a_word_is_wrong() {
    let cut = CallerAnswer { status: 200, ran: Some(RanStatus::Yes), ..CallerAnswer::default() };
    let reported = CallerAnswer { error_event: Some("engine died".to_string()), ..cut.clone() };

    assert_eq!(view(&cut, None, 1).verdict(), AnswerVerdict::Wrong);
    assert_eq!(view(&reported, None, 1).verdict(), AnswerVerdict::Failed);
}

#[test]
fn a_plain_answer_that_is_cut_or_another_is_not_whole() {
    let verdict = |body: &str| {
        let (body, ran) = (body.to_string(), Some(RanStatus::Yes));
        let first = CallerAnswer { status: 200, body, whole: true, ran, ..CallerAnswer::default() };
        let view = RequestView { expected: "/x/3", exact: false, ..view(&first, None, 1) };
        view.verdict()
    };

    assert_eq!(verdict(r#"{"body":"","target":"/x/3"}"#), AnswerVerdict::Whole);
    assert_eq!(verdict(r#"{"body":"","target":"/x/3"#), AnswerVerdict::Wrong);
    assert_eq!(verdict(r#"{"body":"","target":"/x/30"}"#), AnswerVerdict::Wrong);
}
