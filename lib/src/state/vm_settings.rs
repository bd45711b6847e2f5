//! The settings of a VM at its start, independent of the platform's format.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// The bounds that a deployment requires; times are in milliseconds unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// The time after which a revoked key must be refused.
    pub revoke_ms: u64,
    /// The time after which a leaving upstream must get no more requests.
    pub drain_ms: u64,
    /// The time after which a change must be applied on all VMs.
    pub apply_ms: u64,
    /// The time from SIGTERM to SIGKILL.
    pub grace_ms: u64,
    /// The repeats allowed, as a share of the requests.
    pub repeat_ratio: f64,
    /// The window over which repeats are counted.
    pub repeat_window_ms: u64,
    /// The repeats allowed in addition to that share, for all VMs together.
    pub repeat_slack: f64,
    /// The load that one engine may carry, as a multiple of the mean load of its service plus three
    /// requests.
    pub load_limit: f64,
    /// How long operators may repeat an order that was not acknowledged.
    pub ack_ms: u64,
    /// The share of a service's requests that an unsound version may get while it is rolled out.
    pub exposure_share: f64,
    /// The requests that it may get in addition to that share, from all VMs together.
    pub exposure_slack: f64,
    /// The longest time that callers cache an answer about addresses, in seconds.
    pub addresses_ttl_s: f64,
}

/// The platform's list of upstreams, and how it may be read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListSource {
    /// The address from which the list is read.
    pub address: SocketAddr,
    /// Calls per second that it accepts from all VMs together.
    pub calls_per_s: f64,
    /// How much later than a change the list may show it, in milliseconds.
    pub lag_ms: u64,
}

/// The settings that a VM gets at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct VmSettings {
    /// The name of the VM, for logs.
    pub name: String,
    /// The IP address of the VM.
    pub ip: Ipv4Addr,
    /// The availability zone of the VM.
    pub zone: String,
    /// All availability zones, if given.
    pub zones: Vec<String>,
    /// The address on which callers send requests.
    pub front: Option<SocketAddr>,
    /// The address on which the platform checks whether the VM is ready.
    pub ready: Option<SocketAddr>,
    /// The address on which operators call.
    pub control: Option<SocketAddr>,
    /// The address on which callers request router addresses.
    pub directory: Option<SocketAddr>,
    /// The port on which VMs exchange messages, by TCP and UDP; the same on each.
    pub peer_port: u16,
    /// VMs to contact first; the list may be outdated.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The folder of the VM's keeper; `None` if the VM isn't a keeper.
    pub data_folder: Option<PathBuf>,
    /// The number of keepers whose simultaneous loss must be survived.
    pub tolerated_losses: u32,
    /// The bounds that the deployment requires.
    pub bounds: FleetBounds,
    /// The source of the list of upstreams.
    pub list: ListSource,
}
