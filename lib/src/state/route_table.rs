//! The routes, services and workspaces that callers are served by, at one version.
//!
//! A table is immutable: a new version is a new table, and a VM exchanges the whole.
//! Where it came from and in which words is the adapter's business; see
//! `docs/design/platform.md`.

use std::collections::{HashMap, HashSet};

use super::finding::FindingList;

/// What may be done with a request that may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run more than once.
    Repeatable,
    /// It may run at most once.
    Once,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream that may be taken up at another upstream after its last event.
    ResumableStream,
}

impl RequestKind {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream | RequestKind::ResumableStream)
    }

    /// Whether it may be sent again after it may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, RequestKind::Repeatable | RequestKind::ResumableStream)
    }
}

/// A part of a route's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// The service, by its place in the table; `None` while its name is unknown.
    pub service: Option<usize>,
    /// The service's name.
    pub name: String,
    /// Its weight against the other shares of the route.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The host, in lower case.
    pub host: String,
    /// The prefix of the path; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest that a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer counts in full, in milliseconds.
    pub goal_ms: u64,
    /// The rank; 0 is the highest.
    pub priority: u8,
    /// Where its requests go.
    pub shares: Vec<ServiceShare>,
    /// The most upstreams to which one request may be sent.
    pub most_upstreams: u32,
    /// Whether it is open to callers without a key.
    pub public: bool,
    /// Whether its requests name the parts of their prompt.
    pub prompt_parts: bool,
}

/// What is known of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit an engine's memory.
    pub memory_tokens: u64,
    /// Whether an engine can take memory from another.
    pub moves: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Its name.
    pub name: String,
    /// Connections that one upstream takes from all VMs together.
    pub most_connections: u32,
    /// Requests a second that one upstream bears from all VMs together while it is cold; 0 where
    /// that has no bound.
    pub cold_per_s: f64,
    /// Set when its upstreams are model engines.
    pub engine: Option<EngineTraits>,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceEntry {
    /// Its name, as sent to upstreams.
    pub name: String,
    /// Its rank, before the route's; 0 is the highest.
    pub priority: u8,
    /// The keys of its callers.
    pub keys: Vec<String>,
}

/// What a caller may send and how long it may rest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest that a head may take, in milliseconds.
    pub head_ms: u64,
    /// The longest that a connection may rest, in milliseconds.
    pub idle_ms: u64,
}

/// Everything of one version.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// The version; the highest holds.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// The services.
    pub services: Vec<ServiceEntry>,
    /// The workspaces; `None` when callers need no key.
    pub workspaces: Option<Vec<WorkspaceEntry>>,
    /// The bounds on callers.
    pub limits: CallerLimits,
    places: HashMap<String, usize>,
    keys: HashMap<String, usize>,
}

/// What a caller's request is by the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// There is no such route.
    NoRoute,
    /// The route needs a key that this is not.
    NoKey,
    /// It is served: the route and, if a key counts, the workspace.
    Served {
        /// The route's place in the table.
        route: usize,
        /// The workspace's place in the table.
        workspace: Option<usize>,
    },
}

impl RouteTable {
    /// Joins the parts to a table and returns everything that is wrong with it.
    ///
    /// Paths of findings start at `$` and use this project's words.
    pub fn build(
        version: u64,
        mut routes: Vec<RouteRule>,
        services: Vec<ServiceEntry>,
        workspaces: Option<Vec<WorkspaceEntry>>,
        limits: CallerLimits,
        list: &mut FindingList,
    ) -> RouteTable {
        let names: HashMap<&str, usize> =
            services.iter().enumerate().map(|(at, service)| (service.name.as_str(), at)).collect();
        let mut places = HashMap::new();
        for (at, route) in routes.iter_mut().enumerate() {
            check_route(at, route, list);
            for share in &mut route.shares {
                share.service = names.get(share.name.as_str()).copied();
                if share.service.is_none() {
                    let text = format!("service '{}' is not known", share.name);
                    list.add(&format!("$.routes[{at}]"), text);
                }
            }
            if places.insert(place_key(&route.host, &route.prefix), at).is_some() {
                let text = format!("host {} and prefix {} stand twice", route.host, route.prefix);
                list.add(&format!("$.routes[{at}]"), text);
            }
        }
        let keys = index_keys(workspaces.as_deref().unwrap_or_default(), list);
        RouteTable { version, routes, services, workspaces, limits, places, keys }
    }

    /// The route with the longest prefix of `path` at `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let mut place = String::with_capacity(host.len() + path.len() + 1);
        place.push_str(host);
        place.push(' ');
        let head = place.len();
        place.push_str(path);
        while let Some(at) = place[head..].rfind('/') {
            place.truncate(head + at + 1);
            if let Some(route) = self.places.get(&place) {
                return Some(*route);
            }
            place.truncate(head + at);
        }
        None
    }

    /// What a request at this host and path with this key is.
    pub fn decide(&self, host: &str, path: &str, key: Option<&str>) -> RouteDecision {
        let Some(route) = self.route(host, path) else { return RouteDecision::NoRoute };
        let workspace = key.and_then(|key| self.keys.get(key).copied());
        let open = self.routes[route].public || self.workspaces.is_none();
        if !open && workspace.is_none() {
            return RouteDecision::NoKey;
        }
        let workspace = workspace.filter(|_| self.workspaces.is_some());
        RouteDecision::Served { route, workspace }
    }

    /// The workspace at a place that [`RouteTable::decide`] gave.
    pub fn workspace(&self, at: usize) -> Option<&WorkspaceEntry> {
        self.workspaces.as_ref().and_then(|workspaces| workspaces.get(at))
    }
}

/// The share that a request with this draw (any number) goes to.
pub fn pick_share(shares: &[ServiceShare], draw: u64) -> Option<usize> {
    let total: f64 = shares.iter().map(|share| share.weight).sum();
    let mut left = (draw >> 11) as f64 / (1u64 << 53) as f64 * total;
    for share in shares.iter().filter(|share| share.weight > 0.0) {
        if left < share.weight {
            return share.service;
        }
        left -= share.weight;
    }
    shares.iter().rev().find(|share| share.weight > 0.0).and_then(|share| share.service)
}

fn place_key(host: &str, prefix: &str) -> String {
    format!("{host} {prefix}")
}

fn check_route(at: usize, route: &RouteRule, list: &mut FindingList) {
    let path = format!("$.routes[{at}]");
    if route.timeout_ms == 0 {
        list.add(&path, "the time-out is 0");
    }
    let weights = route.shares.iter().map(|share| share.weight);
    if weights.clone().any(|weight| !weight.is_finite() || weight < 0.0) {
        list.add(&path, "a weight is below 0");
    } else if weights.sum::<f64>() <= 0.0 {
        list.add(&path, "the weights sum to 0");
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        list.add(&path, "a prefix begins and ends with a slash");
    }
}

fn index_keys(workspaces: &[WorkspaceEntry], list: &mut FindingList) -> HashMap<String, usize> {
    let mut keys = HashMap::new();
    for (at, workspace) in workspaces.iter().enumerate() {
        let own: HashSet<&String> = workspace.keys.iter().collect();
        for key in own {
            if keys.insert(key.clone(), at).is_some() {
                let text = "shares a key with another workspace";
                list.add(&format!("$.workspaces[{at}]"), text);
            }
        }
    }
    keys
}
