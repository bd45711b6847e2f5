//! The settings file of each daemon. All findings in a file are reported together.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;

use super::finding::{parse_document, Finding, FindingList, ObjectReader};
use super::ids::{KeeperId, RouterId};

/// The address of a keeper, used for both TCP and datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperAddress {
    /// The number of the keeper.
    pub id: KeeperId,
    /// The address for HTTP and datagrams.
    pub address: SocketAddr,
}

/// The limits of a router; requests beyond them are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterLimits {
    /// The most requests in flight, which is also the size of the worker pool.
    pub in_flight: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The largest total size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// How long a connection may be silent, in milliseconds.
    pub read_timeout_ms: u64,
    /// How long a drain waits for requests in flight, in milliseconds.
    pub drain_ms: u64,
}

/// The settings of `wingshed-router`.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// This router's number, unique in the system.
    pub id: RouterId,
    /// The availability zone of this VM.
    pub zone: String,
    /// The address on which it listens for callers and peers, and for datagrams.
    pub address: SocketAddr,
    /// The keepers.
    pub keepers: Vec<KeeperAddress>,
    /// The HTTP address of the platform's list of VMs, if the platform has one.
    pub vm_list: Option<SocketAddr>,
    /// The address to which statsd counters are sent, if any.
    pub statsd: Option<SocketAddr>,
    /// The secret that authenticates messages between wingshed's own processes.
    pub fleet_key: String,
    /// The limits on requests.
    pub limits: RouterLimits,
}

/// The settings of `wingshed-keeper`.
#[derive(Clone, Debug)]
pub struct KeeperSettings {
    /// This keeper's number.
    pub id: KeeperId,
    /// The availability zone of this VM.
    pub zone: String,
    /// The address on which it listens, for TCP and datagrams.
    pub address: SocketAddr,
    /// All keepers of the first group, including this one.
    pub keepers: Vec<KeeperAddress>,
    /// Whether the keeper is added to an existing group; it then starts without a vote until it is
    /// promoted.
    pub join: bool,
    /// The folder that holds all durable state.
    pub data_folder: PathBuf,
    /// The secret that authenticates messages between wingshed's own processes.
    pub fleet_key: String,
    /// The HTTP address of the weight store, if orders load weights.
    pub weight_store: Option<SocketAddr>,
    /// The most loads that the weight store runs at the same time.
    pub weight_loads: usize,
}

/// The shortest fleet key that is accepted, in bytes; a shorter one could be guessed.
const SHORTEST_FLEET_KEY: usize = 16;

fn read_keepers(reader: &mut ObjectReader<'_>, list: &mut FindingList) -> Vec<KeeperAddress> {
    let mut keepers = Vec::new();
    let mut places: BTreeMap<SocketAddr, String> = BTreeMap::new();
    let mut numbers: BTreeMap<u64, String> = BTreeMap::new();
    for (path, value) in reader.array("keepers", list) {
        let mut keeper = ObjectReader::new(&path, value, list);
        let id = keeper.number("id", None, 1..=u32::MAX as u64, list);
        let address = keeper.address("address", list);
        keeper.finish(list);
        if let Some(first) = numbers.insert(id, path.clone()) {
            list.add(&format!("{path}.id"), format!("the same number as {first}"));
        }
        if let Some(first) = places.insert(address, path.clone()) {
            list.add(&format!("{path}.address"), format!("the same address as {first}"));
        }
        keepers.push(KeeperAddress { id: KeeperId(id as u32), address });
    }
    if keepers.is_empty() {
        list.add("$.keepers", "at least one keeper must be named");
    } else if keepers.len() % 2 == 0 {
        list.add("$.keepers", "an even number of keepers survives no more losses than one fewer");
    }
    keepers
}

fn read_fleet_key(reader: &mut ObjectReader<'_>, list: &mut FindingList) -> String {
    let key = reader.text("fleet_key", list);
    if !key.is_empty() && key.len() < SHORTEST_FLEET_KEY {
        list.add("$.fleet_key", format!("must have at least {SHORTEST_FLEET_KEY} characters"));
    }
    key
}

fn optional_address(
    reader: &mut ObjectReader<'_>,
    key: &str,
    list: &mut FindingList,
) -> Option<SocketAddr> {
    reader.value(key)?;
    Some(reader.address(key, list))
}

/// Reads a router's limits; one that is missing gets its default.
fn read_limits(value: Option<&Value>, list: &mut FindingList) -> RouterLimits {
    let empty = Value::Object(Default::default());
    let mut reader = ObjectReader::new("$.limits", value.unwrap_or(&empty), list);
    let limits = RouterLimits {
        in_flight: reader.number("in_flight", Some(4000), 1..=100_000, list) as usize,
        body_bytes: reader.number("body_bytes", Some(8 << 20), 1024..=1 << 30, list) as usize,
        header_bytes: reader.number("header_bytes", Some(16 << 10), 256..=1 << 20, list) as usize,
        read_timeout_ms: reader.number("read_timeout_ms", Some(10_000), 100..=600_000, list),
        drain_ms: reader.number("drain_ms", Some(600_000), 1000..=86_400_000, list),
    };
    reader.finish(list);
    if limits.header_bytes > limits.body_bytes {
        list.add("$.limits.header_bytes", "is above limits.body_bytes");
    }
    if limits.drain_ms < limits.read_timeout_ms {
        list.add(
            "$.limits.drain_ms",
            "is below limits.read_timeout_ms, so a drain would cut callers",
        );
    }
    limits
}

/// Reads a router's settings; returns all findings if they are invalid.
pub fn read_router_settings(text: &str) -> Result<RouterSettings, Vec<Finding>> {
    let mut list = FindingList::default();
    let Some(value) = parse_document(text, &mut list) else { return Err(list.locate(text)) };
    let mut reader = ObjectReader::new("$", &value, &mut list);
    reader.value("role");
    let settings = RouterSettings {
        id: RouterId(reader.number("id", None, 1..=u32::MAX as u64, &mut list) as u32),
        zone: reader.text("zone", &mut list),
        address: reader.address("address", &mut list),
        keepers: read_keepers(&mut reader, &mut list),
        vm_list: optional_address(&mut reader, "vm_list", &mut list),
        statsd: optional_address(&mut reader, "statsd", &mut list),
        fleet_key: read_fleet_key(&mut reader, &mut list),
        limits: read_limits(reader.value("limits"), &mut list),
    };
    let usable = settings.address.port() != 0;
    if usable && settings.keepers.iter().any(|keeper| keeper.address == settings.address) {
        list.add("$.address", "a keeper has this address");
    }
    reader.finish(&mut list);
    finish(settings, list, text)
}

/// Reads a keeper's settings; returns all findings if they are invalid.
pub fn read_keeper_settings(text: &str) -> Result<KeeperSettings, Vec<Finding>> {
    let mut list = FindingList::default();
    let Some(value) = parse_document(text, &mut list) else { return Err(list.locate(text)) };
    let mut reader = ObjectReader::new("$", &value, &mut list);
    reader.value("role");
    let settings = KeeperSettings {
        id: KeeperId(reader.number("id", None, 1..=u32::MAX as u64, &mut list) as u32),
        zone: reader.text("zone", &mut list),
        address: reader.address("address", &mut list),
        keepers: read_keepers(&mut reader, &mut list),
        join: reader.flag("join", false, &mut list),
        data_folder: PathBuf::from(reader.text("data_folder", &mut list)),
        fleet_key: read_fleet_key(&mut reader, &mut list),
        weight_store: optional_address(&mut reader, "weight_store", &mut list),
        weight_loads: reader.number("weight_loads", Some(2), 1..=1000, &mut list) as usize,
    };
    let own = settings.keepers.iter().find(|keeper| keeper.id == settings.id);
    match own {
        Some(own) if own.address != settings.address => {
            list.add("$.address", "differs from this keeper's entry under keepers");
        }
        None if !settings.join => {
            list.add("$.keepers", "does not name this keeper; set join to start without a vote");
        }
        _ => {}
    }
    reader.finish(&mut list);
    finish(settings, list, text)
}

fn finish<T>(settings: T, list: FindingList, text: &str) -> Result<T, Vec<Finding>> {
    if list.findings.is_empty() {
        Ok(settings)
    } else {
        Err(list.locate(text))
    }
}
