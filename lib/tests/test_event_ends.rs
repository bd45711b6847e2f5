//! The ends of the events of a stream, however its bytes are split and its lines end.

use proptest::prelude::*;
use wingshed_lib::coordination::body_tracker::BodyTracker;
use wingshed_lib::coordination::event_splice::EventSplice;
use wingshed_lib::state::body_end::{BodyEnd, BodyFraming};

#[derive(Clone, Debug)]
struct StreamCase {
    events: Vec<String>,
    pieces: Vec<usize>,
}

fn event(id: usize, lines: usize, line_end: &str) -> String {
    let data: String = (0..lines).map(|line| format!("data: {line}{line_end}")).collect();
    format!("id: {id}{line_end}{data}{line_end}")
}

fn streams() -> impl Strategy<Value = StreamCase> {
    let line_end = prop::sample::select(vec!["\n", "\r\n", "\r"]);
    let lines = prop::collection::vec(0usize..4, 1..6);
    let pieces = prop::collection::vec(1usize..9, 1..12);
    (line_end, lines, pieces).prop_map(|(line_end, lines, pieces)| {
        let events = lines.iter().enumerate();
        let events = events.map(|(at, lines)| event(at + 1, *lines, line_end)).collect();
        StreamCase { events, pieces }
    })
}

/// Splits the bytes into pieces of these lengths, which are repeated as often as needed.
fn split<'a>(mut bytes: &'a [u8], lengths: &'a [usize]) -> Vec<&'a [u8]> {
    let mut pieces = Vec::new();
    let mut lengths = lengths.iter().cycle();
    while let (false, Some(length)) = (bytes.is_empty(), lengths.next()) {
        let (piece, rest) = bytes.split_at((*length).min(bytes.len()));
        pieces.push(piece);
        bytes = rest;
    }
    pieces
}

proptest! {
    #[test]
    fn a_stream_is_whole_between_its_events_and_nowhere_else(case in streams()) {
        let stream = case.events.concat();
        let ends: Vec<usize> = case.events.iter().scan(0, |end, event| {
            *end += event.len();
            Some(*end)
        }).collect();

        for stop in 1..=stream.len() {
            let mut tracker = BodyTracker::new(BodyFraming::Chunked, true);
            let mut events = 0;
            for piece in split(&stream.as_bytes()[..stop], &case.pieces) {
                events += tracker.note_bytes(piece);
            }
            prop_assert_eq!(tracker.is_whole(), ends.contains(&stop), "{:?}", &stream[..stop]);
            prop_assert_eq!(events, ends.iter().filter(|end| **end <= stop).count() as u64);
        }
    }

    #[test]
    fn a_splice_passes_each_event_on_once_and_as_it_came(case in streams(), begun in 0usize..6) {
        let begun = begun.min(case.events.len());
        let whole = case.events.concat();
        let first = format!("{}id: 9", case.events[..begun].concat());
        let mut splice = EventSplice::after(None);
        let mut passed = Vec::new();

        for run in [&first, &whole] {
            for piece in split(run.as_bytes(), &case.pieces) {
                passed.extend(splice.feed(piece));
            }
            if run == &first {
                splice.begin_run();
            }
        }
        passed.extend(splice.finish());

        prop_assert_eq!(String::from_utf8(passed).unwrap(), whole);
    }
}

/// Whether a stream that is delimited by the end of its connection is complete, and how many events
/// it has.
fn read_unframed(stream: &str) -> (bool, u64) {
    let mut tracker = BodyTracker::new(BodyFraming::Connection, true);
    let events = stream.as_bytes().iter().map(|byte| tracker.note_bytes(&[*byte])).sum();
    (tracker.is_whole(), events)
}

#[test]
fn a_byte_order_mark_hides_no_id_and_comes_once() {
    let mut splice = EventSplice::after(None);
    let first = splice.feed("\u{feff}id: 1\ndata: 1\n\nid: 2\nda".as_bytes());
    let last_id = splice.last_id().map(str::to_string);

    splice.begin_run();
    let later = splice.feed("\u{feff}id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n".as_bytes());
    splice.begin_run();
    let last = splice.feed("\u{feff}id: 3\ndata: 3\n\n".as_bytes());

    assert_eq!(last_id.as_deref(), Some("1"));
    assert_eq!(String::from_utf8(first).unwrap(), "\u{feff}id: 1\ndata: 1\n\n");
    assert_eq!(String::from_utf8(later).unwrap(), "id: 2\ndata: 2\n\n");
    assert_eq!(String::from_utf8(last).unwrap(), "id: 3\ndata: 3\n\n");
}

#[test]
fn comments_neither_make_nor_begin_an_event() {
    assert_eq!(read_unframed(":ok\n\n"), (false, 0));
    assert_eq!(read_unframed("data: 1\n\n: as you were"), (true, 1));
    assert_eq!(read_unframed("data: 1\r\n\r\n:a\r\n:b\r\n"), (true, 1));
    assert_eq!(read_unframed(":a\ndata: 1\n"), (false, 0));
}

#[test]
fn a_line_end_that_differs_from_those_before_ends_its_event() {
    assert_eq!(read_unframed("data: 1\r\n\r\ndata: 2\r\r"), (true, 2));
    assert_eq!(read_unframed("data: 1\r\n\r\ndata: 2\n\n"), (true, 2));
    assert_eq!(read_unframed("data: 1\n\ndata: 2\r\n\r\n"), (true, 2));
    assert_eq!(read_unframed("data: 1\r\rdata: 2\r\n\r"), (false, 1));
}

#[test]
fn a_stream_without_an_event_is_whole_only_by_a_length_or_chunks() {
    let whole = |framing| BodyTracker::new(framing, true).is_whole();

    assert_eq!(BodyFraming::ALL.map(whole), [true, true, false]);
}

#[test]
fn a_body_that_is_no_series_of_events_is_whole_where_its_framing_ends() {
    let mut tracker = BodyTracker::new(BodyFraming::Connection, false);

    tracker.note_bytes(b"id: 1\ndata");

    assert_eq!((tracker.is_whole(), tracker.end()), (true, BodyEnd::Boundary));
}
