//! Bytes on the wire by kind of message, as the transport sends and receives them.
//!
//! Bodies and heads are counted as written; what the packets add is estimated with
//! the two constants below, since a process does not see it.

use std::collections::BTreeMap;
use std::sync::Mutex;

use crate::protocol::operator::WireRow;

/// IP and UDP heads of one datagram.
pub const DATAGRAM_HEAD_BYTES: u64 = 28;
/// The packets of opening and closing one TCP connection, five of them sent by the opener.
pub const CONNECTION_BYTES: u64 = 5 * 40;

/// Counters by kind.
#[derive(Debug, Default)]
pub struct WireCount {
    rows: Mutex<BTreeMap<&'static str, [u64; 4]>>,
}

impl WireCount {
    /// A message of this kind was sent.
    pub fn sent(&self, kind: &'static str, bytes: u64) {
        self.add(kind, 0, bytes);
    }

    /// A message of this kind was received.
    pub fn received(&self, kind: &'static str, bytes: u64) {
        self.add(kind, 2, bytes);
    }

    fn add(&self, kind: &'static str, at: usize, bytes: u64) {
        let mut rows = self.rows.lock().unwrap_or_else(|poison| poison.into_inner());
        let row = rows.entry(kind).or_default();
        row[at] += 1;
        row[at + 1] += bytes;
    }

    /// All counters.
    pub fn rows(&self) -> Vec<WireRow> {
        let rows = self.rows.lock().unwrap_or_else(|poison| poison.into_inner());
        let to_row = |(kind, row): (&&'static str, &[u64; 4])| WireRow {
            kind: kind.to_string(),
            sent: row[0],
            sent_bytes: row[1],
            received: row[2],
            received_bytes: row[3],
        };
        rows.iter().map(to_row).collect()
    }
}
