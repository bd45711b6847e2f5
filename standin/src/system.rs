//! A complete small system in one process on loopback ports: keepers, routers, engines and plain upstreams. Each
//! part can be stopped and started again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use wingshed_lib::protocol::http::{HttpCall, HttpReply};
use wingshed_lib::protocol::operator::OPERATOR_HEADER;
use wingshed_lib::state::configuration::{hash_key, read_configuration, Configuration};
use wingshed_lib::state::ids::{KeeperId, RouterId};
use wingshed_lib::state::settings::{KeeperAddress, KeeperSettings, RouterLimits, RouterSettings};
use wingshed_lib::transport::http_client::{CallTimes, HttpClient};
use wingshed_lib::transport::keeper_node::KeeperNode;
use wingshed_lib::transport::router_node::RouterNode;

use crate::address::free_address;
use crate::engine::{EngineOptions, EngineStandIn};
use crate::plain::PlainStandIn;

/// The fleet key of the stand-in system.
pub const FLEET_KEY: &str = "stand-in fleet key";
/// The name of the system's operator.
pub const OPERATOR: &str = "ana";
/// The key of the system's operator.
pub const OPERATOR_KEY: &str = "ana-key";
const ZONES: [&str; 3] = ["a", "b", "c"];

/// A policy for the services of the stand-in system.
pub const POLICY: &str = r#"
if service == "plain" { return #{ fleet: "plain" }; }
if service == "receipts" { return #{ fleet: "plain", run_once: true }; }
if service == "alert" { return #{ fleet: "engines", run_once: true, expected_output: 16 }; }
if service == "digest" {
    return #{ fleet: "engines", class: "batch", wait_ms: 20000, expected_output: 64 };
}
if service == "teaser" {
    return #{ fleet: "engines", class: "live", wait_ms: 2000, expected_output: 24 };
}
#{ fleet: "engines", wait_ms: 5000, expected_output: 32 }
"#;

/// The options of a stand-in system.
#[derive(Clone, Debug)]
pub struct SystemOptions {
    /// The number of keepers.
    pub keepers: usize,
    /// The number of routers.
    pub routers: usize,
    /// The number of engines.
    pub engines: usize,
    /// The number of plain upstreams.
    pub plains: usize,
    /// The number of workspaces. They are named `w0`, `w1`, ... and have the keys `k0`, `k1`, ...
    pub workspaces: usize,
    /// The options of each engine.
    pub engine: EngineOptions,
    /// The maximum number of requests that are sent to one engine at once.
    pub requests_per_engine: u32,
    /// The number of KV tokens that an engine imports per millisecond; 0 disables the import.
    pub import_per_ms: f64,
    /// The load limit of an engine, as a multiple of the mean load of its fleet.
    pub multiple: f64,
    /// The address of the VM list, if the system has one.
    pub vm_list: Option<SocketAddr>,
    /// The address of the weight store, if the system has one.
    pub weight_store: Option<SocketAddr>,
    /// The folder that contains the data folders of the keepers.
    pub folder: PathBuf,
}

impl SystemOptions {
    /// The options of a system with one keeper, three routers, six engines and two plain upstreams.
    pub fn small(folder: PathBuf) -> SystemOptions {
        SystemOptions {
            keepers: 1,
            routers: 3,
            engines: 6,
            plains: 2,
            workspaces: 3,
            engine: EngineOptions::default(),
            requests_per_engine: 256,
            import_per_ms: 0.0,
            multiple: 1.25,
            vm_list: None,
            weight_store: None,
            folder,
        }
    }
}

/// A running system.
pub struct SystemStandIn {
    /// The options with which the system was started.
    pub options: SystemOptions,
    /// The keepers; `None` for one that is stopped.
    pub keepers: Vec<Option<KeeperNode>>,
    /// The routers; `None` for one that is stopped.
    pub routers: Vec<Option<RouterNode>>,
    /// The engines; `None` for one that is stopped.
    pub engines: Vec<Option<EngineStandIn>>,
    /// The plain upstreams; `None` for one that is stopped.
    pub plains: Vec<Option<PlainStandIn>>,
    /// The HTTP client for calls to the system.
    pub client: HttpClient,
    keeper_addresses: Vec<SocketAddr>,
    router_addresses: Vec<SocketAddr>,
    killed_starts: Vec<HashMap<String, u64>>,
}

impl SystemStandIn {
    /// Starts a system, submits its first configuration, and waits until all routers serve.
    pub fn start(options: SystemOptions) -> SystemStandIn {
        let keeper_addresses: Vec<SocketAddr> =
            (0..options.keepers).map(|_| free_address()).collect();
        let router_addresses: Vec<SocketAddr> =
            (0..options.routers).map(|_| free_address()).collect();
        let engines =
            (0..options.engines).map(|_| Some(EngineStandIn::start(options.engine))).collect();
        let plains = (0..options.plains).map(|_| Some(PlainStandIn::start())).collect();
        let mut system = SystemStandIn {
            keepers: (0..options.keepers).map(|_| None).collect(),
            routers: (0..options.routers).map(|_| None).collect(),
            engines,
            plains,
            client: HttpClient::default(),
            keeper_addresses,
            router_addresses,
            killed_starts: Vec::new(),
            options,
        };
        (0..system.options.keepers).for_each(|at| system.start_keeper(at));
        let document = system.document();
        system.apply(&document, "first");
        (0..system.options.routers).for_each(|at| system.start_router(at));
        system.wait_ready();
        system
    }

    /// Returns the settings of the keeper at index `at`.
    pub fn keeper_settings(&self, at: usize) -> KeeperSettings {
        KeeperSettings {
            id: KeeperId(at as u32 + 1),
            zone: ZONES[at % 3].to_string(),
            address: self.keeper_addresses[at],
            keepers: self.keeper_list(),
            join: false,
            data_folder: self.options.folder.join(format!("keeper-{}", at + 1)),
            fleet_key: FLEET_KEY.to_string(),
            weight_store: self.options.weight_store,
            weight_loads: 2,
        }
    }

    /// Returns the ids and addresses of all keepers.
    pub fn keeper_list(&self) -> Vec<KeeperAddress> {
        let numbered = self.keeper_addresses.iter().enumerate();
        let entry = |(at, address): (usize, &SocketAddr)| KeeperAddress {
            id: KeeperId(at as u32 + 1),
            address: *address,
        };
        numbered.map(entry).collect()
    }

    /// Returns the settings of the router at index `at`.
    pub fn router_settings(&self, at: usize) -> RouterSettings {
        RouterSettings {
            id: RouterId(at as u32 + 1),
            zone: ZONES[at % 3].to_string(),
            address: self.router_addresses[at],
            keepers: self.keeper_list(),
            vm_list: self.options.vm_list,
            statsd: None,
            fleet_key: FLEET_KEY.to_string(),
            limits: RouterLimits {
                in_flight: 4000,
                body_bytes: 8 << 20,
                header_bytes: 16 << 10,
                read_timeout_ms: 10_000,
                drain_ms: 60_000,
            },
        }
    }

    /// Starts a keeper that is stopped.
    pub fn start_keeper(&mut self, at: usize) {
        let node = KeeperNode::start(self.keeper_settings(at)).expect("the keeper starts");
        self.keepers[at] = Some(node);
    }

    /// Starts a router that is stopped.
    pub fn start_router(&mut self, at: usize) {
        let node = RouterNode::start(self.router_settings(at)).expect("the router starts");
        self.routers[at] = Some(node);
    }

    /// Stops an engine abruptly and keeps the counts of the runs that it started.
    pub fn kill_engine(&mut self, at: usize) {
        if let Some(engine) = self.engines[at].take() {
            self.killed_starts.push(engine.starts());
            engine.kill();
        }
    }

    /// Starts an engine that is stopped as a new incarnation at the given address.
    pub fn restart_engine(&mut self, at: usize, address: SocketAddr, incarnation: u64) {
        let options = EngineOptions { incarnation, ..self.options.engine };
        self.engines[at] = Some(EngineStandIn::start_at(address, options));
    }

    /// Waits until every running router serves. Panics after 15 s.
    pub fn wait_ready(&self) {
        for router in self.routers.iter().flatten() {
            assert!(router.wait_ready(Duration::from_secs(15)), "a router does not become ready");
        }
        std::thread::sleep(Duration::from_millis(700));
    }

    /// Returns the addresses of the running routers.
    pub fn router_addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().flatten().map(|router| router.address).collect()
    }

    /// Returns the number of times that each run was started, on all engines including those that were killed.
    pub fn starts(&self) -> HashMap<String, u64> {
        let running = self.engines.iter().flatten().map(|engine| engine.starts());
        let mut sums: HashMap<String, u64> = HashMap::new();
        for (run, count) in running.chain(self.killed_starts.iter().cloned()).flatten() {
            *sums.entry(run).or_default() += count;
        }
        sums
    }

    /// Returns the configuration document of this system, with the upstreams that are running.
    pub fn document(&self) -> Value {
        let mut upstreams = serde_json::Map::new();
        for (at, engine) in self.engines.iter().enumerate() {
            let Some(engine) = engine else { continue };
            let entry = json!({ "fleet": "engines", "address": engine.address.to_string(), "zone": ZONES[at % 3] });
            upstreams.insert(format!("engine-{at}"), entry);
        }
        for (at, plain) in self.plains.iter().enumerate() {
            let Some(plain) = plain else { continue };
            let entry = json!({ "fleet": "plain", "address": plain.address.to_string(), "zone": ZONES[at % 3] });
            upstreams.insert(format!("plain-{at}"), entry);
        }
        let mut workspaces = serde_json::Map::new();
        for at in 0..self.options.workspaces {
            let entry = json!({ "key_hash": hash_key(&format!("k{at}")), "policy": "main", "rate": 100_000, "in_flight": 100_000 });
            workspaces.insert(format!("w{at}"), entry);
        }
        json!({
            "fleets": {
                "engines": { "kind": "engine", "multiple": self.options.multiple, "queue": 10_000, "requests_per_engine": self.options.requests_per_engine,
                    "rates": { "import_per_ms": self.options.import_per_ms } },
                "plain": { "kind": "plain", "set_aside_share": 0.5 },
            },
            "upstreams": upstreams, "workspaces": workspaces,
            "policies": { "main": { "source": POLICY } },
            "operators": { OPERATOR: { "key_hash": hash_key(OPERATOR_KEY) } },
        })
    }

    /// Replaces the configuration in force by the document, and returns its version. Panics if it is refused.
    pub fn apply(&self, document: &Value, id: &str) -> u64 {
        let target = read_configuration(&document.to_string()).expect("the document is good");
        let until = Instant::now() + Duration::from_secs(20);
        let (version, current) = loop {
            match self.current() {
                Some(found) => break found,
                None => assert!(Instant::now() < until, "no keeper leads"),
            }
            std::thread::sleep(Duration::from_millis(50));
        };
        let operations = current.operations_to(&target);
        if operations.is_empty() {
            return version;
        }
        let change = json!({ "id": id, "base": version, "operations": operations });
        let reply = self.operate("POST", "/operator/changes", Some(&change)).expect("an answer");
        assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
        version + 1
    }

    /// Returns the version and configuration in force, from a keeper that confirms that it is current.
    pub fn current(&self) -> Option<(u64, Configuration)> {
        let reply = self.operate("GET", "/operator/config", None)?;
        let value: Value = serde_json::from_slice(&reply.body).ok()?;
        let version = value["version"].as_u64()?;
        let read = read_configuration(&value["configuration"].to_string()).ok()?;
        Some((version, Configuration { version, ..read }))
    }

    /// Sends an operator's call to the keepers in turn, until one answers that is the leader; `None` if none does.
    pub fn operate(&self, method: &str, path: &str, body: Option<&Value>) -> Option<HttpReply> {
        self.keeper_addresses.iter().find_map(|address| {
            let reply = self.operate_at(*address, method, path, body)?;
            (reply.status != 421 && reply.status != 503).then_some(reply)
        })
    }

    /// Sends an operator's call to one keeper; `None` if it does not answer or accepts neither key.
    pub fn operate_at(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Option<HttpReply> {
        let bytes = body.map(|body| body.to_string().into_bytes()).unwrap_or_default();
        let call = HttpCall {
            method: method.to_string(),
            target: path.to_string(),
            headers: Vec::new(),
            body: bytes,
        };
        let times = CallTimes::of_ms(6000);
        // The fleet key is accepted until the configuration contains an operator.
        [OPERATOR_KEY, FLEET_KEY].iter().find_map(|key| {
            let call = call
                .clone()
                .with("authorization", format!("Bearer {key}"))
                .with(OPERATOR_HEADER, OPERATOR);
            let reply = self.client.call(address, &call, times, 64 << 20, "operator").ok()?;
            (reply.status != 401).then_some(reply)
        })
    }

    /// Returns the index of the keeper that is confirmed as the leader.
    pub fn leader(&self) -> Option<usize> {
        (0..self.keepers.len()).find(|at| {
            let node = self.keepers[*at].as_ref();
            node.and_then(|node| node.read(|_, confirmed| confirmed)).unwrap_or(false)
        })
    }

    /// Waits until a keeper is the leader, and returns its index. Panics after 15 s.
    pub fn wait_leader(&self) -> usize {
        let until = Instant::now() + Duration::from_secs(15);
        loop {
            if let Some(at) = self.leader() {
                return at;
            }
            assert!(Instant::now() < until, "no keeper leads");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
