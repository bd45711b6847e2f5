//! Rendezvous (highest random weight) hashing.
//!
//! When a candidate is added or removed, only the subjects assigned to it move. No shared table is
//! needed: every router computes the same order from the same list.

/// Mixes a subject with a candidate into a score (the finalizer of splitmix64).
pub fn rendezvous_score(subject: u64, candidate: u64) -> u64 {
    let mut z = subject ^ candidate.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The candidate with the highest score for `subject`.
pub fn rendezvous_first(subject: u64, candidates: impl Iterator<Item = u64>) -> Option<u64> {
    candidates.max_by_key(|candidate| (rendezvous_score(subject, *candidate), *candidate))
}

/// The `places` best candidates for `subject`, best first.
///
/// Uses one pass with a short insertion list: with 4,000 candidates, a full sort would take several
/// times the time allowed for a whole decision.
pub fn rendezvous_order(
    subject: u64,
    candidates: impl Iterator<Item = u64>,
    places: usize,
) -> Vec<u64> {
    let mut best: Vec<(u64, u64)> = Vec::with_capacity(places + 1);
    for candidate in candidates {
        let entry = (rendezvous_score(subject, candidate), candidate);
        if best.len() == places && best.last().is_some_and(|last| entry < *last) {
            continue;
        }
        let at = best.partition_point(|other| *other > entry);
        best.insert(at, entry);
        best.truncate(places);
    }
    best.into_iter().map(|(_, candidate)| candidate).collect()
}
