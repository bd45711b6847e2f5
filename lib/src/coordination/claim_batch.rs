//! Sends claims to the keepers in batches: claims that arrive while a batch is under way join the
//! next one, so that one sync serves many claims.

use crate::state::claim_table::{ClaimReport, ClaimRequest};

/// The maximum number of claims, and of reports, in one batch.
pub const MAX_BATCH_CLAIMS: usize = 256;

/// The claims and reports that wait to be sent.
#[derive(Debug, Default)]
pub struct ClaimBatch {
    /// Claims, each with the handle of its caller.
    pub claims: Vec<(u64, ClaimRequest)>,
    /// Reports of claims that have ended.
    pub reports: Vec<ClaimReport>,
}

impl ClaimBatch {
    /// Removes and returns the next batch of claims and reports.
    pub fn take(&mut self) -> ClaimBatch {
        let claims = self.claims.drain(..self.claims.len().min(MAX_BATCH_CLAIMS)).collect();
        let reports = self.reports.drain(..self.reports.len().min(MAX_BATCH_CLAIMS)).collect();
        ClaimBatch { claims, reports }
    }

    /// Whether no claim or report waits.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.reports.is_empty()
    }
}
