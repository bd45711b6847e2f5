//! A router's lease: it takes new work only while the keepers have lately vouched
//! that its configuration is the one in force.

/// A lease lasts this long from the sending of the renewal that was granted.
pub const LEASE_MS: u64 = 2500;
/// A renewal is sent this often.
pub const RENEW_MS: u64 = 125;

/// Without a grant for this long, in milliseconds, a router renews with every keeper: two
/// renewals went unanswered. Asking them one after the other cost a router its lease when three
/// leaders died within two seconds, each after a fraction of a second in office.
pub const LEADER_SILENT_MS: u64 = 2 * RENEW_MS + 50;

/// Whom a router renews with: the keeper last seen leading, or all of them once it is silent.
/// Those that don't lead say nothing.
pub fn renew_with<K: Copy + PartialEq>(
    leader: K,
    keepers: impl Iterator<Item = K>,
    granted_ms: u64,
    now_ms: u64,
) -> Vec<K> {
    match now_ms > granted_ms + LEADER_SILENT_MS {
        true => keepers.collect(),
        false => vec![leader],
    }
}

/// The state of one router's lease.
#[derive(Clone, Debug, Default)]
pub struct RouterLease {
    granted_from_ms: Option<u64>,
    /// The version that the keepers last said is in force.
    pub version_in_force: u64,
    applied_version: Option<u64>,
}

impl RouterLease {
    /// A grant came for the renewal sent at `sent_ms`.
    pub fn grant(&mut self, sent_ms: u64, version_in_force: u64) {
        self.granted_from_ms = Some(self.granted_from_ms.unwrap_or(0).max(sent_ms));
        self.version_in_force = self.version_in_force.max(version_in_force);
    }

    /// A configuration was applied. Versions only rise: false when this one is not newer.
    pub fn apply(&mut self, version: u64) -> bool {
        if self.applied_version.is_some_and(|applied| applied >= version) {
            return false;
        }
        self.applied_version = Some(version);
        true
    }

    /// The version applied here, if any.
    pub fn applied_version(&self) -> Option<u64> {
        self.applied_version
    }

    /// Whether the lease was renewed lately enough.
    pub fn is_held(&self, now_ms: u64) -> bool {
        self.granted_from_ms.is_some_and(|from| now_ms < from + LEASE_MS)
    }

    /// Whether new work may be taken: the lease is held, and what is in force is applied.
    pub fn may_serve(&self, now_ms: u64) -> bool {
        let current = self.applied_version.is_some_and(|v| v >= self.version_in_force);
        self.is_held(now_ms) && current
    }
}
