//! The upstreams, as the platform's list or another VM told them.
//!
//! Leaving is sticky for a life: no list that lags can take it back.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ids::UpstreamKey;

/// One life of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The name of this life; another life has another name.
    pub life: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// It takes no new work.
    pub leaving: bool,
    /// Its place in the order of engines; a life that replaces another takes its seat.
    pub seat: Option<u64>,
}

impl UpstreamEntry {
    /// The key of this life.
    pub fn key(&self) -> UpstreamKey {
        UpstreamKey::of(&self.life)
    }
}

/// All upstreams that one VM knows.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    /// By key.
    pub entries: BTreeMap<UpstreamKey, UpstreamEntry>,
    /// When each was first seen here, in milliseconds of the VM's steady clock.
    pub first_seen_ms: BTreeMap<UpstreamKey, u64>,
    /// When the newest content was read from the platform, as far as this VM can tell.
    pub read_ms: u64,
    leaving: HashSet<UpstreamKey>,
}

impl UpstreamList {
    /// Takes a whole list; true when anything changed.
    pub fn replace(&mut self, rows: Vec<UpstreamEntry>, now_ms: u64) -> bool {
        let mut entries = BTreeMap::new();
        for mut row in rows {
            let key = row.key();
            if row.leaving {
                self.leaving.insert(key);
            }
            row.leaving = self.leaving.contains(&key);
            entries.insert(key, row);
        }
        self.leaving.retain(|key| entries.contains_key(key));
        let changed = entries != self.entries;
        self.first_seen_ms.retain(|key, _| entries.contains_key(key));
        for key in entries.keys() {
            self.first_seen_ms.entry(*key).or_insert(now_ms);
        }
        self.entries = entries;
        self.read_ms = now_ms;
        changed
    }

    /// The rows, to tell another VM.
    pub fn rows(&self) -> Vec<UpstreamEntry> {
        self.entries.values().cloned().collect()
    }

    /// The upstreams of a service, those that leave included.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (UpstreamKey, &'a UpstreamEntry)> + 'a {
        let entries = self.entries.iter();
        entries.filter(move |(_, entry)| entry.service == service).map(|(key, entry)| (*key, entry))
    }

    /// The upstreams of a service that take new work.
    pub fn taking<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (UpstreamKey, &'a UpstreamEntry)> + 'a {
        self.of_service(service).filter(|(_, entry)| !entry.leaving)
    }
}
