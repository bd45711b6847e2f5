//! A whole small system in one process on loopback ports: keepers, routers, engines and
//! plain upstreams. Each part can be killed and started again.

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
use crate::engine::{EngineMake, EngineStandIn};
use crate::plain::PlainStandIn;

/// The secret of the stand-in system.
pub const FLEET_KEY: &str = "stand-in fleet key";
/// Its operator's name.
pub const OPERATOR: &str = "ana";
/// Its operator's key.
pub const OPERATOR_KEY: &str = "ana-key";
const ZONES: [&str; 3] = ["a", "b", "c"];

/// A policy that serves the stand-in's services.
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

/// What a system is made of.
#[derive(Clone, Debug)]
pub struct SystemMake {
    /// Keepers.
    pub keepers: usize,
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// Plain upstreams.
    pub plains: usize,
    /// Workspaces, named `w0` and on, with keys `k0` and on.
    pub workspaces: usize,
    /// How each engine is made.
    pub engine: EngineMake,
    /// Requests that one engine is given at once.
    pub requests_per_engine: u32,
    /// Tokens of KV that engines import in a millisecond; 0 when they do not.
    pub import_per_ms: f64,
    /// The multiple of the engine fleet.
    pub multiple: f64,
    /// The VM list's address, if there is one.
    pub vm_list: Option<SocketAddr>,
    /// The weight store's address, if there is one.
    pub weight_store: Option<SocketAddr>,
    /// Where keepers keep their folders.
    pub folder: PathBuf,
}

impl SystemMake {
    /// One keeper, three routers, six engines, two plain upstreams.
    pub fn small(folder: PathBuf) -> SystemMake {
        SystemMake {
            keepers: 1,
            routers: 3,
            engines: 6,
            plains: 2,
            workspaces: 3,
            engine: EngineMake::default(),
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
    /// What it is made of.
    pub make: SystemMake,
    /// Keepers; `None` while one is down.
    pub keepers: Vec<Option<KeeperNode>>,
    /// Routers; `None` while one is down.
    pub routers: Vec<Option<RouterNode>>,
    /// Engines; `None` while one is down.
    pub engines: Vec<Option<EngineStandIn>>,
    /// Plain upstreams.
    pub plains: Vec<Option<PlainStandIn>>,
    /// A client for calls.
    pub client: HttpClient,
    keeper_addresses: Vec<SocketAddr>,
    router_addresses: Vec<SocketAddr>,
    lost_starts: Vec<HashMap<String, u64>>,
}

impl SystemStandIn {
    /// Starts everything, submits the first configuration, and waits until all routers serve.
    pub fn start(make: SystemMake) -> SystemStandIn {
        let keeper_addresses: Vec<SocketAddr> = (0..make.keepers).map(|_| free_address()).collect();
        let router_addresses: Vec<SocketAddr> = (0..make.routers).map(|_| free_address()).collect();
        let engines = (0..make.engines).map(|_| Some(EngineStandIn::start(make.engine))).collect();
        let plains = (0..make.plains).map(|_| Some(PlainStandIn::start())).collect();
        let mut system = SystemStandIn {
            keepers: (0..make.keepers).map(|_| None).collect(),
            routers: (0..make.routers).map(|_| None).collect(),
            engines,
            plains,
            client: HttpClient::default(),
            keeper_addresses,
            router_addresses,
            lost_starts: Vec::new(),
            make,
        };
        (0..system.make.keepers).for_each(|at| system.start_keeper(at));
        let document = system.document();
        system.apply(&document, "first");
        (0..system.make.routers).for_each(|at| system.start_router(at));
        system.wait_ready();
        system
    }

    /// The settings of a keeper.
    pub fn keeper_settings(&self, at: usize) -> KeeperSettings {
        KeeperSettings {
            id: KeeperId(at as u32 + 1),
            zone: ZONES[at % 3].to_string(),
            address: self.keeper_addresses[at],
            keepers: self.keeper_list(),
            join: false,
            data_folder: self.make.folder.join(format!("keeper-{}", at + 1)),
            fleet_key: FLEET_KEY.to_string(),
            weight_store: self.make.weight_store,
            weight_loads: 2,
        }
    }

    /// All keepers.
    pub fn keeper_list(&self) -> Vec<KeeperAddress> {
        let numbered = self.keeper_addresses.iter().enumerate();
        let entry = |(at, address): (usize, &SocketAddr)| KeeperAddress {
            id: KeeperId(at as u32 + 1),
            address: *address,
        };
        numbered.map(entry).collect()
    }

    /// The settings of a router.
    pub fn router_settings(&self, at: usize) -> RouterSettings {
        RouterSettings {
            id: RouterId(at as u32 + 1),
            zone: ZONES[at % 3].to_string(),
            address: self.router_addresses[at],
            keepers: self.keeper_list(),
            vm_list: self.make.vm_list,
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

    /// Starts a keeper that is down.
    pub fn start_keeper(&mut self, at: usize) {
        let node = KeeperNode::start(self.keeper_settings(at)).expect("the keeper starts");
        self.keepers[at] = Some(node);
    }

    /// Starts a router that is down.
    pub fn start_router(&mut self, at: usize) {
        let node = RouterNode::start(self.router_settings(at)).expect("the router starts");
        self.routers[at] = Some(node);
    }

    /// Kills an engine and remembers what it ran.
    pub fn kill_engine(&mut self, at: usize) {
        if let Some(engine) = self.engines[at].take() {
            self.lost_starts.push(engine.starts());
            engine.kill();
        }
    }

    /// Starts an engine that is down as a new life at an address of its own.
    pub fn revive_engine(&mut self, at: usize, address: SocketAddr, incarnation: u64) {
        let make = EngineMake { incarnation, ..self.make.engine };
        self.engines[at] = Some(EngineStandIn::start_at(address, make));
    }

    /// Waits until every running router serves.
    pub fn wait_ready(&self) {
        for router in self.routers.iter().flatten() {
            assert!(router.wait_ready(Duration::from_secs(15)), "a router does not become ready");
        }
        std::thread::sleep(Duration::from_millis(700));
    }

    /// The addresses of the running routers.
    pub fn router_addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().flatten().map(|router| router.address).collect()
    }

    /// How often each run was started, over all engines, also those killed since.
    pub fn starts(&self) -> HashMap<String, u64> {
        let running = self.engines.iter().flatten().map(|engine| engine.starts());
        let mut sums: HashMap<String, u64> = HashMap::new();
        for (run, count) in running.chain(self.lost_starts.iter().cloned()).flatten() {
            *sums.entry(run).or_default() += count;
        }
        sums
    }

    /// The configuration document of this system.
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
        for at in 0..self.make.workspaces {
            let entry = json!({ "key_hash": hash_key(&format!("k{at}")), "policy": "main", "rate": 100_000, "in_flight": 100_000 });
            workspaces.insert(format!("w{at}"), entry);
        }
        json!({
            "fleets": {
                "engines": { "kind": "engine", "multiple": self.make.multiple, "queue": 10_000, "requests_per_engine": self.make.requests_per_engine,
                    "rates": { "import_per_ms": self.make.import_per_ms } },
                "plain": { "kind": "plain", "set_aside_share": 0.5 },
            },
            "upstreams": upstreams, "workspaces": workspaces,
            "policies": { "main": { "source": POLICY } },
            "operators": { OPERATOR: { "key_hash": hash_key(OPERATOR_KEY) } },
        })
    }

    /// Makes the whole document the configuration, whatever is in force; panics if refused.
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

    /// The version and configuration in force, from a keeper that vouches for it.
    pub fn current(&self) -> Option<(u64, Configuration)> {
        let reply = self.operate("GET", "/operator/config", None)?;
        let value: Value = serde_json::from_slice(&reply.body).ok()?;
        let version = value["version"].as_u64()?;
        let read = read_configuration(&value["configuration"].to_string()).ok()?;
        Some((version, Configuration { version, ..read }))
    }

    /// An operator's call at whichever keeper vouches; `None` when none does.
    pub fn operate(&self, method: &str, path: &str, body: Option<&Value>) -> Option<HttpReply> {
        self.keeper_addresses.iter().find_map(|address| {
            let reply = self.operate_at(*address, method, path, body)?;
            (reply.status != 421 && reply.status != 503).then_some(reply)
        })
    }

    /// An operator's call at one keeper.
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
        // Before there is an operator, the fleet key does.
        [OPERATOR_KEY, FLEET_KEY].iter().find_map(|key| {
            let call = call
                .clone()
                .with("authorization", format!("Bearer {key}"))
                .with(OPERATOR_HEADER, OPERATOR);
            let reply = self.client.call(address, &call, times, 64 << 20, "operator").ok()?;
            (reply.status != 401).then_some(reply)
        })
    }

    /// The keeper that leads and vouches, by its place in the list.
    pub fn leader(&self) -> Option<usize> {
        (0..self.keepers.len()).find(|at| {
            let node = self.keepers[*at].as_ref();
            node.and_then(|node| node.read(|_, vouched| vouched)).unwrap_or(false)
        })
    }

    /// Waits for a leader.
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
