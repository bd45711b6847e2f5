//! How fresh a VM's knowledge of the newest version is.
//!
//! A grant proves that at the time its renewal was sent nothing newer than the told
//! version had been acknowledged. It counts once that version is in force here. See
//! `docs/design/platform.md`.

/// Kept between the age at which keys are no longer served and the bound, for a request on
/// its way to an upstream, in milliseconds.
pub const REVOKE_MARGIN_MS: u64 = 400;

/// One VM's contact with a leader.
#[derive(Clone, Debug, Default)]
pub struct LeaderContact {
    confirmed_ms: u64,
    pending: Option<(u64, u64)>,
    applied: u64,
}

impl LeaderContact {
    /// A grant came: at `sent_ms` of this VM's clock, `version` was the newest.
    pub fn note_grant(&mut self, sent_ms: u64, version: u64) {
        if version <= self.applied {
            self.confirmed_ms = self.confirmed_ms.max(sent_ms);
        } else if self.pending.is_none_or(|(pending_ms, _)| sent_ms > pending_ms) {
            self.pending = Some((sent_ms, version));
        }
    }

    /// A version is in force here.
    pub fn note_applied(&mut self, version: u64) {
        self.applied = self.applied.max(version);
        if let Some((sent_ms, version)) = self.pending {
            if version <= self.applied {
                self.confirmed_ms = self.confirmed_ms.max(sent_ms);
                self.pending = None;
            }
        }
    }

    /// The version in force here; 0 for none.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The latest time at which the version in force was surely the newest.
    pub fn confirmed_ms(&self) -> u64 {
        self.confirmed_ms
    }

    /// The age of that, in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms)
    }

    /// Whether a request with a key may still be sent on: a key taken away must be refused
    /// `revoke_ms` after the acknowledgement.
    pub fn may_serve_keys(&self, revoke_ms: u64, now_ms: u64) -> bool {
        self.confirmed_ms > 0 && self.age_ms(now_ms) + REVOKE_MARGIN_MS < revoke_ms
    }
}
