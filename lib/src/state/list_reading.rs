//! One reading of the platform's list, before it becomes a state of it.
//!
//! Entries may come from writers that we don't know, and one that can't be read must not cost the
//! others. Invariants: what can't be read names no upstream to use; of two entries of one name the
//! later started_ms holds; an upstream that was known and is named still, but can't be read now, is neither
//! gone nor used while others of its service are. See `docs/design/identity.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::finding::Finding;
use super::upstream_list::{EntryDoubt, UpstreamEntry, UpstreamList};

/// An entry that can't be read, and what is readable of the name in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadEntry {
    /// What is wrong, with its place; the first thing, where there are several.
    pub finding: Finding,
    /// The name, if that can be read.
    pub name: Option<String>,
    /// The birth, likewise.
    pub started_ms: Option<u64>,
    /// The address, likewise.
    pub address: Option<SocketAddr>,
}

/// Whom entries that can't be read name, and with which starts: by name, or by address where they give
/// no name. Found without a search: nothing bounds what other writers leave.
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

    fn include(&self, row: &UpstreamEntry) -> bool {
        let same = |started_ms: &Option<u64>| started_ms.is_none() || *started_ms == row.started_ms;
        let by_name = self.by_name.get(row.name.as_str());
        let starts = by_name.or_else(|| self.by_address.get(&row.address));
        starts.is_some_and(|starts| starts.iter().any(same))
    }
}

/// All pages of one reading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListReading {
    /// Entries that were read.
    pub rows: Vec<UpstreamEntry>,
    /// Entries that were not.
    pub unread: Vec<UnreadEntry>,
    /// What is odd about entries that were read, with its place.
    pub findings: Vec<Finding>,
}

/// What a reading shows, in view of what was known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResolvedReading {
    /// The rows, one a name.
    pub rows: Vec<UpstreamEntry>,
    /// Names that stood there with several starts.
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

    /// What the reading shows. `None` when it has entries and none can be read: that is no news of
    /// anyone, and what was known holds.
    pub fn resolve(&self, known: &UpstreamList) -> Option<ResolvedReading> {
        if self.rows.is_empty() && !self.unread.is_empty() {
            return None;
        }
        let (mut rows, duplicates) = latest_starts(&self.rows);
        let held = self.held(&rows, known);
        rows.extend(held);
        Some(ResolvedReading { rows, duplicates })
    }

    /// Known upstreams that are named by entries which can't be read, and by no other. They stay as
    /// they were known if their service has no other that takes work: refusing would serve no caller.
    fn held(&self, rows: &[UpstreamEntry], known: &UpstreamList) -> Vec<UpstreamEntry> {
        if self.unread.is_empty() {
            return Vec::new();
        }
        let read: BTreeSet<&str> = rows.iter().map(|row| row.name.as_str()).collect();
        let served: BTreeSet<&str> =
            rows.iter().filter(|row| row.takes_work()).map(|row| row.service.as_str()).collect();
        let names = UnreadNames::of(&self.unread);
        let named = |row: &&UpstreamEntry| !read.contains(row.name.as_str()) && names.include(row);
        let hold = |row: &UpstreamEntry| {
            let doubt = match row.doubt {
                EntryDoubt::State => EntryDoubt::State,
                _ if served.contains(row.service.as_str()) => EntryDoubt::Unread,
                _ => EntryDoubt::None,
            };
            UpstreamEntry { doubt, ..row.clone() }
        };
        known.entries.values().filter(named).map(hold).collect()
    }
}

/// One row a name, the later started_ms of several; and the names that had several starts.
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
