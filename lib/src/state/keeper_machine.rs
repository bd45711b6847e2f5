//! The replicated state machine of the keepers: configuration, roster, claims, orders.
//!
//! It is deterministic: equal commands in equal order give equal state on every
//! keeper. Times are stamped by the leader into the command and never fall.

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

/// How long the answer to a change is kept for resends, in milliseconds.
pub const ANSWER_KEEP_MS: u64 = 7 * 24 * 3600 * 1000;
/// How many changes routers may fetch one by one before they need the whole.
pub const RECENT_CHANGES: usize = 1000;

/// A submitted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Chosen by the submitter; a resend has the same.
    pub id: String,
    /// The version that it builds on.
    pub base: u64,
    /// Who submits it.
    pub operator: String,
    /// What it does.
    pub operations: Vec<EntryOperation>,
}

/// The answer to a change; a resend of the same id gets the first again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeAnswer {
    /// In force from this version on.
    Accepted {
        /// The version that the change made.
        version: u64,
    },
    /// Another change won.
    Conflict {
        /// The version in force.
        current: u64,
        /// The id of the change that made the version after the base.
        winner: String,
        /// Its operator.
        winner_operator: String,
    },
    /// The result would not be a valid configuration.
    Invalid {
        /// All that is wrong.
        findings: Vec<Finding>,
    },
}

/// An accepted change, as history shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The version that it made.
    pub version: u64,
    /// When, by the leader's clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// The change.
    pub change: ConfigChange,
}

/// What an order has an engine do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum OrderAction {
    /// Load a model, adapter or version; takes a place at the weight store.
    Load {
        /// What to load.
        artifact: String,
    },
    /// Unload it.
    Unload {
        /// What to unload.
        artifact: String,
    },
    /// Change role.
    Role {
        /// The new role.
        role: String,
    },
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// In the log, not known to be carried out.
    Pending,
    /// The engine confirmed it.
    Done,
    /// The engine refused it.
    Refused,
}

/// A fenced order as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Its number.
    pub number: u64,
    /// Chosen by the submitter; a resend has the same.
    pub id: String,
    /// The upstream's name.
    pub upstream: String,
    /// What to do.
    pub action: OrderAction,
    /// Rises with the term and the log; an engine refuses any lower.
    pub fence: u64,
    /// How far it has come.
    pub state: OrderState,
}

/// What is replicated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum KeeperOperation {
    /// Nothing; commits the entries before it in a new term.
    Noop,
    /// Submits a change.
    Change(ConfigChange),
    /// Claims, decided in order.
    Claim(Vec<ClaimRequest>),
    /// Ends of claims.
    Report(Vec<ClaimReport>),
    /// A router's session begins.
    Join(RouterId, RouterSession),
    /// A router's lease ran out.
    Lapse(RouterId, Incarnation),
    /// A router drains.
    Leave(RouterId, Incarnation),
    /// A new order; the fence is set from the entry's place.
    Order {
        /// Chosen by the submitter.
        id: String,
        /// The upstream's name.
        upstream: String,
        /// What to do.
        action: OrderAction,
    },
    /// An order was carried out or refused.
    OrderEnd(u64, OrderState),
}

/// An operation with the leader's time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeeperCommand {
    /// Milliseconds since 1970, by the leader's clock.
    pub at_ms: u64,
    /// What to do.
    pub operation: KeeperOperation,
}

/// The answer to an operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperAnswer {
    /// Done, nothing to say.
    Done,
    /// To [`KeeperOperation::Change`].
    Change(ChangeAnswer),
    /// To [`KeeperOperation::Claim`], in the order asked.
    Claim(Vec<ClaimAnswer>),
    /// To [`KeeperOperation::Order`]: the order's number.
    Order(u64),
}

/// The state of the whole system that must survive.
#[derive(Clone, Debug, Default)]
pub struct KeeperMachine {
    /// The log's time: the highest stamp seen.
    pub now_ms: u64,
    /// In force now.
    pub configuration: Arc<Configuration>,
    /// The latest changes, for routers that lag by a few.
    pub recent: VecDeque<ChangeRecord>,
    /// Answers by change id.
    answers: BTreeMap<String, (u64, ChangeAnswer)>,
    /// The routers.
    pub roster: RouterRoster,
    /// The claims.
    pub claims: ClaimTable,
    /// Orders by number.
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
    /// Applies a committed command from the log at `term` and `index`.
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

    /// The first answer to a change, if its id is known.
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

    /// The whole state as bytes, for a snapshot.
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

    /// The state of a snapshot; the text says what is wrong with the bytes.
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

/// A fence that rises with the term first, then with the log.
pub fn fence_of(term: u64, index: u64) -> u64 {
    (term << 40) | (index & ((1 << 40) - 1))
}

/// An entry's value in a document, for tests and tools.
pub fn put(section: super::configuration::Section, name: &str, value: Value) -> EntryOperation {
    EntryOperation::Put { section, name: name.to_string(), value }
}
