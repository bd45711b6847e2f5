//! The routes, services and workspaces of one version of the configuration.
//!
//! A table is immutable: each new version is a new table, and a VM replaces its table as a whole.
//! The platform adapter reads the document that a table is built from; see
//! `docs/design/platform.md`.

use std::collections::{HashMap, HashSet};

use super::finding::FindingList;

/// Whether a request may be sent again once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Repeatable,
    /// The request may run at most once.
    Once,
    /// The answer is a stream of events, and the request may run at most once.
    Stream,
    /// The answer is a stream of events that another upstream can resume after its last event.
    ResumableStream,
}

impl RequestKind {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream | RequestKind::ResumableStream)
    }

    /// Whether its stream may be continued by another run after it broke off.
    pub fn may_be_resumed(self) -> bool {
        self == RequestKind::ResumableStream
    }

    /// Whether it may be sent again after it may have run.
    pub fn may_repeat(self) -> bool {
        matches!(self, RequestKind::Repeatable | RequestKind::ResumableStream)
    }
}

/// A weighted service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// The index of the service in the table; `None` if no service has this name.
    pub service: Option<usize>,
    /// The service's name.
    pub name: String,
    /// Its weight relative to the other shares of the route.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The host, in lower case.
    pub host: String,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be sent again.
    pub kind: RequestKind,
    /// The longest time that a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// The response time, in milliseconds, up to which an answer counts in full.
    pub goal_ms: u64,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The services that its requests are distributed to.
    pub shares: Vec<ServiceShare>,
    /// The most upstreams to which one request may be sent.
    pub max_upstreams: u32,
    /// Whether callers without a key may use it.
    pub public: bool,
    /// Whether its requests name the parts of their prompt, for cache-aware routing.
    pub prompt_parts: bool,
}

/// The capabilities of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// Requests that one engine runs at the same time.
    pub slots: u32,
    /// Tokens that fit in an engine's KV cache.
    pub cache_tokens: u64,
    /// Whether an engine can import KV cache entries from another.
    pub kv_transfer: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Its name.
    pub name: String,
    /// Connections that one upstream accepts from all VMs together.
    pub max_connections: u32,
    /// Requests per second that one upstream bears from all VMs together while it is cold; 0 means
    /// unlimited.
    pub cold_per_s: f64,
    /// The engine capabilities; set if its upstreams are model engines.
    pub engine: Option<EngineTraits>,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceEntry {
    /// Its name, as sent to upstreams.
    pub name: String,
    /// Its priority, which is compared before that of the route; 0 is the highest.
    pub priority: u8,
    /// The API keys of its callers.
    pub keys: Vec<String>,
}

/// Limits on the size and timing of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest time in which a head must arrive, in milliseconds.
    pub head_ms: u64,
    /// The longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

/// The routing configuration of one version.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// The services.
    pub services: Vec<ServiceEntry>,
    /// The workspaces; `None` when callers need no key.
    pub workspaces: Option<Vec<WorkspaceEntry>>,
    /// The limits on callers.
    pub limits: CallerLimits,
    by_prefix: HashMap<String, usize>,
    keys: HashMap<String, usize>,
}

/// How a caller's request is routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// No route matches.
    NoRoute,
    /// The route requires a key, and the request has none or an unknown one.
    NoKey,
    /// The request is served.
    Served {
        /// The index of the route in the table.
        route: usize,
        /// The index of the caller's workspace in the table; `None` for a caller without a known
        /// key.
        workspace: Option<usize>,
    },
}

impl RouteTable {
    /// Builds a table and adds every fault in it to `list`.
    ///
    /// Paths of findings start at `$` and use the names of this crate, not those of the platform's
    /// document.
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
        let mut by_prefix = HashMap::new();
        for (at, route) in routes.iter_mut().enumerate() {
            check_route(at, route, list);
            for share in &mut route.shares {
                share.service = names.get(share.name.as_str()).copied();
                if share.service.is_none() {
                    let text = format!("service '{}' is not known", share.name);
                    list.add(&format!("$.routes[{at}]"), text);
                }
            }
            if by_prefix.insert(prefix_key(&route.host, &route.prefix), at).is_some() {
                let text = format!("host {} and prefix {} stand twice", route.host, route.prefix);
                list.add(&format!("$.routes[{at}]"), text);
            }
        }
        let keys = index_keys(workspaces.as_deref().unwrap_or_default(), list);
        RouteTable { version, routes, services, workspaces, limits, by_prefix, keys }
    }

    /// The index of the route at `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let mut place = String::with_capacity(host.len() + path.len() + 1);
        place.push_str(host);
        place.push(' ');
        let head = place.len();
        place.push_str(path);
        while let Some(at) = place[head..].rfind('/') {
            place.truncate(head + at + 1);
            if let Some(route) = self.by_prefix.get(&place) {
                return Some(*route);
            }
            place.truncate(head + at);
        }
        None
    }

    /// The longest time-out of the routes whose streams may be resumed, in milliseconds; 0 if there
    /// are none.
    pub fn longest_resumable_ms(&self) -> u64 {
        let rules = self.routes.iter().filter(|rule| rule.kind.may_be_resumed());
        rules.map(|rule| rule.timeout_ms).max().unwrap_or(0)
    }

    /// Routes a request by its host, path and API key.
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

    /// The workspace at an index that [`RouteTable::decide`] returned.
    pub fn workspace(&self, at: usize) -> Option<&WorkspaceEntry> {
        self.workspaces.as_ref().and_then(|workspaces| workspaces.get(at))
    }
}

/// Picks a service by weight; `draw` is a uniformly distributed random number.
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

fn prefix_key(host: &str, prefix: &str) -> String {
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
