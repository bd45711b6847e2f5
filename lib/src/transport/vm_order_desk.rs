//! What one VM holds of orders that a leader elsewhere was asked to take; see `vm_orders`.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::protocol::vm_wire::OrderVerdict;

/// Whom this VM asked for what.
#[derive(Default)]
pub struct PendingOrders {
    pub(super) asked: HashMap<u64, oneshot::Sender<OrderVerdict>>,
}
