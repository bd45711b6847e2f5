//! The settings file of each daemon, read with every finding at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;

use super::finding::{parse_document, Finding, FindingList, ObjectReader};
use super::ids::{KeeperId, RouterId};

/// Where a keeper is reached: one port number, used for TCP and for datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperAddress {
    /// The keeper's number.
    pub id: KeeperId,
    /// Its address for HTTP and datagrams.
    pub address: SocketAddr,
}

/// What a router refuses beyond. Units are in the names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterLimits {
    /// Requests in flight at once; also the size of the worker pool.
    pub in_flight: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of all headers of a request.
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
    /// Where callers and peers connect; also the datagram port.
    pub address: SocketAddr,
    /// The keepers.
    pub keepers: Vec<KeeperAddress>,
    /// The platform's list of VMs, an HTTP address, if it gives one.
    pub vm_list: Option<SocketAddr>,
    /// Where `cadence` counters go, if anywhere.
    pub statsd: Option<SocketAddr>,
    /// The secret that authenticates messages between wingshed's own processes.
    pub fleet_key: String,
    /// Limits.
    pub limits: RouterLimits,
}

/// The settings of `wingshed-keeper`.
#[derive(Clone, Debug)]
pub struct KeeperSettings {
    /// This keeper's number.
    pub id: KeeperId,
    /// The availability zone of this VM.
    pub zone: String,
    /// Where it listens, TCP and datagrams.
    pub address: SocketAddr,
    /// Every keeper, this one included, that forms the first group.
    pub keepers: Vec<KeeperAddress>,
    /// A keeper added later starts without a vote and waits to be brought in.
    pub join: bool,
    /// The one folder under which all durable state lives.
    pub data_folder: PathBuf,
    /// The secret that authenticates messages between wingshed's own processes.
    pub fleet_key: String,
    /// The weight store, an HTTP address, if orders load weights.
    pub weight_store: Option<SocketAddr>,
    /// How many loads the weight store takes at once.
    pub weight_loads: usize,
}

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

/// Reads a router's settings; `Err` holds every finding.
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

/// Reads a keeper's settings; `Err` holds every finding.
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
