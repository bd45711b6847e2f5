//! The list of upstreams on a keeper's disk and in frames between VMs.

use std::net::SocketAddr;

use proptest::prelude::*;
use wingshed_lib::protocol::vm_wire::{
    decode_frame_body, decode_frame_head, encode_frame, VmMessage, FRAME_HEAD_BYTES,
};
use wingshed_lib::state::kept_list::{load_list, store_list, StoredList};
use wingshed_lib::state::rollout_order::VersionKey;
use wingshed_lib::state::upstream_list::{EntryDefect, ListRevision, UpstreamEntry};

fn list(upstreams: u16, change: u64) -> StoredList {
    let row = |number: u16| UpstreamEntry {
        name: format!("i-{:010x}", u64::from(number) * 0x9e37_79b9),
        service: "engines-of-one-kind".to_string(),
        address: SocketAddr::from(([10, 3, 0, 1], 1000 + number)),
        zone: "north-a".to_string(),
        leaving: number % 7 == 0,
        ring_slot: Some(u64::from(number)),
        cold: false,
        version: VersionKey::default(),
        started_ms: None,
        defect: EntryDefect::None,
    };
    let revision = ListRevision { term: 3, change, reader: 5 };
    StoredList { revision, rows: (0..upstreams).map(row).collect() }
}

#[test]
fn a_kept_list_is_read_as_it_was_and_replaced_whole() {
    let folder = tempfile::tempdir().unwrap();
    assert_eq!(load_list(folder.path()).unwrap(), None, "no list was stored");

    store_list(folder.path(), &list(250, 1)).unwrap();
    store_list(folder.path(), &list(20, 2)).unwrap();

    assert_eq!(load_list(folder.path()).unwrap(), Some(list(20, 2)));
}

#[test]
fn a_list_that_was_cut_while_it_replaced_another_leaves_that_one() {
    let folder = tempfile::tempdir().unwrap();
    store_list(folder.path(), &list(20, 1)).unwrap();
    std::fs::write(folder.path().join("upstreams.next"), b"half").unwrap();

    assert_eq!(load_list(folder.path()).unwrap(), Some(list(20, 1)));
    store_list(folder.path(), &list(20, 2)).unwrap();
    assert_eq!(load_list(folder.path()).unwrap(), Some(list(20, 2)));
}

#[test]
fn a_damaged_list_is_an_error_and_no_list() {
    let folder = tempfile::tempdir().unwrap();
    store_list(folder.path(), &list(20, 1)).unwrap();
    let path = folder.path().join("upstreams");
    let good = std::fs::read(&path).unwrap();
    let flipped = |at: usize| {
        let mut bytes = good.clone();
        bytes[at] ^= 1;
        bytes
    };
    let cases = [
        ("empty", Vec::new()),
        ("shorter than its checksum", good[..3].to_vec()),
        ("truncated", good[..good.len() - 1].to_vec()),
        ("wrong checksum", flipped(0)),
        ("wrong byte", flipped(good.len() / 2)),
    ];
    for (case, bytes) in cases {
        std::fs::write(&path, bytes).unwrap();

        assert!(load_list(folder.path()).is_err(), "{case}");
    }
}

fn frame_of(message: &VmMessage) -> (usize, Result<VmMessage, String>) {
    let frame = encode_frame(9, message);
    let head = decode_frame_head(frame[..FRAME_HEAD_BYTES].try_into().unwrap()).unwrap();
    assert_eq!((head.from, head.length), (9, frame.len() - FRAME_HEAD_BYTES));
    (frame.len(), decode_frame_body(head, frame[FRAME_HEAD_BYTES..].to_vec()))
}

#[test]
fn a_list_travels_packed_and_comes_whole() {
    let StoredList { revision, rows } = list(250, 1);
    let plain = rmp_serde::to_vec(&rows).unwrap().len();

    let (bytes, read) = frame_of(&VmMessage::List { revision, rows: rows.clone() });

    // The rows take 14,375 bytes uncompressed, and the frame 3,255.
    assert!(bytes * 2 < plain, "{bytes} of {plain} bytes");
    assert!(matches!(read, Ok(VmMessage::List { rows: received, .. }) if received == rows));
}

#[test]
fn a_body_that_unpacks_to_nothing_of_ours_is_an_error() {
    let StoredList { revision, rows } = list(250, 1);
    let frame = encode_frame(9, &VmMessage::List { revision, rows });
    let head = decode_frame_head(frame[..FRAME_HEAD_BYTES].try_into().unwrap()).unwrap();

    for body in
        [Vec::new(), b"no frame".to_vec(), frame[FRAME_HEAD_BYTES..frame.len() / 2].to_vec()]
    {
        assert!(decode_frame_body(head, body).is_err());
    }
}

proptest! {
    #[test]
    fn no_bytes_break_the_reader_of_frames(head in any::<[u8; 8]>(), body in any::<Vec<u8>>()) {
        if let Ok(head) = decode_frame_head(head) {
            let _ = decode_frame_body(head, body);
        }
    }
}
