//! The replicated state machine of the keepers: configuration, roster, claims and orders.
//!
//! It is deterministic: the same commands in the same order give the same state on every keeper.
//! The leader puts the time into each command, and the time of the state machine never decreases.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::claim_table::{
    ClaimAnswer, ClaimKey, ClaimRecord, ClaimReport, ClaimRequest, ClaimTable,
};
use super::configuration::{read_configuration, Configuration, EntryOperation};
use super::finding::Finding;
use super::ids::{Incarnation, RouterId};
use super::roster::{RouterRoster, RouterSession};

/// How long the answer to a change is kept for resends of the change, in milliseconds.
pub const ANSWER_KEEP_MS: u64 = 7 * 24 * 3600 * 1000;
/// How many of the last changes are kept. A router that lags by more has to fetch the whole
/// configuration.
pub const RECENT_CHANGES: usize = 1000;

/// A change of the configuration that an operator submits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Chosen by the submitter; a resend has the same id.
    pub id: String,
    /// The version that the change is based on.
    pub base: u64,
    /// The operator that submits it.
    pub operator: String,
    /// The operations on entries of the configuration.
    pub operations: Vec<EntryOperation>,
}

/// The answer to a change; a resend with the same id gets the first answer again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeAnswer {
    /// The change was applied.
    Accepted {
        /// The version that the change made.
        version: u64,
    },
    /// Another change was applied to the base version first.
    Conflict {
        /// The current version.
        current: u64,
        /// The id of the change that created the version after the base.
        winner: String,
        /// The operator that submitted that change.
        winner_operator: String,
    },
    /// The result would not be a valid configuration.
    Invalid {
        /// All faults of the resulting configuration.
        findings: Vec<Finding>,
    },
}

/// An accepted change in the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The version that it created.
    pub version: u64,
    /// When it was applied, in milliseconds since 1970 of the leader's clock.
    pub at_ms: u64,
    /// The change.
    pub change: ConfigChange,
}

/// What an order makes an engine do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum OrderAction {
    /// Loads a model, adapter or version; needs a slot at the weight store.
    Load {
        /// What to load.
        artifact: String,
    },
    /// Unloads a model, adapter or version.
    Unload {
        /// What to unload.
        artifact: String,
    },
    /// Changes the role of the engine.
    Role {
        /// The new role.
        role: String,
    },
}

/// The progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// It is in the log, but not confirmed to be carried out.
    Pending,
    /// The engine confirmed it.
    Done,
    /// The engine refused it.
    Refused,
}

/// An order with its fencing token, as recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Its number, which is the index of its log entry.
    pub number: u64,
    /// Chosen by the submitter; a resend has the same id.
    pub id: String,
    /// The upstream's name.
    pub upstream: String,
    /// What the engine is to do.
    pub action: OrderAction,
    /// The fencing token. It rises with the term and the log index, and an engine refuses an order
    /// with a lower one than it has seen.
    pub fence: u64,
    /// The progress of the order.
    pub state: OrderState,
}

/// An operation of the replicated log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum KeeperOperation {
    /// Does nothing; a new leader appends it to commit the entries of earlier terms.
    Noop,
    /// Submits a change.
    Change(ConfigChange),
    /// Decides claims in the given order.
    Claim(Vec<ClaimRequest>),
    /// Records the ends of claims.
    Report(Vec<ClaimReport>),
    /// Begins a router's session.
    Join(RouterId, RouterSession),
    /// Ends the session of a router whose lease expired.
    Lapse(RouterId, Incarnation),
    /// Marks a router as draining.
    Leave(RouterId, Incarnation),
    /// Adds an order; its fencing token is derived from the log position of the entry.
    Order {
        /// Chosen by the submitter.
        id: String,
        /// The upstream's name.
        upstream: String,
        /// What the engine is to do.
        action: OrderAction,
    },
    /// Records whether an order was carried out or refused.
    OrderEnd(u64, OrderState),
}

/// An operation with the time at which the leader appended it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeeperCommand {
    /// The time in milliseconds since 1970 of the leader's clock.
    pub at_ms: u64,
    /// The operation.
    pub operation: KeeperOperation,
}

/// The answer to an operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperAnswer {
    /// The operation was applied and returns nothing.
    Done,
    /// The answer to [`KeeperOperation::Change`].
    Change(ChangeAnswer),
    /// The answer to [`KeeperOperation::Claim`], in the order of the claims.
    Claim(Vec<ClaimAnswer>),
    /// The answer to [`KeeperOperation::Order`]: the order's number.
    Order(u64),
}

/// The state that the keepers replicate.
#[derive(Clone, Debug, Default)]
pub struct KeeperMachine {
    /// The time of the log, which is the highest timestamp applied.
    pub now_ms: u64,
    /// The current configuration.
    pub configuration: Arc<Configuration>,
    /// The latest changes, for routers that are a few versions behind.
    pub recent: VecDeque<ChangeRecord>,
    /// The time of and the answer to each change, by change id.
    answers: BTreeMap<String, (u64, ChangeAnswer)>,
    /// The routers and their sessions.
    pub roster: RouterRoster,
    /// The run-once claims.
    pub claims: ClaimTable,
    /// The orders by number.
    pub orders: BTreeMap<u64, OrderRecord>,
}

#[derive(Serialize, Deserialize)]
struct MachineImage {
    now_ms: u64,
    version: u64,
    document: String,
    recent: Vec<ChangeRecord>,
    answers: BTreeMap<String, (u64, ChangeAnswer)>,
    roster: RouterRoster,
    claims_oldest: u64,
    claims: Vec<(ClaimKey, ClaimRecord)>,
    orders: Vec<OrderRecord>,
}

impl KeeperMachine {
    /// Applies a committed command that is at `term` and `index` in the log.
    pub fn apply(&mut self, command: &KeeperCommand, term: u64, index: u64) -> KeeperAnswer {
        self.now_ms = self.now_ms.max(command.at_ms);
        self.claims.expire(self.now_ms);
        match &command.operation {
            KeeperOperation::Noop => KeeperAnswer::Done,
            KeeperOperation::Change(change) => KeeperAnswer::Change(self.apply_change(change)),
            KeeperOperation::Claim(requests) => {
                let now = self.now_ms;
                let decide = |request: &ClaimRequest| self.claims.claim(*request, now);
                KeeperAnswer::Claim(requests.iter().map(decide).collect())
            }
            KeeperOperation::Report(reports) => {
                reports.iter().for_each(|report| self.claims.report(*report));
                KeeperAnswer::Done
            }
            KeeperOperation::Join(id, session) => {
                if let Some(lost) = self.roster.join(*id, session.clone()) {
                    self.claims.lose_holder(*id, lost);
                }
                KeeperAnswer::Done
            }
            KeeperOperation::Lapse(id, incarnation) => {
                if self.roster.lapse(*id, *incarnation) {
                    self.claims.lose_holder(*id, *incarnation);
                }
                KeeperAnswer::Done
            }
            KeeperOperation::Leave(id, incarnation) => {
                self.roster.leave(*id, *incarnation);
                KeeperAnswer::Done
            }
            KeeperOperation::Order { id, upstream, action } => {
                KeeperAnswer::Order(self.add_order(id, upstream, action, term, index))
            }
            KeeperOperation::OrderEnd(number, state) => {
                if let Some(order) = self.orders.get_mut(number) {
                    order.state = *state;
                }
                KeeperAnswer::Done
            }
        }
    }

    /// The first answer to a change; `None` if its id is unknown or expired.
    pub fn answer_of(&self, change_id: &str) -> Option<&ChangeAnswer> {
        self.answers.get(change_id).map(|(_, answer)| answer)
    }

    fn apply_change(&mut self, change: &ConfigChange) -> ChangeAnswer {
        let cutoff = self.now_ms.saturating_sub(ANSWER_KEEP_MS);
        self.answers.retain(|_, (at, _)| *at >= cutoff);
        if let Some(answer) = self.answer_of(&change.id) {
            return answer.clone();
        }
        let answer = self.decide_change(change);
        self.answers.insert(change.id.clone(), (self.now_ms, answer.clone()));
        answer
    }

    /// Applies a change if it is based on the current version and the result is valid.
    fn decide_change(&mut self, change: &ConfigChange) -> ChangeAnswer {
        let current = self.configuration.version;
        if change.base != current {
            let winner = self.recent.iter().find(|record| record.version == change.base + 1);
            return ChangeAnswer::Conflict {
                current,
                winner: winner.map_or(String::new(), |record| record.change.id.clone()),
                winner_operator: winner.map_or(String::new(), |r| r.change.operator.clone()),
            };
        }
        match self.configuration.apply(current + 1, &change.operations) {
            Err(findings) => ChangeAnswer::Invalid { findings },
            Ok(next) => {
                let version = next.version;
                self.configuration = Arc::new(next);
                let change = change.clone();
                self.recent.push_back(ChangeRecord { version, at_ms: self.now_ms, change });
                if self.recent.len() > RECENT_CHANGES {
                    self.recent.pop_front();
                }
                ChangeAnswer::Accepted { version }
            }
        }
    }

    /// Adds an order, unless one with this id exists; returns its number.
    fn add_order(
        &mut self,
        id: &str,
        upstream: &str,
        action: &OrderAction,
        term: u64,
        index: u64,
    ) -> u64 {
        if let Some(order) = self.orders.values().find(|order| order.id == id) {
            return order.number;
        }
        let record = OrderRecord {
            number: index,
            id: id.to_string(),
            upstream: upstream.to_string(),
            action: action.clone(),
            fence: fence_of(term, index),
            state: OrderState::Pending,
        };
        self.orders.insert(index, record);
        index
    }

    /// The whole state, encoded for a snapshot.
    pub fn to_image(&self) -> Vec<u8> {
        let (claims_oldest, claims) = self.claims.records();
        let image = MachineImage {
            now_ms: self.now_ms,
            version: self.configuration.version,
            document: self.configuration.to_document().to_string(),
            recent: self.recent.iter().cloned().collect(),
            answers: self.answers.clone(),
            roster: self.roster.clone(),
            claims_oldest,
            claims,
            orders: self.orders.values().cloned().collect(),
        };
        rmp_serde::to_vec_named(&image).expect("an image of plain data always encodes")
    }

    /// Decodes the state of a snapshot; the error text says what is wrong with the bytes.
    pub fn from_image(bytes: &[u8]) -> Result<KeeperMachine, String> {
        let image: MachineImage = rmp_serde::from_slice(bytes).map_err(|e| e.to_string())?;
        let read = read_configuration(&image.document);
        let mut configuration = read.map_err(|findings| format!("{findings:?}"))?;
        configuration.version = image.version;
        Ok(KeeperMachine {
            now_ms: image.now_ms,
            configuration: Arc::new(configuration),
            recent: image.recent.into(),
            answers: image.answers,
            roster: image.roster,
            claims: ClaimTable::from_records(image.claims_oldest, image.claims),
            orders: image.orders.into_iter().map(|order| (order.number, order)).collect(),
        })
    }
}

/// The fencing token of a log position; tokens are ordered by term, then by log index.
pub fn fence_of(term: u64, index: u64) -> u64 {
    (term << 40) | (index & ((1 << 40) - 1))
}

/// The operation that sets an entry of a document, for tests and tools.
pub fn put(section: super::configuration::Section, name: &str, value: Value) -> EntryOperation {
    EntryOperation::Put { section, name: name.to_string(), value }
}
