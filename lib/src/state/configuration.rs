//! The configuration of the routers: named entries in five sections.
//!
//! A change is a list of operations on entries, so that a change to one of 48,000 workspaces
//! transmits one entry only. See `docs/design/changes.md`.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

use super::finding::{parse_document, Finding, FindingList, ObjectReader};

/// The name of a section of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Section {
    /// Groups of interchangeable upstreams.
    Fleets,
    /// The servers of the fleets.
    Upstreams,
    /// Customers of the operator.
    Workspaces,
    /// Policy programs.
    Policies,
    /// People who may change the configuration.
    Operators,
}

impl Section {
    /// All sections, in the order in which a document is written.
    pub const ALL: [Section; 5] = [
        Section::Fleets,
        Section::Upstreams,
        Section::Workspaces,
        Section::Policies,
        Section::Operators,
    ];

    /// The key of the section in a document.
    pub fn name(self) -> &'static str {
        match self {
            Section::Fleets => "fleets",
            Section::Upstreams => "upstreams",
            Section::Workspaces => "workspaces",
            Section::Policies => "policies",
            Section::Operators => "operators",
        }
    }
}

/// The kind of server that a fleet consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FleetKind {
    /// Model engines, which serve chats.
    Engine,
    /// Plain upstreams, which serve any request.
    Plain,
}

/// A group of upstreams and the rules for distributing requests among them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetEntry {
    /// Whether the servers are engines or plain upstreams.
    pub kind: FleetKind,
    /// An upstream gets no further work once its load reaches this multiple of the fleet's mean.
    pub multiple: f64,
    /// The largest share of the fleet that passive health checks may eject at the same time.
    #[serde(rename = "set_aside_share")]
    pub max_ejected_share: f64,
    /// The most requests that may wait at one router.
    pub queue: usize,
    /// The most requests that one engine is given at the same time. It should be the number that
    /// the engine runs concurrently, so that further requests wait at the engine's home router,
    /// where they are scheduled fairly by class and workspace.
    pub requests_per_engine: u32,
    /// Whether the upstreams check the fencing token of an order themselves.
    pub checks_fence: bool,
    /// The costs of computing and transferring KV cache on its engines.
    pub rates: KvRates,
}

/// The rates of a fleet of engines, as measured by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KvRates {
    /// Prompt tokens that an engine computes per millisecond.
    pub prefill_per_ms: f64,
    /// Tokens of KV cache that are transferred between engines per millisecond; 0 if they can't be.
    pub import_per_ms: f64,
    /// The time before an import delivers its first byte, in milliseconds.
    pub import_start_ms: f64,
}

/// The default rates, which exclude imports.
pub const NO_IMPORT_RATES: KvRates =
    KvRates { prefill_per_ms: 8.0, import_per_ms: 0.0, import_start_ms: 30.0 };

/// A server of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The fleet that it belongs to.
    pub fleet: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Whether an operator drains it, so that it gets no new work.
    pub draining: bool,
}

/// A customer with its key and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceEntry {
    /// SHA-256 of the key, in hex; the key itself is never stored.
    pub key_hash: String,
    /// The policy that is applied to its requests.
    pub policy: String,
    /// The sustained request rate, in requests per second.
    pub rate: u64,
    /// The most requests in flight at one router.
    pub in_flight: u64,
    /// Its weight among the workspaces of the same class.
    pub weight: u64,
}

/// A policy program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyEntry {
    /// The source code of the program.
    pub source: String,
}

/// A person or tool that may change the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorEntry {
    /// SHA-256 of the key, in hex.
    pub key_hash: String,
}

/// A validated entry of any section.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigEntry {
    /// See [`FleetEntry`].
    Fleet(FleetEntry),
    /// See [`UpstreamEntry`].
    Upstream(UpstreamEntry),
    /// See [`WorkspaceEntry`].
    Workspace(WorkspaceEntry),
    /// See [`PolicyEntry`].
    Policy(PolicyEntry),
    /// See [`OperatorEntry`].
    Operator(OperatorEntry),
}

/// An operation of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryOperation {
    /// Adds or replaces an entry.
    Put {
        /// The entry's section.
        section: Section,
        /// The entry's name.
        name: String,
        /// The entry as it stands in a document.
        value: Value,
    },
    /// Removes an entry.
    Remove {
        /// The entry's section.
        section: Section,
        /// The entry's name.
        name: String,
    },
}

/// The configuration of one version. It is immutable; a change creates a new one, which shares the
/// unchanged entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Rises by one with each accepted change.
    pub version: u64,
    /// Fleets by name.
    pub fleets: BTreeMap<String, Arc<FleetEntry>>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<String, Arc<UpstreamEntry>>,
    /// Workspaces by name. Uses a hash map, since it is the largest section and is read for each
    /// request.
    pub workspaces: HashMap<String, Arc<WorkspaceEntry>>,
    /// Policies by name.
    pub policies: BTreeMap<String, Arc<PolicyEntry>>,
    /// Operators by name.
    pub operators: BTreeMap<String, Arc<OperatorEntry>>,
}

/// The SHA-256 hash of a key in hex, which is the form in which keys are stored.
pub fn hash_key(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

impl Configuration {
    /// An entry in the form that it has in a document.
    pub fn value_of(&self, section: Section, name: &str) -> Option<Value> {
        fn to_value<T: Serialize>(entry: Option<&Arc<T>>) -> Option<Value> {
            entry.and_then(|entry| serde_json::to_value(entry.as_ref()).ok())
        }
        match section {
            Section::Fleets => to_value(self.fleets.get(name)),
            Section::Upstreams => to_value(self.upstreams.get(name)),
            Section::Workspaces => to_value(self.workspaces.get(name)),
            Section::Policies => to_value(self.policies.get(name)),
            Section::Operators => to_value(self.operators.get(name)),
        }
    }

    /// The names in a section, sorted.
    pub fn names(&self, section: Section) -> Vec<String> {
        let mut names: Vec<String> = match section {
            Section::Fleets => self.fleets.keys().cloned().collect(),
            Section::Upstreams => self.upstreams.keys().cloned().collect(),
            Section::Workspaces => self.workspaces.keys().cloned().collect(),
            Section::Policies => self.policies.keys().cloned().collect(),
            Section::Operators => self.operators.keys().cloned().collect(),
        };
        names.sort();
        names
    }

    /// The whole configuration as a document.
    pub fn to_document(&self) -> Value {
        let mut document = serde_json::Map::new();
        for section in Section::ALL {
            let mut entries = serde_json::Map::new();
            for name in self.names(section) {
                entries.insert(name.clone(), self.value_of(section, &name).unwrap_or_default());
            }
            document.insert(section.name().to_string(), Value::Object(entries));
        }
        Value::Object(document)
    }

    /// The operations that turn this configuration into `target`.
    pub fn operations_to(&self, target: &Configuration) -> Vec<EntryOperation> {
        let mut operations = Vec::new();
        for section in Section::ALL {
            for name in target.names(section) {
                let value = target.value_of(section, &name).unwrap_or_default();
                if self.value_of(section, &name).as_ref() != Some(&value) {
                    operations.push(EntryOperation::Put { section, name, value });
                }
            }
            for name in self.names(section) {
                if target.value_of(section, &name).is_none() {
                    operations.push(EntryOperation::Remove { section, name });
                }
            }
        }
        operations
    }

    /// Applies operations and returns a new configuration at `version`, or all findings.
    ///
    /// References are checked in the result, so that the order of the operations within one change
    /// does not matter.
    pub fn apply(
        &self,
        version: u64,
        operations: &[EntryOperation],
    ) -> Result<Configuration, Vec<Finding>> {
        let mut list = FindingList::default();
        let mut next = self.clone();
        next.version = version;
        for operation in operations {
            match operation {
                EntryOperation::Put { section, name, value } => {
                    let path = format!("$.{}.{name}", section.name());
                    let entry = read_entry(*section, &path, value, &mut list);
                    next.put(name, entry);
                }
                EntryOperation::Remove { section, name } => {
                    if !next.remove(*section, name) {
                        let path = format!("$.{}.{name}", section.name());
                        list.add(&path, "cannot be removed: there is no such entry");
                    }
                }
            }
        }
        next.check_references(operations, self, &mut list);
        if list.findings.is_empty() {
            Ok(next)
        } else {
            Err(list.findings)
        }
    }

    fn put(&mut self, name: &str, entry: ConfigEntry) {
        let name = name.to_string();
        match entry {
            ConfigEntry::Fleet(entry) => drop(self.fleets.insert(name, Arc::new(entry))),
            ConfigEntry::Upstream(entry) => drop(self.upstreams.insert(name, Arc::new(entry))),
            ConfigEntry::Workspace(entry) => drop(self.workspaces.insert(name, Arc::new(entry))),
            ConfigEntry::Policy(entry) => drop(self.policies.insert(name, Arc::new(entry))),
            ConfigEntry::Operator(entry) => drop(self.operators.insert(name, Arc::new(entry))),
        }
    }

    fn remove(&mut self, section: Section, name: &str) -> bool {
        match section {
            Section::Fleets => self.fleets.remove(name).is_some(),
            Section::Upstreams => self.upstreams.remove(name).is_some(),
            Section::Workspaces => self.workspaces.remove(name).is_some(),
            Section::Policies => self.policies.remove(name).is_some(),
            Section::Operators => self.operators.remove(name).is_some(),
        }
    }

    /// Checks that all referenced entries exist. Workspaces are checked only if they changed or a
    /// policy was removed, since there may be 48,000 of them.
    fn check_references(
        &self,
        operations: &[EntryOperation],
        before: &Configuration,
        list: &mut FindingList,
    ) {
        let mut addresses: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        for (name, upstream) in &self.upstreams {
            if !self.fleets.contains_key(&upstream.fleet) {
                let path = format!("$.upstreams.{name}.fleet");
                list.add(&path, format!("there is no fleet `{}`", upstream.fleet));
            }
            if let Some(first) = addresses.insert(upstream.address, name) {
                let path = format!("$.upstreams.{name}.address");
                list.add(&path, format!("the same address as upstream `{first}`"));
            }
        }
        let policy_removed = before.policies.keys().any(|name| !self.policies.contains_key(name));
        let touched = operations.iter().filter_map(|operation| match operation {
            EntryOperation::Put { section: Section::Workspaces, name, .. } => Some(name),
            _ => None,
        });
        let unchecked: Vec<&String> = match policy_removed {
            true => self.workspaces.keys().collect(),
            false => touched.collect(),
        };
        for name in unchecked {
            let Some(workspace) = self.workspaces.get(name) else { continue };
            if !self.policies.contains_key(&workspace.policy) {
                let path = format!("$.workspaces.{name}.policy");
                list.add(&path, format!("there is no policy `{}`", workspace.policy));
            }
        }
        if self.operators.is_empty() && !before.operators.is_empty() {
            list.add("$.operators", "removing the last operator would lock everyone out");
        }
    }
}

fn read_entry(section: Section, path: &str, value: &Value, list: &mut FindingList) -> ConfigEntry {
    let mut reader = ObjectReader::new(path, value, list);
    let entry = match section {
        Section::Fleets => ConfigEntry::Fleet(FleetEntry {
            kind: read_kind(&mut reader, list),
            multiple: reader.ratio("multiple", 1.25, 1.01..=10.0, list),
            max_ejected_share: reader.ratio("set_aside_share", 0.3, 0.0..=0.9, list),
            queue: reader.number("queue", Some(64), 0..=100_000, list) as usize,
            requests_per_engine: reader.number("requests_per_engine", Some(256), 1..=100_000, list)
                as u32,
            checks_fence: reader.flag("checks_fence", false, list),
            rates: read_rates(&mut reader, list),
        }),
        Section::Upstreams => ConfigEntry::Upstream(UpstreamEntry {
            fleet: reader.text("fleet", list),
            address: reader.address("address", list),
            zone: reader.text("zone", list),
            draining: reader.flag("draining", false, list),
        }),
        Section::Workspaces => ConfigEntry::Workspace(WorkspaceEntry {
            key_hash: read_key_hash(&mut reader, list),
            policy: reader.text("policy", list),
            rate: reader.number("rate", Some(1000), 1..=10_000_000, list),
            in_flight: reader.number("in_flight", Some(1000), 1..=1_000_000, list),
            weight: reader.number("weight", Some(1), 1..=1000, list),
        }),
        Section::Policies => {
            ConfigEntry::Policy(PolicyEntry { source: reader.text("source", list) })
        }
        Section::Operators => {
            ConfigEntry::Operator(OperatorEntry { key_hash: read_key_hash(&mut reader, list) })
        }
    };
    reader.finish(list);
    entry
}

fn read_rates(reader: &mut ObjectReader<'_>, list: &mut FindingList) -> KvRates {
    let path = reader.path_of("rates");
    let Some(value) = reader.value("rates") else { return NO_IMPORT_RATES };
    let mut rates = ObjectReader::new(&path, value, list);
    let none = NO_IMPORT_RATES;
    let read = KvRates {
        prefill_per_ms: rates.ratio("prefill_per_ms", none.prefill_per_ms, 0.001..=1e6, list),
        import_per_ms: rates.ratio("import_per_ms", none.import_per_ms, 0.0..=1e6, list),
        import_start_ms: rates.ratio("import_start_ms", none.import_start_ms, 0.0..=1e6, list),
    };
    rates.finish(list);
    read
}

fn read_kind(reader: &mut ObjectReader<'_>, list: &mut FindingList) -> FleetKind {
    match reader.text("kind", list).as_str() {
        "engine" | "" => FleetKind::Engine,
        "plain" => FleetKind::Plain,
        other => {
            list.add(&reader.path_of("kind"), format!("`{other}` is neither engine nor plain"));
            FleetKind::Plain
        }
    }
}

/// Reads a key's hash. A document may contain the hash, or the key itself, which is then hashed.
fn read_key_hash(reader: &mut ObjectReader<'_>, list: &mut FindingList) -> String {
    if let Some(key) = reader.optional_text("key", list) {
        return hash_key(&key);
    }
    let hash = reader.text("key_hash", list);
    let plain_hex = hash.len() == 64 && hash.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !hash.is_empty() && !plain_hex {
        list.add(&reader.path_of("key_hash"), "must be 64 hex digits (SHA-256 of the key)");
    }
    hash.to_ascii_lowercase()
}

/// Reads a document into a configuration at version 0; returns all findings if it is invalid.
pub fn read_configuration(text: &str) -> Result<Configuration, Vec<Finding>> {
    read_configuration_with(text, |_, _| {})
}

/// Like [`read_configuration`], but calls `prepare` first, which may change the document or add
/// findings.
pub fn read_configuration_with(
    text: &str,
    prepare: impl FnOnce(&mut Value, &mut FindingList),
) -> Result<Configuration, Vec<Finding>> {
    let mut list = FindingList::default();
    let Some(mut value) = parse_document(text, &mut list) else { return Err(list.locate(text)) };
    prepare(&mut value, &mut list);
    let mut operations = Vec::new();
    let mut reader = ObjectReader::new("$", &value, &mut list);
    for section in Section::ALL {
        let Some(entries) = reader.value(section.name()) else { continue };
        let Some(entries) = entries.as_object() else {
            list.add(&reader.path_of(section.name()), "must be an object");
            continue;
        };
        for (name, value) in entries {
            let (name, value) = (name.clone(), value.clone());
            operations.push(EntryOperation::Put { section, name, value });
        }
    }
    reader.finish(&mut list);
    let applied = Configuration::default().apply(0, &operations);
    match applied {
        Ok(configuration) if list.findings.is_empty() => Ok(configuration),
        Ok(_) => Err(list.locate(text)),
        Err(findings) => {
            list.findings.extend(findings);
            Err(list.locate(text))
        }
    }
}
