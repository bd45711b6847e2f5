//! Authentication of messages between wingshed's own processes with the fleet key, and protection
//! against replay.
//!
//! Each incarnation of a process has a random session number and counts its messages. A receiver
//! keeps a window of counts for each session, and refuses messages that were made too long ago or
//! before the receiver started. See `docs/operators/security.md`.

use std::collections::HashMap;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::Snafu;

/// The HTTP header that carries the seal.
pub const SEAL_HEADER: &str = "wingshed-seal";
/// The largest difference between a message's time and the receiver's clock, in milliseconds.
/// Clocks that differ by more make all messages between their VMs be refused.
pub const SEAL_AGE_MS: u64 = 30_000;
/// The length to which the HMAC is truncated, in bytes.
const MAC_BYTES: usize = 16;
/// How many of the last counts of a session are checked for repetition; an older one is refused.
const WINDOW: u64 = 4096;

/// The reason why a message is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SealRefusal {
    /// The seal is missing or malformed.
    #[snafu(display("the seal is missing or malformed"))]
    Malformed,
    /// The seal was made with another key, or the message was altered.
    #[snafu(display("the seal does not match"))]
    Mismatch,
    /// The message was made too long ago, too far ahead, or before this process started.
    #[snafu(display("the seal's time is out of range"))]
    OutOfTime,
    /// The message was received before.
    #[snafu(display("the message was seen before"))]
    Replayed,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct SealStamp {
    session: u64,
    count: u64,
    time_ms: u64,
}

/// Makes the seals of one incarnation of a process.
#[derive(Debug)]
pub struct SealMaker {
    key: Vec<u8>,
    session: u64,
    count: std::sync::atomic::AtomicU64,
}

impl SealMaker {
    /// A maker for an incarnation with this random session number.
    pub fn new(fleet_key: &str, session: u64) -> SealMaker {
        let count = std::sync::atomic::AtomicU64::new(1);
        SealMaker { key: fleet_key.as_bytes().to_vec(), session, count }
    }

    fn stamp(&self, wall_ms: u64) -> SealStamp {
        let count = self.count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        SealStamp { session: self.session, count, time_ms: wall_ms }
    }

    /// The value of the seal header for a message to `target`.
    pub fn header(&self, target: &str, body: &[u8], wall_ms: u64) -> String {
        let stamp = self.stamp(wall_ms);
        let mac = mac_of(&self.key, &stamp, target.as_bytes(), body);
        format!("{:x}.{:x}.{:x}.{}", stamp.session, stamp.count, stamp.time_ms, hex::encode(mac))
    }

    /// A sealed datagram.
    pub fn datagram(&self, body: &[u8], wall_ms: u64) -> Vec<u8> {
        let stamp = self.stamp(wall_ms);
        let mut bytes = mac_of(&self.key, &stamp, b"datagram", body).to_vec();
        bytes.extend_from_slice(&stamp.session.to_le_bytes());
        bytes.extend_from_slice(&stamp.count.to_le_bytes());
        bytes.extend_from_slice(&stamp.time_ms.to_le_bytes());
        bytes.extend_from_slice(body);
        bytes
    }
}

fn mac_of(key: &[u8], stamp: &SealStamp, target: &[u8], body: &[u8]) -> [u8; MAC_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is good for HMAC");
    mac.update(&stamp.session.to_le_bytes());
    mac.update(&stamp.count.to_le_bytes());
    mac.update(&stamp.time_ms.to_le_bytes());
    mac.update(&(target.len() as u64).to_le_bytes());
    mac.update(target);
    mac.update(body);
    let full = mac.finalize().into_bytes();
    let mut short = [0; MAC_BYTES];
    short.copy_from_slice(&full[..MAC_BYTES]);
    short
}

#[derive(Clone, Debug)]
struct SessionWindow {
    highest: u64,
    seen: Vec<u64>,
    last_received_ms: u64,
}

impl SessionWindow {
    fn new(now_ms: u64) -> SessionWindow {
        SessionWindow {
            highest: 0,
            seen: vec![0; (WINDOW / 64) as usize],
            last_received_ms: now_ms,
        }
    }

    /// Records a message's count; returns `false` if it was received before or is too old to tell.
    fn accept(&mut self, count: u64) -> bool {
        if count + WINDOW <= self.highest {
            return false;
        }
        if count > self.highest {
            for passed in self.highest + 1..=count.min(self.highest + WINDOW) {
                self.set_seen(passed, false);
            }
            self.highest = count;
        } else if self.seen[(count % WINDOW / 64) as usize] >> (count % 64) & 1 == 1 {
            return false;
        }
        self.set_seen(count, true);
        true
    }

    fn set_seen(&mut self, count: u64, on: bool) {
        let word = &mut self.seen[(count % WINDOW / 64) as usize];
        let bit = 1 << (count % 64);
        if on {
            *word |= bit;
        } else {
            *word &= !bit;
        }
    }
}

/// Checks the seals of the messages that a process receives.
#[derive(Debug)]
pub struct SealChecker {
    key: Vec<u8>,
    started_ms: u64,
    sessions: HashMap<u64, SessionWindow>,
}

impl SealChecker {
    /// A checker of a process that starts at `wall_ms`, in milliseconds since 1970.
    pub fn new(fleet_key: &str, wall_ms: u64) -> SealChecker {
        let key = fleet_key.as_bytes().to_vec();
        SealChecker { key, started_ms: wall_ms, sessions: HashMap::new() }
    }

    /// Checks the seal header of an HTTP message to `target`.
    pub fn check_header(
        &mut self,
        header: Option<&str>,
        target: &str,
        body: &[u8],
        wall_ms: u64,
    ) -> Result<(), SealRefusal> {
        let parts: Vec<&str> = header.unwrap_or("").split('.').collect();
        let [session, count, time, mac] = parts[..] else { return Err(SealRefusal::Malformed) };
        let number = |text| u64::from_str_radix(text, 16).map_err(|_| SealRefusal::Malformed);
        let stamp =
            SealStamp { session: number(session)?, count: number(count)?, time_ms: number(time)? };
        let mac = hex::decode(mac).map_err(|_| SealRefusal::Malformed)?;
        self.check(&stamp, &mac, target.as_bytes(), body, wall_ms)
    }

    /// Checks the seal of a datagram and returns its body.
    pub fn open_datagram<'a>(
        &mut self,
        bytes: &'a [u8],
        wall_ms: u64,
    ) -> Result<&'a [u8], SealRefusal> {
        const HEAD: usize = MAC_BYTES + 24;
        if bytes.len() < HEAD {
            return Err(SealRefusal::Malformed);
        }
        let number = |at: usize| {
            let mut word = [0; 8];
            word.copy_from_slice(&bytes[at..at + 8]);
            u64::from_le_bytes(word)
        };
        let stamp = SealStamp {
            session: number(MAC_BYTES),
            count: number(MAC_BYTES + 8),
            time_ms: number(MAC_BYTES + 16),
        };
        let body = &bytes[HEAD..];
        self.check(&stamp, &bytes[..MAC_BYTES], b"datagram", body, wall_ms)?;
        Ok(body)
    }

    fn check(
        &mut self,
        stamp: &SealStamp,
        mac: &[u8],
        target: &[u8],
        body: &[u8],
        wall_ms: u64,
    ) -> Result<(), SealRefusal> {
        use subtle::ConstantTimeEq;
        let expected = mac_of(&self.key, stamp, target, body);
        if !bool::from(expected.as_slice().ct_eq(mac)) {
            return Err(SealRefusal::Mismatch);
        }
        let early = stamp.time_ms + SEAL_AGE_MS < wall_ms.max(self.started_ms);
        if early || stamp.time_ms > wall_ms + SEAL_AGE_MS {
            return Err(SealRefusal::OutOfTime);
        }
        self.sessions.retain(|_, window| window.last_received_ms + 4 * SEAL_AGE_MS > wall_ms);
        let window = self.sessions.entry(stamp.session);
        let window = window.or_insert_with(|| SessionWindow::new(wall_ms));
        window.last_received_ms = wall_ms;
        match window.accept(stamp.count) {
            true => Ok(()),
            false => Err(SealRefusal::Replayed),
        }
    }
}
