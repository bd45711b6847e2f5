//! Orders to move a service's traffic to upstreams of another version, and their progress.
//!
//! Invariants: the orders of a service are numbered without gaps, and an order is accepted only
//! after the one before it has ended. The steps of an order are numbered too, and a step is
//! accepted only if its number follows the last one, so that a step proposed on an outdated state
//! changes nothing. An end is final. See `docs/design/rollouts.md`.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A version of upstreams, identified by the hash of its name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct VersionKey(pub u32);

impl VersionKey {
    /// The key of an upstream whose version isn't given or can't be read.
    pub const UNKNOWN: VersionKey = VersionKey(0);

    /// The key of the version with this name; an empty name gives [`VersionKey::UNKNOWN`].
    pub fn of(name: &str) -> VersionKey {
        match name.is_empty() {
            true => VersionKey::UNKNOWN,
            false => VersionKey((xxh3_64(name.as_bytes()) as u32).max(1)),
        }
    }
}

impl std::fmt::Display for VersionKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// The phase of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// A small part of the requests is sent to the target.
    Trial,
    /// All new requests are sent to the target; those running on other versions finish.
    Shift,
    /// The traffic has moved, and the upstreams of other versions may stop.
    Complete,
    /// The order was rolled back, and nothing is sent to the target.
    RolledBack,
}

impl RolloutPhase {
    /// Whether the order has ended.
    pub fn is_end(self) -> bool {
        matches!(self, RolloutPhase::Complete | RolloutPhase::RolledBack)
    }

    fn may_follow(self, before: RolloutPhase) -> bool {
        match before {
            RolloutPhase::Trial => self != RolloutPhase::Complete,
            RolloutPhase::Shift => self != RolloutPhase::Trial,
            RolloutPhase::Complete | RolloutPhase::RolledBack => false,
        }
    }
}

/// A roll-out that an operator requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service's name.
    pub service: String,
    /// The number of the order among those of the service; the first is 1.
    pub number: u64,
    /// The name of the version that the traffic moves to.
    pub target: String,
    /// How long the roll-out may take, in milliseconds.
    pub duration_ms: u64,
    /// The number of VMs that share the requests handed out at the start, which is the number that
    /// the leader was in contact with when it accepted the order. It is `u32::MAX`, so that no VM
    /// gets any, while a new leader may not have been in contact with all VMs yet.
    pub sharing_vms: u32,
}

/// A step of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// The service's name.
    pub service: String,
    /// The number of the order.
    pub number: u64,
    /// The number of the step; the first step after the order itself has number 1.
    pub step: u64,
    /// The phase from this step on; unchanged when the step only records the time.
    pub phase: RolloutPhase,
    /// How long the order has run, in milliseconds, as counted by the leader.
    pub spent_ms: u64,
    /// With [`RolloutPhase::Complete`]: the versions that the traffic was moved away from.
    pub retired: Vec<VersionKey>,
}

/// A command of the log that changes the orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutCommand {
    /// Begins an order.
    Start(RolloutOrder),
    /// Advances an order by a step.
    Step(RolloutStep),
}

/// The last order of a service and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRow {
    /// The order.
    pub order: RolloutOrder,
    /// The current phase.
    pub phase: RolloutPhase,
    /// The number of its last step; 0 before the first step.
    pub step: u64,
    /// See [`RolloutStep::spent_ms`].
    pub spent_ms: u64,
    /// See [`RolloutStep::retired`].
    pub retired: Vec<VersionKey>,
}

impl RolloutRow {
    /// The key of the target version.
    pub fn target(&self) -> VersionKey {
        VersionKey::of(&self.order.target)
    }

    /// The next step of the order, which sets it to `phase`.
    pub fn next_step(&self, phase: RolloutPhase, spent_ms: u64) -> RolloutStep {
        RolloutStep {
            service: self.order.service.clone(),
            number: self.order.number,
            step: self.step + 1,
            phase,
            spent_ms,
            retired: Vec::new(),
        }
    }
}

/// The last order of each service that has had one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutTable {
    rows: Vec<RolloutRow>,
    changes: u64,
}

impl RolloutTable {
    /// The last order of each service, in no particular order.
    pub fn rows(&self) -> &[RolloutRow] {
        &self.rows
    }

    /// The number of orders and steps accepted for all services together. Of two states, the one
    /// with more changes is the later.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The last order of a service.
    pub fn row(&self, service: &str) -> Option<&RolloutRow> {
        self.rows.iter().find(|row| row.order.service == service)
    }

    /// Whether an order is in progress.
    pub fn any_running(&self) -> bool {
        self.rows.iter().any(|row| !row.phase.is_end())
    }

    /// Applies a command; returns `false` if its number doesn't follow, since another was applied
    /// first.
    pub fn apply(&mut self, command: RolloutCommand) -> bool {
        let accepted = match command {
            RolloutCommand::Start(order) => self.start(order),
            RolloutCommand::Step(step) => self.apply_step(step),
        };
        self.changes += u64::from(accepted);
        accepted
    }

    fn start(&mut self, order: RolloutOrder) -> bool {
        let before = self.row(&order.service);
        let number = before.map_or(0, |row| row.order.number);
        if order.number != number + 1 || before.is_some_and(|row| !row.phase.is_end()) {
            return false;
        }
        self.rows.retain(|row| row.order.service != order.service);
        let phase = RolloutPhase::Trial;
        self.rows.push(RolloutRow { order, phase, step: 0, spent_ms: 0, retired: Vec::new() });
        true
    }

    fn apply_step(&mut self, step: RolloutStep) -> bool {
        let rows = self.rows.iter_mut();
        let Some(row) = rows.into_iter().find(|row| {
            let own = row.order.service == step.service && row.order.number == step.number;
            own && row.step + 1 == step.step && step.phase.may_follow(row.phase)
        }) else {
            return false;
        };
        row.phase = step.phase;
        row.step = step.step;
        row.spent_ms = row.spent_ms.max(step.spent_ms);
        row.retired = step.retired;
        true
    }

    /// The table for a reader that has `known` changes; `None` if the reader is up to date.
    pub fn update_since(&self, known: u64) -> Option<RolloutTable> {
        (self.changes != known).then(|| self.clone())
    }

    /// Replaces the table by a later state; returns the state before, or `None` if `other` isn't
    /// later.
    pub fn take_later(&mut self, other: RolloutTable) -> Option<RolloutTable> {
        (other.changes > self.changes).then(|| std::mem::replace(self, other))
    }
}
