//! The callers that wait at a keeper for a log entry to be committed, and the replies to them.

use std::net::SocketAddr;

use crossbeam::channel::Sender;

use super::datagram::DatagramPort;
use crate::coordination::raft_message::RaftRefusal;
use crate::protocol::keeper_wire::{Datagram, KeeperReply};
use crate::state::keeper_machine::KeeperAnswer;

/// The answer to an operator's operation.
#[derive(Clone, Debug, PartialEq)]
pub enum OperateReply {
    /// The operation is committed; this is the state machine's answer.
    Done(KeeperAnswer),
    /// The operation was refused.
    Refused(RaftRefusal),
    /// The operation was accepted, but it is not known whether it will be committed.
    Unsure,
}

/// A caller that waits for an entry to be committed.
pub(super) enum Waiter {
    /// An operator.
    Operate(Sender<OperateReply>),
    /// A router or keeper that called by HTTP.
    Call(Sender<KeeperReply>),
    /// A router that sent a datagram: the port to answer from, the router's address, and the number
    /// of its batch.
    Datagram(DatagramPort, SocketAddr, u64),
    /// No caller waits for the entry.
    Detached,
}

impl Waiter {
    /// Answers the caller after the entry was committed.
    pub(super) fn answer(self, answer: KeeperAnswer) {
        match self {
            Waiter::Operate(sender) => drop(sender.send(OperateReply::Done(answer))),
            Waiter::Call(sender) => {
                let reply = match answer {
                    KeeperAnswer::Claim(answers) => KeeperReply::Claims(answers),
                    _ => KeeperReply::Done,
                };
                drop(sender.send(reply));
            }
            Waiter::Detached => {}
            Waiter::Datagram(port, from, number) => {
                if let KeeperAnswer::Claim(answers) = answer {
                    port.send(from, &Datagram::ClaimAnswers { number, answers: Some(answers) });
                }
            }
        }
    }

    /// Notifies the caller that it isn't known whether the entry will be committed.
    pub(super) fn unsure(self) {
        match self {
            Waiter::Operate(sender) => drop(sender.send(OperateReply::Unsure)),
            Waiter::Call(sender) => drop(sender.send(KeeperReply::Unsure)),
            // The router sends its claims again, perhaps to another keeper, which their attempt
            // numbers make safe.
            Waiter::Datagram(..) | Waiter::Detached => {}
        }
    }
}
