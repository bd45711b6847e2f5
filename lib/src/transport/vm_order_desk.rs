//! Orders that were sent to a leader on another VM and not answered yet; see `vm_orders`.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::protocol::vm_wire::OrderVerdict;

/// The orders in flight, by the number in their message, with the tasks that wait for the verdicts.
#[derive(Default)]
pub struct PendingOrders {
    pub(super) pending: HashMap<u64, oneshot::Sender<OrderVerdict>>,
}
