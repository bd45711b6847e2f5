//! What a VM of the fleet is given at its start, in this project's words.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Bounds in force on a deployment, in milliseconds unless said otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// A key that was taken away must be refused after this long.
    pub revoke_ms: u64,
    /// An upstream that leaves must get nothing after this long.
    pub drain_ms: u64,
    /// A change is in force everywhere after this long.
    pub apply_ms: u64,
    /// From SIGTERM to SIGKILL.
    pub grace_ms: u64,
    /// Repeats allowed, as a share of requests.
    pub repeat_ratio: f64,
    /// Over which span repeats are counted.
    pub repeat_window_ms: u64,
    /// Repeats allowed beside the share, for all VMs together.
    pub repeat_slack: f64,
    /// The multiple of the mean load of a service that one engine may carry, beside three requests.
    pub load_limit: f64,
    /// Operators may repeat an order for this long.
    pub ack_ms: u64,
    /// The part of a service's requests that an unsound version may get while it is rolled out.
    pub expose_share: f64,
    /// Requests that it may get beside those, from all VMs together.
    pub expose_slack: f64,
    /// The longest that callers keep an answer about addresses, in seconds.
    pub addresses_ttl_s: f64,
}

/// The platform's list of upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListSource {
    /// Where to ask.
    pub address: SocketAddr,
    /// Calls a second that it takes from all VMs together.
    pub calls_per_s: f64,
    /// The list may show things so much later than they are, in milliseconds.
    pub lag_ms: u64,
}

/// What one VM is given at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct VmSettings {
    /// Its name, for logs.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: String,
    /// All availability zones, as far as given.
    pub zones: Vec<String>,
    /// Where callers send requests.
    pub front: Option<SocketAddr>,
    /// Where the platform asks whether the VM is ready.
    pub ready: Option<SocketAddr>,
    /// Where operators call.
    pub control: Option<SocketAddr>,
    /// Where callers ask for addresses.
    pub directory: Option<SocketAddr>,
    /// The port on which VMs speak to each other, TCP and UDP, the same on each.
    pub peer_port: u16,
    /// VMs to ask first; the list may be old.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The keeper's folder; a VM without one is no keeper.
    pub data_folder: Option<PathBuf>,
    /// Keepers whose loss at once must be survived.
    pub tolerated_losses: u32,
    /// The bounds.
    pub bounds: FleetBounds,
    /// The list of upstreams.
    pub list: ListSource,
}
