//! The transfer of a configuration: compressed, and requested only by VMs that were not sent it.

use proptest::prelude::*;
use wingshed_lib::coordination::leader_contact::{
    LeaderContact, DOCUMENT_WAIT_MS, REQUEST_AGAIN_MS, REQUEST_FIRST_MS,
};
use wingshed_lib::state::packed_text::PackedText;

/// Returns a configuration with `routes` routes whose names are random, like those of a platform.
fn document(routes: u64) -> Vec<u8> {
    let route = |number: u64| {
        let draw = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        format!(
            r#"{{"name":"r-{draw:x}","host":"h{:x}.example","under":"/{:x}/","kind":"stream","longest_ms":4000,"goal_ms":500,"priority":0,"service":"svc","tries":2,"public":false,"prompt_parts":true,"resumable":true,"gap_ms":300}}"#,
            draw % 97,
            draw >> 40,
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(r#"{{"version":7,"routes":[{}]}}"#, routes.join(",")).into_bytes()
}

#[test]
fn a_large_configuration_travels_in_a_fifth_of_its_size() {
    let document = document(1700);

    let packed = PackedText::pack(&document);

    let (before, after) = (document.len(), packed.packed_bytes());
    assert!(before > 350_000 && after * 5 < before, "{before} bytes, packed {after}");
    assert_eq!(packed.unpack().unwrap(), document);
}

#[test]
fn what_was_never_packed_is_read_as_it_stands_and_damage_is_an_error() {
    let raw: PackedText =
        rmp_serde::from_slice(&rmp_serde::to_vec(&bytes(b"{}")).unwrap()).unwrap();
    let whole = rmp_serde::to_vec(&PackedText::pack(&document(20))).unwrap();
    let mut torn = whole.clone();
    let middle = torn.len() / 2;
    torn[middle] ^= 0xff;
    let torn: PackedText = rmp_serde::from_slice(&torn).unwrap();

    assert_eq!(raw.unpack().unwrap(), b"{}");
    assert!(torn.unpack().is_err());
}

fn bytes(bytes: &[u8]) -> serde_bytes::ByteBuf {
    serde_bytes::ByteBuf::from(bytes.to_vec())
}

#[test]
fn a_vm_asks_for_a_document_only_when_it_has_none_or_was_not_told_in_time() {
    let mut fresh = LeaderContact::default();
    let mut serving = LeaderContact::default();
    serving.note_applied(3);

    assert!(fresh.should_request_document(4, 1000), "it cannot serve without a document");
    assert!(
        !fresh.should_request_document(4, 1000 + REQUEST_FIRST_MS - 1),
        "the answer may be under way"
    );
    assert!(fresh.should_request_document(4, 1000 + REQUEST_FIRST_MS), "the answer may be lost");

    assert!(!serving.should_request_document(3, 1000), "there is no newer version");
    assert!(!serving.should_request_document(4, 1000), "the leader sends it");
    assert!(!serving.should_request_document(5, 1000 + DOCUMENT_WAIT_MS - 1));
    assert!(serving.should_request_document(5, 1000 + DOCUMENT_WAIT_MS));
    assert!(!serving.should_request_document(5, 1000 + DOCUMENT_WAIT_MS + REQUEST_AGAIN_MS - 1));
    assert!(serving.should_request_document(5, 1000 + DOCUMENT_WAIT_MS + REQUEST_AGAIN_MS));
    serving.note_applied(5);
    assert!(!serving.should_request_document(5, 1000 + 8 * DOCUMENT_WAIT_MS));
    assert!(
        !serving.should_request_document(6, 1000 + 9 * DOCUMENT_WAIT_MS),
        "the wait starts anew for each version"
    );
}

proptest! {
    #[test]
    fn a_text_comes_back_byte_for_byte(text in proptest::collection::vec(any::<u8>(), 0..5000)) {
        prop_assert_eq!(PackedText::pack(&text).unpack().unwrap(), text);
    }
}

#[test]
fn a_packed_text_that_is_cut_anywhere_is_an_error() {
    for text in [document(20), b"{}".to_vec(), Vec::new()] {
        let packed = PackedText::pack(&text).into_bytes();
        for cut in 1..packed.len() {
            let read = PackedText::from_bytes(packed[..cut].to_vec()).unpack();
            assert!(read.is_err(), "{cut} of {} bytes: {:?}", packed.len(), read.map(|t| t.len()));
        }
    }
}
