//! A VM's notes of where streams began, and the questions about others that it asked other VMs.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use tokio::sync::Notify;

use crate::coordination::stream_origins::{OriginAnswers, OriginTable};
use crate::protocol::vm_wire::{OriginNote, VmId};

/// A question that other VMs were asked.
pub(super) struct OriginQuery {
    pub(super) answers: RefCell<OriginAnswers>,
    /// Notified at each answer.
    pub(super) answered: Notify,
}

/// The notes of one VM, and its open questions by number.
#[derive(Default)]
pub struct OriginState {
    /// The notes.
    pub table: OriginTable,
    pub(super) queries: HashMap<u64, Rc<OriginQuery>>,
    /// Notes that are to be sent to other VMs without haste, in parts that fit a datagram.
    pub(super) queued: VecDeque<(VmId, Vec<OriginNote>)>,
    /// Notified when `queued` gets notes.
    pub(super) queue_filled: Rc<Notify>,
}
