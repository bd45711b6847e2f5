//! The operator of a run: sends orders to the VMs in turn, again and again until one of them answers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::http::call_once;
use crate::ledger::{DocumentRow, OrderContent, OrderRow, ReadRow, RunLedger};
use crate::platform::document::document;
use crate::platform::PUT_DOCUMENT;
use crate::process::VmSpec;

/// How long the operator waits for the answer of one VM before it turns to the next.
const ANSWER_WAIT: Duration = Duration::from_secs(1);
/// Pause before an order is sent to the next VM.
const NEXT_PAUSE: Duration = Duration::from_millis(60);
/// Milliseconds for which the order of a zone may be sent again (`ackMs`).
pub const ZONE_REPEAT_MS: u64 = 5_000;
/// Milliseconds for which a configuration is sent again.
pub const DOCUMENT_REPEAT_MS: u64 = 30_000;

/// Sends orders and numbers the configurations.
pub struct SoakOperator {
    ledger: Rc<RunLedger>,
    vms: Vec<VmSpec>,
    next_vm: Cell<usize>,
    version: Cell<u64>,
    keys_taken: Cell<u64>,
}

impl SoakOperator {
    /// Creates an operator of these VMs.
    pub fn new(ledger: Rc<RunLedger>, vms: Vec<VmSpec>) -> SoakOperator {
        let (next_vm, version, keys_taken) = (Cell::new(0), Cell::new(0), Cell::new(0));
        SoakOperator { ledger, vms, next_vm, version, keys_taken }
    }

    /// Returns the configuration of the next version. With `revoke_key` a new key replaces the newest one.
    pub fn next_document(&self, revoke_key: bool) -> DocumentRow {
        self.version.set(self.version.get() + 3);
        self.keys_taken.set(self.keys_taken.get() + u64::from(revoke_key));
        document(self.version.get(), self.keys_taken.get())
    }

    /// Sends an order until it is acknowledged or refused, or for `repeat_ms` milliseconds. Returns true if
    /// it was acknowledged.
    pub async fn order(&self, content: OrderContent, repeat_ms: u64) -> bool {
        let sent_ms = self.ledger.now_ms();
        let row = OrderRow { content: content.clone(), sent_ms, acked_ms: None, refused: None };
        let at = {
            let orders = &mut self.ledger.rows.borrow_mut().orders;
            orders.push(row);
            orders.len() - 1
        };
        let (path, body) = match &content {
            OrderContent::Document(row) | OrderContent::Invalid(row) => {
                (PUT_DOCUMENT.to_string(), row.text.as_str())
            }
            OrderContent::EmptyZone(zone) => (format!("/evacuations/{zone}/start"), ""),
            OrderContent::ReturnZone(zone) => (format!("/evacuations/{zone}/end"), ""),
        };
        while self.ledger.now_ms() < sent_ms + repeat_ms {
            let vm = self.rotate_vm();
            let answer = call_once(vm.control(), "POST", &path, body, ANSWER_WAIT).await;
            let now = self.ledger.now_ms();
            match answer {
                Some((200..=299, _)) => {
                    self.ledger.rows.borrow_mut().orders[at].acked_ms = Some(now);
                    return true;
                }
                Some((status @ (400 | 409 | 412 | 413 | 422), _)) => {
                    self.ledger.rows.borrow_mut().orders[at].refused = Some(status);
                    return false;
                }
                _ => tokio::time::sleep(NEXT_PAUSE).await,
            }
        }
        false
    }

    /// Reads the configuration back from a VM and records it. Returns its version.
    pub async fn read(&self, vm: usize) -> Option<u64> {
        let sent_ms = self.ledger.now_ms();
        let control = self.vms[vm].control();
        let (status, text) = call_once(control, "GET", "/config/get", "", ANSWER_WAIT).await?;
        if status != 200 {
            return None;
        }
        let version = version_of(&text);
        self.ledger.rows.borrow_mut().reads.push(ReadRow { vm, sent_ms, text });
        version
    }

    /// Returns the next VM in turn.
    fn rotate_vm(&self) -> &VmSpec {
        self.next_vm.set(self.next_vm.get() + 1);
        &self.vms[self.next_vm.get() % self.vms.len()]
    }
}

/// Returns the version of a configuration that is given as JSON.
pub fn version_of(text: &str) -> Option<u64> {
    serde_json::from_str::<serde_json::Value>(text).ok()?["version"].as_u64()
}

/// Makes a configuration invalid: its first route appears twice, so two routes have one prefix.
pub fn invalid_document(row: &DocumentRow) -> DocumentRow {
    let mut value: serde_json::Value =
        serde_json::from_str(&row.text).expect("the configuration is JSON");
    let doubled = value["routes"][0].clone();
    if let Some(routes) = value["routes"].as_array_mut() {
        routes.push(doubled);
    }
    DocumentRow { text: value.to_string(), ..row.clone() }
}
