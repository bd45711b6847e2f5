//! How fresh a VM's knowledge of the newest version is.
//!
//! A grant proves that at the time its renewal was sent nothing newer than the granted
//! version had been acknowledged. It counts once that version is in force here. See
//! `docs/design/platform.md`.

/// Kept between the age at which keys are no longer served and the bound, for a request on
/// its way to an upstream, in milliseconds.
pub const REVOKE_MARGIN_MS: u64 = 400;

/// The same between the age at which a VM that knows of a newer version stops serving by the older
/// one, and the bound on a change's being in force everywhere.
pub const APPLY_MARGIN_MS: u64 = 300;

/// A version that is new is sent by the leader at once; a VM that still lacks it after this long
/// asks for the whole, in milliseconds. Asking at the first grant that names it brought every
/// document twice and more often, 35 MB each time at 92 VMs.
pub const DOCUMENT_WAIT_MS: u64 = 300;
/// A whole document is asked for again after this long, in milliseconds: one of the largest takes
/// a third of it on a link of 10 Mbit/s.
pub const ASK_AGAIN_MS: u64 = 600;
/// The same while there is none, which is when nothing can be served: after a common restart the
/// keeper that was asked may not know yet what is committed.
pub const ASK_FIRST_MS: u64 = 150;

/// One VM's contact with a leader.
#[derive(Clone, Debug, Default)]
pub struct LeaderContact {
    confirmed_ms: u64,
    pending: Option<(u64, u64)>,
    applied: u64,
    behind_since_ms: Option<u64>,
    asked_ms: Option<u64>,
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

    /// Whether to ask for the newest document now, having heard of `version`: at once while there
    /// is none here, else when it was not sent in time; and again after a while.
    pub fn wants_document(&mut self, version: u64, now_ms: u64) -> bool {
        if version <= self.applied {
            (self.behind_since_ms, self.asked_ms) = (None, None);
            return false;
        }
        let since_ms = *self.behind_since_ms.get_or_insert(now_ms);
        let lacks = self.applied == 0 || since_ms + DOCUMENT_WAIT_MS <= now_ms;
        let again_ms = if self.applied == 0 { ASK_FIRST_MS } else { ASK_AGAIN_MS };
        let asked = self.asked_ms.is_some_and(|asked_ms| asked_ms + again_ms > now_ms);
        if lacks && !asked {
            self.asked_ms = Some(now_ms);
        }
        lacks && !asked
    }

    /// A version is in force here.
    pub fn note_applied(&mut self, version: u64) {
        if version > self.applied {
            (self.behind_since_ms, self.asked_ms) = (None, None);
        }
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

    /// Whether a newer version is known that should be in force everywhere by now, and isn't here.
    /// Such a VM must not serve: with its link full one served by a version that had been replaced
    /// 3.2 s before, where 3 s were allowed.
    pub fn is_behind(&self, apply_ms: u64, now_ms: u64) -> bool {
        self.pending.is_some() && self.age_ms(now_ms) + APPLY_MARGIN_MS >= apply_ms
    }

    /// Whether a request with a key may still be sent on: a key taken away must be refused
    /// `revoke_ms` after the acknowledgement.
    pub fn may_serve_keys(&self, revoke_ms: u64, now_ms: u64) -> bool {
        self.confirmed_ms > 0 && self.age_ms(now_ms) + REVOKE_MARGIN_MS < revoke_ms
    }
}
