//! Claims are sent to the keepers in batches: claims that come while a batch is under way
//! joins the next, so that one sync serves many.

use crate::state::claim_table::{ClaimReport, ClaimRequest};

/// At most this many claims travel in one batch.
pub const MOST_CLAIMS: usize = 256;

/// What waits to be sent.
#[derive(Debug, Default)]
pub struct ClaimBatch {
    /// Claims, each with the caller's handle.
    pub claims: Vec<(u64, ClaimRequest)>,
    /// Ends of claims.
    pub reports: Vec<ClaimReport>,
}

impl ClaimBatch {
    /// Takes the next batch out, claims and reports.
    pub fn take(&mut self) -> ClaimBatch {
        let claims = self.claims.drain(..self.claims.len().min(MOST_CLAIMS)).collect();
        let reports = self.reports.drain(..self.reports.len().min(MOST_CLAIMS)).collect();
        ClaimBatch { claims, reports }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.reports.is_empty()
    }
}
