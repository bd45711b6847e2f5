//! Which answers the judge accepts as complete, by their framing, and by where and how they break off.

use wingshed_soak::answer_make::{
    draw_of, AnswerKind, AnswerPlan, EarlyEnd, EarlyStop, Framing, LineEnd, StopPlace,
};
use wingshed_soak::judge_answers::answer_fault;
use wingshed_soak::ledger::{
    LedgerRows, ReceivedAnswer, RequestEnd, RequestKind, RequestRow, RunRow, SentEnd, SentRow,
    SpanRow, Touched,
};

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Connection];
const LINE_ENDS: [LineEnd; 3] = [LineEnd::Lf, LineEnd::CrLf, LineEnd::Cr];
const ENDS: [EarlyEnd; 3] = [EarlyEnd::Close, EarlyEnd::Reset, EarlyEnd::Framed];

fn plan(run: u64, kind: AnswerKind, framing: Framing, line_end: LineEnd) -> AnswerPlan {
    AnswerPlan { run, kind, framing, line_end, early: None, splits: 0 }
}

fn stream(run: u64, after: u64, framing: Framing) -> AnswerPlan {
    plan(run, AnswerKind::Stream(after), framing, LineEnd::Lf)
}

fn early(plan: AnswerPlan, sent: usize, end: EarlyEnd) -> AnswerPlan {
    AnswerPlan { early: Some(EarlyStop { place: StopPlace::Inside, end, sent }), ..plan }
}

fn body(plan: &AnswerPlan) -> Vec<u8> {
    plan.pieces("a").concat()
}

fn request_row(kind: RequestKind, body: &[u8]) -> RequestRow {
    RequestRow {
        attempt: "a".to_string(),
        vm: 0,
        kind,
        route: "x".to_string(),
        key: "k".to_string(),
        sent_ms: 1_000,
        ended_ms: 2_000,
        end: RequestEnd::Whole,
        answer: Some(ReceivedAnswer { status: 200, stamped: true, body: body.to_vec() }),
        old: false,
        resumes: None,
        event_runs: Vec::new(),
    }
}

fn run(plan: AnswerPlan) -> RunRow {
    RunRow {
        attempt: "a".to_string(),
        sender: 0,
        upstream: 0,
        service: "s1".to_string(),
        zone: "z-0".to_string(),
        at_ms: 1_010,
        version: "v1".to_string(),
        bad: false,
        after_event: 0,
        workspace: "t1".to_string(),
        life: 1,
        leaving: false,
        make: plan,
    }
}

/// Returns the fault of a complete answer of these bytes to a request that had runs with these answers.
fn fault(kind: RequestKind, seen: &[u8], plans: &[AnswerPlan]) -> Option<String> {
    let runs: Vec<RunRow> = plans.iter().map(|plan| run(*plan)).collect();
    let sent = plans.iter().map(|plan| SentRow { run: plan.run, end: SentEnd::AsMade });
    let rows = LedgerRows { sent: sent.collect(), ..LedgerRows::default() };
    answer_fault(&rows, &request_row(kind, seen), &runs.iter().collect::<Vec<_>>())
}

#[test]
fn a_whole_answer_is_believed_byte_for_byte_under_each_framing_and_line_end() {
    for framing in FRAMINGS {
        for line_end in LINE_ENDS {
            for (kind, of) in [
                (RequestKind::Once, AnswerKind::Plain),
                (RequestKind::Stream, AnswerKind::Stream(0)),
                (RequestKind::Resume, AnswerKind::Stream(0)),
            ] {
                let made = plan(1, of, framing, line_end);
                let mut bytes = body(&made);
                assert_eq!(fault(kind, &bytes, &[made]), None, "{made:?}");
                for at in [0, bytes.len() / 2, bytes.len() - 1] {
                    bytes[at] ^= 1;
                    assert!(fault(kind, &bytes, &[made]).is_some(), "{made:?} changed at {at}");
                    bytes[at] ^= 1;
                }
                for at in 0..bytes.len() {
                    assert!(fault(kind, &bytes[..at], &[made]).is_some(), "{made:?} short, {at}");
                }
                let mut pieces = made.pieces("a");
                pieces.remove(1.min(pieces.len() - 1));
                assert!(
                    fault(kind, &pieces.concat(), &[made]).is_some(),
                    "{made:?} without one event"
                );
                bytes.push(b'\n');
                assert!(fault(kind, &bytes, &[made]).is_some(), "{made:?} with a byte more");
            }
        }
    }
}

#[test]
fn an_answer_that_broke_off_is_told_but_for_the_one_that_nothing_tells_from_a_whole_one() {
    for framing in FRAMINGS {
        for line_end in LINE_ENDS {
            let whole = plan(1, AnswerKind::Stream(0), framing, line_end);
            let pieces = whole.pieces("a");
            let bytes = body(&whole);
            let two = pieces[0].len() + pieces[1].len();
            for sent in 0..=two {
                for end in ENDS {
                    let made = early(whole, sent, end);
                    let boundary = sent == two || sent == pieces[0].len();
                    let clean = framing == Framing::Connection && end != EarlyEnd::Reset;
                    for kind in [RequestKind::Stream, RequestKind::Resume] {
                        let has_fault = fault(kind, &bytes[..sent], &[made]).is_some();
                        assert_eq!(has_fault, !(boundary && clean), "{kind:?} {made:?}");
                    }
                }
            }
        }
    }
}

#[test]
fn a_plain_answer_that_broke_off_is_told_under_each_framing() {
    for framing in FRAMINGS {
        let whole = plan(1, AnswerKind::Plain, framing, LineEnd::Lf);
        let bytes = body(&whole);
        for end in [EarlyEnd::Close, EarlyEnd::Reset] {
            for sent in [0, 1, bytes.len() - 1] {
                let made = early(whole, sent, end);
                assert!(fault(RequestKind::Once, &bytes[..sent], &[made]).is_some(), "{made:?}");
            }
        }
        let broken = early(whole, 5, EarlyEnd::Reset);
        let again = AnswerPlan { run: 2, ..whole };
        assert_eq!(
            fault(RequestKind::Safe, &bytes, &[broken, again]),
            None,
            "the second run is whole"
        );
    }
}

#[test]
fn a_whole_body_without_its_last_chunk_is_told() {
    let whole = stream(1, 0, Framing::Chunked);
    let bytes = body(&whole);
    let made = early(whole, bytes.len(), EarlyEnd::Close);
    assert!(fault(RequestKind::Stream, &bytes, &[made]).is_some());
    assert!(fault(RequestKind::Resume, &bytes, &[made]).is_some());
}

#[test]
fn a_resumed_stream_is_made_of_events_of_its_runs_in_order() {
    let first = stream(1, 0, Framing::Connection);
    let begun = first.pieces("a")[..2].concat();
    let broken = early(first, begun.len() + 3, EarlyEnd::Close);
    let rest = stream(2, 2, Framing::Chunked);
    let joined = [begun.clone(), body(&rest)].concat();
    assert_eq!(fault(RequestKind::Resume, &joined, &[broken, rest]), None);

    let with_rest_of_event = [begun.clone(), b"id:".to_vec(), body(&rest)].concat();
    assert!(fault(RequestKind::Resume, &with_rest_of_event, &[broken, rest]).is_some());
    assert!(fault(RequestKind::Stream, &joined, &[broken, rest]).is_some(), "must not be joined");
    let lacks_one = [begun.clone(), stream(2, 3, Framing::Chunked).pieces("a").concat()].concat();
    assert!(fault(RequestKind::Resume, &lacks_one, &[broken, rest]).is_some());
    let broken_again = early(rest, 10, EarlyEnd::Close);
    assert!(fault(RequestKind::Resume, &begun, &[broken, broken_again]).is_some());
    let seen = [begun, rest.pieces("a")[0].clone()].concat();
    let looked_whole = early(rest, 5, EarlyEnd::Close);
    assert!(fault(RequestKind::Resume, &seen, &[broken, looked_whole]).is_some());
}

#[test]
fn a_life_that_ends_under_a_stream_leaves_what_it_sent() {
    let made = stream(1, 0, Framing::Connection);
    let event = made.pieces("a")[0].clone();
    let has_fault = |sent: usize, framing: Framing| {
        let made = AnswerPlan { framing, ..made };
        let end = SentEnd::Closed(sent);
        let rows = LedgerRows { sent: vec![SentRow { run: 1, end }], ..LedgerRows::default() };
        answer_fault(&rows, &request_row(RequestKind::Stream, &body(&made)[..sent]), &[&run(made)])
            .is_some()
    };
    assert!(!has_fault(event.len(), Framing::Connection));
    assert!(has_fault(event.len() - 1, Framing::Connection));
    assert!(has_fault(event.len() + 1, Framing::Connection));
    assert!(has_fault(event.len(), Framing::Chunked));
    assert!(has_fault(0, Framing::Connection));
}

#[test]
fn an_answer_without_a_stamp_or_by_nobody_is_told() {
    let made = plan(1, AnswerKind::Plain, Framing::Length, LineEnd::Lf);
    let mut unstamped = request_row(RequestKind::Once, &body(&made));
    assert!(answer_fault(&LedgerRows::default(), &unstamped, &[]).is_some());
    unstamped.answer.as_mut().unwrap().stamped = false;
    assert!(answer_fault(&LedgerRows::default(), &unstamped, &[&run(made)]).is_some());
}

#[test]
fn an_old_caller_of_a_vm_that_ended_can_t_tell() {
    let made = plan(1, AnswerKind::Plain, Framing::Length, LineEnd::Lf);
    let mut asked = request_row(RequestKind::Once, &body(&made)[..5]);
    let span = |vm| SpanRow { touched: Touched::Vm(vm), from_ms: 1_500, until_ms: Some(1_600) };
    let has_fault = |asked: &RequestRow, vm| {
        let rows = LedgerRows { spans: vec![span(vm)], ..LedgerRows::default() };
        answer_fault(&rows, asked, &[&run(made)]).is_some()
    };
    assert!(has_fault(&asked, 0));
    asked.old = true;
    assert!(!has_fault(&asked, 0));
    assert!(has_fault(&asked, 1));
}

#[test]
fn what_is_drawn_to_break_off_never_makes_a_whole_answer_of_a_shorter_one() {
    let mut seen = std::collections::HashSet::new();
    for draw in 0..20_000_u64 {
        let mut random = draw_of(draw);
        let kind = if draw % 3 == 0 { AnswerKind::Plain } else { AnswerKind::Stream(draw % 5) };
        let made = AnswerPlan::draw(&mut random, 1, kind).broken_off(&mut random, "a");
        let stop = made.early.unwrap();
        seen.insert((made.framing, kind == AnswerKind::Plain, stop.place, stop.end));
        let bytes = body(&made);
        assert!(stop.sent <= bytes.len(), "{made:?}");
        let has_fault = fault(RequestKind::Once, &bytes[..stop.sent], &[made]).is_some();
        let unframed = made.framing == Framing::Connection && stop.end == EarlyEnd::Close;
        let may_look_whole = kind != AnswerKind::Plain && unframed;
        assert!(has_fault || may_look_whole, "{made:?}");
        if stop.end == EarlyEnd::Framed {
            assert!(kind != AnswerKind::Plain, "{made:?}");
            let mut at = 0;
            let ends = made.pieces("a").into_iter().map(|piece| {
                at += piece.len();
                at
            });
            assert!(ends.into_iter().all(|end| end != stop.sent) && stop.sent > 0, "{made:?}");
        }
    }
    let stream = |framing, place, end| seen.contains(&(framing, false, place, end));
    for framing in FRAMINGS {
        for place in [StopPlace::InsideFirst, StopPlace::Inside, StopPlace::AfterLine] {
            assert!(ENDS.iter().all(|end| stream(framing, place, *end)), "{framing:?} {place:?}");
        }
        for place in [StopPlace::Empty, StopPlace::Boundary] {
            assert!(stream(framing, place, EarlyEnd::Close), "{framing:?} {place:?}");
            assert!(stream(framing, place, EarlyEnd::Reset), "{framing:?} {place:?}");
        }
    }
}
