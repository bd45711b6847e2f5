//! Counts the messages and bytes that the transport sends and receives, by kind of message.
//!
//! Heads and bodies are counted as written. The overhead of packets is invisible to a process and is
//! estimated with the two constants below.

use std::collections::BTreeMap;
use std::sync::Mutex;

use crate::protocol::operator::WireRow;

/// The size of the IP and UDP headers of one datagram.
pub const DATAGRAM_HEAD_BYTES: u64 = 28;
/// The size of the packets that open and close one TCP connection: the five that the opener sends.
pub const CONNECTION_BYTES: u64 = 5 * 40;

/// Counters by kind: messages sent, bytes sent, messages received, bytes received.
#[derive(Debug, Default)]
pub struct WireCount {
    rows: Mutex<BTreeMap<&'static str, [u64; 4]>>,
}

impl WireCount {
    /// Counts a message of this kind as sent.
    pub fn sent(&self, kind: &'static str, bytes: u64) {
        self.add(kind, 0, bytes);
    }

    /// Counts a message of this kind as received.
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
