//! One read of the platform's list, before it becomes a revision of the list.
//!
//! Entries may be written by unknown programs, and an entry that can't be parsed must not affect
//! the others. Invariants: an unreadable entry adds no upstream to use; of two entries with one
//! name the one that started later holds; a known upstream whose entry is unreadable now is kept,
//! but not used as long as other upstreams of its service are available. See
//! `docs/design/identity.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::finding::Finding;
use super::upstream_list::{EntryDefect, UpstreamEntry, UpstreamList};

/// An entry that can't be parsed, with those fields that identify its upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadEntry {
    /// The first fault in the entry, with its location.
    pub finding: Finding,
    /// The name, if it is readable.
    pub name: Option<String>,
    /// The start time, if it is readable.
    pub started_ms: Option<u64>,
    /// The address, if it is readable.
    pub address: Option<SocketAddr>,
}

/// The upstreams that unreadable entries may refer to, with their start times: by name, or by
/// address for entries without a name. The maps avoid a search for each row, since the number of
/// unreadable entries is unbounded.
#[derive(Default)]
struct UnreadNames<'a> {
    by_name: BTreeMap<&'a str, Vec<Option<u64>>>,
    by_address: BTreeMap<SocketAddr, Vec<Option<u64>>>,
}

impl UnreadNames<'_> {
    fn of(unread: &[UnreadEntry]) -> UnreadNames<'_> {
        let mut names = UnreadNames::default();
        for entry in unread {
            match (&entry.name, entry.address) {
                (Some(name), _) => names.by_name.entry(name).or_default().push(entry.started_ms),
                (None, Some(at)) => names.by_address.entry(at).or_default().push(entry.started_ms),
                (None, None) => {}
            }
        }
        names
    }

    /// Whether an unreadable entry may refer to this row: its name or address matches, and its start
    /// time, if readable, is the same.
    fn include(&self, row: &UpstreamEntry) -> bool {
        let same = |started_ms: &Option<u64>| started_ms.is_none() || *started_ms == row.started_ms;
        let by_name = self.by_name.get(row.name.as_str());
        let starts = by_name.or_else(|| self.by_address.get(&row.address));
        starts.is_some_and(|starts| starts.iter().any(same))
    }
}

/// The content of all pages of one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListReading {
    /// Entries that were parsed.
    pub rows: Vec<UpstreamEntry>,
    /// Entries that could not be parsed.
    pub unread: Vec<UnreadEntry>,
    /// Faults that did not prevent entries from being parsed, with their locations.
    pub findings: Vec<Finding>,
}

/// The result of a read, combined with the list known before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResolvedReading {
    /// The rows, one for each name.
    pub rows: Vec<UpstreamEntry>,
    /// Names that were listed with several start times.
    pub duplicates: Vec<String>,
}

impl ListReading {
    /// Adds the content of page `number`, counted from 0.
    pub fn append(&mut self, mut page: ListReading, number: usize) {
        let findings = page.unread.iter_mut().map(|entry| &mut entry.finding);
        for finding in findings.chain(&mut page.findings) {
            finding.path = format!("page {}: {}", number + 1, finding.path);
        }
        self.rows.append(&mut page.rows);
        self.unread.append(&mut page.unread);
        self.findings.append(&mut page.findings);
    }

    /// Combines the read with the known list. Returns `None` if the read has entries but none that
    /// can be parsed; the known list then stays in use.
    pub fn resolve(&self, known: &UpstreamList) -> Option<ResolvedReading> {
        if self.rows.is_empty() && !self.unread.is_empty() {
            return None;
        }
        let (mut rows, duplicates) = latest_starts(&self.rows);
        let retained = self.retained(&rows, known);
        rows.extend(retained);
        Some(ResolvedReading { rows, duplicates })
    }

    /// Known upstreams that only unreadable entries refer to. They keep taking work if their
    /// service has no other upstream that does, since withholding them would leave its callers
    /// unserved.
    fn retained(&self, rows: &[UpstreamEntry], known: &UpstreamList) -> Vec<UpstreamEntry> {
        if self.unread.is_empty() {
            return Vec::new();
        }
        let read: BTreeSet<&str> = rows.iter().map(|row| row.name.as_str()).collect();
        let served: BTreeSet<&str> =
            rows.iter().filter(|row| row.takes_work()).map(|row| row.service.as_str()).collect();
        let names = UnreadNames::of(&self.unread);
        let named = |row: &&UpstreamEntry| !read.contains(row.name.as_str()) && names.include(row);
        let retain = |row: &UpstreamEntry| {
            let defect = match row.defect {
                EntryDefect::State => EntryDefect::State,
                _ if served.contains(row.service.as_str()) => EntryDefect::Unread,
                _ => EntryDefect::None,
            };
            UpstreamEntry { defect, ..row.clone() }
        };
        known.entries.values().filter(named).map(retain).collect()
    }
}

/// The latest incarnation of each name, and the names that had several start times.
fn latest_starts(rows: &[UpstreamEntry]) -> (Vec<UpstreamEntry>, Vec<String>) {
    let mut starts: BTreeMap<&str, Option<u64>> = BTreeMap::new();
    let mut duplicates = BTreeSet::new();
    for row in rows {
        let started_ms = starts.entry(&row.name).or_insert(row.started_ms);
        if *started_ms != row.started_ms {
            duplicates.insert(row.name.clone());
        }
        *started_ms = (*started_ms).max(row.started_ms);
    }
    let latest = rows.iter().filter(|row| starts.get(row.name.as_str()) == Some(&row.started_ms));
    (latest.cloned().collect(), duplicates.into_iter().collect())
}
