//! Who waits at a keeper for an entry of its log, and how each is answered.

use std::net::SocketAddr;

use crossbeam::channel::Sender;

use super::datagram::DatagramPort;
use crate::coordination::raft_message::RaftRefusal;
use crate::protocol::keeper_wire::{Datagram, KeeperReply};
use crate::state::keeper_machine::KeeperAnswer;

/// The answer to an operator's operation.
#[derive(Clone, Debug, PartialEq)]
pub enum OperateReply {
    /// Committed, with the state machine's answer.
    Done(KeeperAnswer),
    /// Not taken.
    Refused(RaftRefusal),
    /// Taken, but it is not known whether it will be committed.
    Unsure,
}

/// Who waits for an entry to be committed.
pub(super) enum Waiter {
    /// An operator.
    Operate(Sender<OperateReply>),
    /// A router or keeper, over a connection.
    Call(Sender<KeeperReply>),
    /// A router, by datagram: the port to answer from, its address, its number.
    Datagram(DatagramPort, SocketAddr, u64),
    /// No caller waits.
    Detached,
}

impl Waiter {
    /// The entry is committed.
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

    /// It isn't known whether the entry will be committed.
    pub(super) fn unsure(self) {
        match self {
            Waiter::Operate(sender) => drop(sender.send(OperateReply::Unsure)),
            Waiter::Call(sender) => drop(sender.send(KeeperReply::Unsure)),
            // It asks again, perhaps elsewhere: claims carry their attempt.
            Waiter::Datagram(..) | Waiter::Detached => {}
        }
    }
}
