//! The age of a VM's confirmation that its configuration version is the newest.
//!
//! A grant proves that no version newer than the granted one had been acknowledged when its
//! renewal was sent. It counts once the granted version is in force on this VM. See
//! `docs/design/platform.md`.

/// The margin between the age at which a VM refuses requests with keys and the bound on revoking a
/// key, in milliseconds. It covers requests that are on their way to an upstream.
pub const REVOKE_MARGIN_MS: u64 = 400;

/// The margin between the age at which a VM that has been notified of a newer version stops serving
/// by the older one, and the bound on putting a change in force everywhere, in milliseconds.
pub const APPLY_MARGIN_MS: u64 = 300;

/// The time after which a VM that still lacks a new version requests the whole document, in
/// milliseconds. The leader sends a new version at once. Requests at the first grant that names it
/// transferred every document at least twice, 35 MB each time at 92 VMs.
pub const DOCUMENT_WAIT_MS: u64 = 300;
/// The pause between two requests for a whole document, in milliseconds. One of the largest
/// documents takes a third of it on a link of 10 Mbit/s.
pub const REQUEST_AGAIN_MS: u64 = 600;
/// The pause between two requests while a VM has no document and so cannot serve, in milliseconds.
/// After a common restart the keeper that received the request may not have learned the commit
/// index yet.
pub const REQUEST_FIRST_MS: u64 = 150;

/// The configuration versions that the leader confirmed to one VM, and when.
#[derive(Clone, Debug, Default)]
pub struct LeaderContact {
    confirmed_ms: u64,
    /// The send time of the latest renewal that granted a version not in force here, and the version.
    pending: Option<(u64, u64)>,
    applied: u64,
    /// The latest version by which another VM served a request of a caller of this one.
    served_elsewhere: u64,
    behind_since_ms: Option<u64>,
    requested_ms: Option<u64>,
}

impl LeaderContact {
    /// Notes a grant: `version` was the newest at `sent_ms` of this VM's clock, when the renewal was
    /// sent.
    pub fn note_grant(&mut self, sent_ms: u64, version: u64) {
        if version <= self.applied {
            self.confirmed_ms = self.confirmed_ms.max(sent_ms);
        } else if self.pending.is_none_or(|(pending_ms, _)| sent_ms > pending_ms) {
            self.pending = Some((sent_ms, version));
        }
    }

    /// Returns whether to request the newest document now, given that `version` exists: at once while
    /// this VM has no document, otherwise if the leader did not send it in time. Requests are
    /// repeated after a pause.
    pub fn should_request_document(&mut self, version: u64, now_ms: u64) -> bool {
        if version <= self.applied {
            (self.behind_since_ms, self.requested_ms) = (None, None);
            return false;
        }
        let since_ms = *self.behind_since_ms.get_or_insert(now_ms);
        let lacks = self.applied == 0 || since_ms + DOCUMENT_WAIT_MS <= now_ms;
        let again_ms = if self.applied == 0 { REQUEST_FIRST_MS } else { REQUEST_AGAIN_MS };
        let requested =
            self.requested_ms.is_some_and(|requested_ms| requested_ms + again_ms > now_ms);
        if lacks && !requested {
            self.requested_ms = Some(now_ms);
        }
        lacks && !requested
    }

    /// Notes that a version is in force on this VM.
    pub fn note_applied(&mut self, version: u64) {
        if version > self.applied {
            (self.behind_since_ms, self.requested_ms) = (None, None);
        }
        self.applied = self.applied.max(version);
        if let Some((sent_ms, version)) = self.pending {
            if version <= self.applied {
                self.confirmed_ms = self.confirmed_ms.max(sent_ms);
                self.pending = None;
            }
        }
    }

    /// Returns the version in force on this VM, or 0 if there is none.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Notes that another VM served a request that this VM passed on, by this version.
    pub fn note_served(&mut self, version: u64) {
        self.served_elsewhere = self.served_elsewhere.max(version);
    }

    /// Returns the latest version by which callers of this VM were served. They must not be served by an
    /// older one again.
    pub fn served(&self) -> u64 {
        self.applied.max(self.served_elsewhere)
    }

    /// Returns the latest time at which the version in force is known to have been the newest.
    pub fn confirmed_ms(&self) -> u64 {
        self.confirmed_ms
    }

    /// Returns the time since [`LeaderContact::confirmed_ms`], in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms)
    }

    /// Returns whether this VM lacks a newer version that should be in force everywhere by now. If
    /// so, it must not serve: a VM with a congested link served by a version that had been replaced 3.2 s
    /// before, where 3 s were allowed.
    pub fn is_behind(&self, apply_ms: u64, now_ms: u64) -> bool {
        self.pending.is_some() && self.age_ms(now_ms) + APPLY_MARGIN_MS >= apply_ms
    }

    /// Returns whether a request with a key may still be forwarded: a revoked key must be refused
    /// `revoke_ms` after the revocation was acknowledged.
    pub fn may_serve_keys(&self, revoke_ms: u64, now_ms: u64) -> bool {
        self.confirmed_ms > 0 && self.age_ms(now_ms) + REVOKE_MARGIN_MS < revoke_ms
    }
}
