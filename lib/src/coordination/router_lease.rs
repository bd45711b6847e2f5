//! A router's lease: it accepts new requests only while the keepers have recently confirmed
//! that its configuration is the one in force.

/// The duration of a lease in milliseconds, from the sending of the renewal that was granted.
pub const LEASE_MS: u64 = 2500;
/// The pause between two renewals, in milliseconds.
pub const RENEW_MS: u64 = 125;

/// The time without a grant after which a router sends its renewals to every keeper, in
/// milliseconds: two renewals were not answered by then. Trying the keepers one after the other
/// cost a router its lease when three leaders died within two seconds, each a fraction of a second
/// after its election.
pub const LEADER_TIMEOUT_MS: u64 = 2 * RENEW_MS + 50;

/// Returns the keepers to which a router sends its renewal: the last known leader, or all keepers
/// once that does not answer. Keepers that do not lead ignore renewals.
pub fn renewal_targets<K: Copy + PartialEq>(
    leader: K,
    keepers: impl Iterator<Item = K>,
    granted_ms: u64,
    now_ms: u64,
) -> Vec<K> {
    match now_ms > granted_ms + LEADER_TIMEOUT_MS {
        true => keepers.collect(),
        false => vec![leader],
    }
}

/// The state of one router's lease.
#[derive(Clone, Debug, Default)]
pub struct RouterLease {
    granted_from_ms: Option<u64>,
    /// The newest configuration version that a grant reported as in force.
    pub version_in_force: u64,
    applied_version: Option<u64>,
}

impl RouterLease {
    /// Notes a grant for the renewal sent at `sent_ms`.
    pub fn grant(&mut self, sent_ms: u64, version_in_force: u64) {
        self.granted_from_ms = Some(self.granted_from_ms.unwrap_or(0).max(sent_ms));
        self.version_in_force = self.version_in_force.max(version_in_force);
    }

    /// Notes that a configuration version was applied. Returns false if it is not newer than the one
    /// applied before, because versions only rise.
    pub fn apply(&mut self, version: u64) -> bool {
        if self.applied_version.is_some_and(|applied| applied >= version) {
            return false;
        }
        self.applied_version = Some(version);
        true
    }

    /// Returns the applied version, if any.
    pub fn applied_version(&self) -> Option<u64> {
        self.applied_version
    }

    /// Returns whether the lease has not expired.
    pub fn is_held(&self, now_ms: u64) -> bool {
        self.granted_from_ms.is_some_and(|from| now_ms < from + LEASE_MS)
    }

    /// Returns whether new requests may be accepted: the lease is held, and the version in force is
    /// applied.
    pub fn may_serve(&self, now_ms: u64) -> bool {
        let current = self.applied_version.is_some_and(|v| v >= self.version_in_force);
        self.is_held(now_ms) && current
    }
}
