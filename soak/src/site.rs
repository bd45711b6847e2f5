//! The site of a run: the processes of the VMs, the upstreams, the list of upstreams, and the links between
//! them.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use wingshed_standin::partition::PartitionForm;

use crate::http::call_once;
use crate::ledger::{LeavingRow, OrderContent, RunLedger, Touched};
use crate::link::{LinkMode, LinkProxy, SharedPartition};
use crate::list::{serve_list, ListRow, ListRows};
use crate::operator::SoakOperator;
use crate::peer_link::PeerLink;
use crate::process::{VmProcess, VmSpec};
use crate::run::RunPlan;
use crate::schedule::{RunSize, VersionFault};
use crate::upstream::{UpstreamIncarnation, UpstreamSpec};

/// Pause between two checks of a VM.
const CHECK_PAUSE: Duration = Duration::from_millis(50);
/// Milliseconds within which a VM must end after SIGTERM: the 8 s of `graceS`, and time for a loaded machine.
const STOP_WAIT_MS: u64 = 12_000;

/// A VM of the site.
pub struct SiteVm {
    /// The addresses, the folder and the settings of the VM.
    pub spec: VmSpec,
    /// The link of callers to the VM.
    pub front: LinkProxy,
    /// The links of the other VMs to this one, by the index of the other VM.
    pub peers: Vec<Option<PeerLink>>,
    process: RefCell<Option<VmProcess>>,
    /// Whether the process was sent SIGTERM or SIGKILL.
    stop_requested: Cell<bool>,
    /// Until when the process is suspended.
    frozen_until_ms: Cell<u64>,
}

/// An upstream of the site.
pub struct SiteUpstream {
    /// The service, zone and addresses of the upstream.
    pub spec: UpstreamSpec,
    /// The running incarnation, if there is one.
    pub incarnation: RefCell<Option<UpstreamIncarnation>>,
    /// The number in the id of the newest incarnation.
    incarnations: Cell<u32>,
    /// The version and the fault of the next incarnation.
    software: RefCell<(String, VersionFault)>,
}

/// Which half of a service's upstreams is in use, and whether a roll-out to the other half is under way.
#[derive(Clone, Copy, Default)]
struct ServiceHalf {
    /// Whether the second half is in use.
    second: bool,
    /// Whether a roll-out is under way.
    in_rollout: bool,
}

/// Everything that a run starts.
pub struct SoakSite {
    /// The ledger of the run.
    pub ledger: Rc<RunLedger>,
    /// The VMs by their index.
    pub vms: Vec<SiteVm>,
    /// The upstreams by their index. The first half serves at the start, and each roll-out of a service moves it to
    /// its upstreams in the other half.
    pub upstreams: Vec<SiteUpstream>,
    /// The content of the list of upstreams.
    pub list: Rc<RefCell<ListRows>>,
    /// The link of VMs to the list of upstreams.
    pub list_link: LinkProxy,
    /// The operator that sends orders.
    pub operator: SoakOperator,
    program: PathBuf,
    partition: Rc<SharedPartition>,
    halves: [Cell<ServiceHalf>; 2],
    versions: Cell<u32>,
}

/// The last part of the address of the first VM.
const FIRST_VM_HOST: usize = 10;

/// Returns the index of the VM with this address.
pub fn vm_of(address: IpAddr) -> usize {
    match address {
        IpAddr::V4(address) => usize::from(address.octets()[3]).saturating_sub(FIRST_VM_HOST),
        IpAddr::V6(_) => usize::MAX,
    }
}

fn address(network: &str, host: usize, port: u16) -> SocketAddr {
    format!("{network}.{host}:{port}").parse().expect("a valid address")
}

/// Returns the specs of the VMs of a network.
fn vm_specs(network: &str, size: RunSize, folder: &Path) -> Vec<VmSpec> {
    let list = address(network, 1, 9000);
    let spec = |index: usize| VmSpec {
        index,
        ip: format!("{network}.{}", index + FIRST_VM_HOST),
        disk: index < 3,
        folder: folder.join(format!("vm-{index}")),
        seeds: Vec::new(),
        list,
    };
    let mut specs: Vec<VmSpec> = (0..size.vms).map(spec).collect();
    let seeds: Vec<SocketAddr> = specs.iter().take(3).map(VmSpec::control).collect();
    for spec in &mut specs {
        spec.seeds.clone_from(&seeds);
    }
    specs
}

/// Starts the links of all other VMs to the VM `to`.
async fn peer_links(specs: &[VmSpec], to: &VmSpec) -> std::io::Result<Vec<Option<PeerLink>>> {
    let mut links = Vec::new();
    for from in specs {
        links.push(match from.index == to.index {
            true => None,
            false => Some(PeerLink::start(from.peer(from), to.peer(from), to.peer(to)).await?),
        });
    }
    Ok(links)
}

impl SoakSite {
    /// Starts the list, the links, the upstreams and the VMs on the plan's network.
    pub async fn start(plan: &RunPlan) -> std::io::Result<Rc<SoakSite>> {
        let RunPlan { network, size, folder, program, .. } = plan;
        let size = *size;
        let ledger = Rc::new(RunLedger::new(plan.seed));
        let list = Rc::new(RefCell::new(ListRows::default()));
        list.borrow_mut().rows.resize(2 * size.upstreams, None);
        let list_link =
            serve_list(address(network, 1, 9000), address(network, 1, 9001), list.clone()).await?;
        let specs = vm_specs(network, size, folder);
        let mut vms = Vec::new();
        for spec in &specs {
            vms.push(SiteVm {
                front: LinkProxy::start(spec.front_link(), spec.front()).await?,
                peers: peer_links(&specs, spec).await?,
                spec: spec.clone(),
                process: RefCell::new(None),
                stop_requested: Cell::new(false),
                frozen_until_ms: Cell::new(0),
            });
        }
        // The second half is for new versions, and has no incarnations at first.
        let half_count = size.upstreams;
        let upstream = |index: usize| SiteUpstream {
            spec: UpstreamSpec {
                index,
                service: format!("s{}", 1 + index % half_count / 3 % 2),
                zone: format!("z-{}", index % half_count % 3),
                listed: address(network, index + 100, 9100),
                inner: address(network, index + 100, 9101),
            },
            incarnation: RefCell::new(None),
            incarnations: Cell::new(0),
            software: RefCell::new(("v1".to_string(), VersionFault::None)),
        };
        let upstreams = (0..2 * size.upstreams).map(upstream).collect();
        let operator = SoakOperator::new(ledger.clone(), specs);
        let program = program.to_path_buf();
        let (halves, versions) = (Default::default(), Cell::new(1));
        let site = SoakSite {
            ledger,
            vms,
            upstreams,
            list,
            list_link,
            operator,
            program,
            partition: Rc::default(),
            halves,
            versions,
        };
        for index in 0..size.upstreams {
            site.start_upstream(index, false).await?;
        }
        for vm in &site.vms {
            site.start_process(vm, true)?;
        }
        Ok(Rc::new(site))
    }

    fn start_process(&self, vm: &SiteVm, first: bool) -> std::io::Result<()> {
        *vm.process.borrow_mut() = Some(VmProcess::start(&self.program, &vm.spec, first)?);
        vm.stop_requested.set(false);
        Ok(())
    }

    /// Records a fault if the process of a VM has ended without having been sent SIGTERM or SIGKILL.
    fn note_unexpected_end(&self, vm: &SiteVm) {
        if let Some(process) = vm.process.borrow_mut().as_mut() {
            if process.has_ended() && !vm.stop_requested.get() {
                let fault =
                    format!("VM {} ended by itself: {}", vm.spec.index, process.exit_status_text());
                self.ledger.rows.borrow_mut().run_faults.push(fault);
            }
        }
    }

    /// Starts a VM again unless its process runs.
    pub fn ensure_started(&self, index: usize) {
        let vm = &self.vms[index];
        self.note_unexpected_end(vm);
        let runs = vm.process.borrow_mut().as_mut().is_some_and(|process| !process.has_ended());
        if !runs {
            if let Err(error) = self.start_process(vm, false) {
                self.ledger.rows.borrow_mut().run_faults.push(format!("VM {index}: {error}"));
            }
        }
    }

    /// Sends a signal to a VM. Returns true if its process was running.
    pub fn signal(&self, index: usize, signal: i32) -> bool {
        let vm = &self.vms[index];
        self.note_unexpected_end(vm);
        if matches!(signal, libc::SIGTERM | libc::SIGKILL) {
            vm.stop_requested.set(true);
        }
        let mut process = vm.process.borrow_mut();
        let Some(process) = process.as_mut() else { return false };
        if process.has_ended() {
            return false;
        }
        match signal {
            libc::SIGKILL => process.kill(),
            _ => process.signal(signal),
        }
        true
    }

    /// Limits the size of a VM's files; none lifts the limit.
    pub fn limit_files(&self, index: usize, max_bytes: Option<u64>) {
        if let Some(process) = self.vms[index].process.borrow_mut().as_mut() {
            process.limit_files(max_bytes);
        }
    }

    /// Records until when a VM is suspended.
    pub fn freeze_until(&self, index: usize, until_ms: u64) {
        let frozen = &self.vms[index].frozen_until_ms;
        frozen.set(frozen.get().max(until_ms));
    }

    /// Waits for the end of a VM that was sent SIGTERM. If it takes longer than [`STOP_WAIT_MS`], not
    /// counting the time for which the VM is suspended, records a fault and kills it.
    pub async fn wait_end(&self, index: usize) {
        let vm = &self.vms[index];
        let signalled_ms = self.ledger.now_ms();
        loop {
            let ended = vm.process.borrow_mut().as_mut().is_none_or(VmProcess::has_ended);
            // Another disturbance may have killed the VM and started it again.
            if ended || !vm.stop_requested.get() {
                return;
            }
            let now = self.ledger.now_ms();
            if now > signalled_ms.max(vm.frozen_until_ms.get()) + STOP_WAIT_MS {
                let fault =
                    format!("VM {index} had not ended {} ms after SIGTERM", now - signalled_ms);
                self.ledger.rows.borrow_mut().run_faults.push(fault);
                self.signal(index, libc::SIGKILL);
                return;
            }
            tokio::time::sleep(CHECK_PAUSE).await;
        }
    }

    /// Whether a VM reports that it is ready.
    pub async fn is_ready(&self, index: usize) -> bool {
        let ready = self.vms[index].spec.ready();
        let answer = call_once(ready, "GET", "/ready", "", Duration::from_millis(500)).await;
        matches!(answer, Some((200, _)))
    }

    /// Waits until a VM is ready, then ends its disturbance `span`.
    pub async fn end_span_when_ready(&self, index: usize, span: usize) {
        while !self.is_ready(index).await {
            tokio::time::sleep(CHECK_PAUSE).await;
        }
        self.ledger.end_span(span);
    }

    /// Starts the next incarnation of an upstream, under the id of the last one if `same_id`, and lists it as
    /// ready.
    pub async fn start_upstream(&self, index: usize, same_id: bool) -> std::io::Result<()> {
        let upstream = &self.upstreams[index];
        if !same_id || upstream.incarnations.get() == 0 {
            upstream.incarnations.set(upstream.incarnations.get() + 1);
        }
        let id = format!("i-{index}-{}", upstream.incarnations.get());
        let spec = upstream.spec.clone();
        let (version, fault) = upstream.software.borrow().clone();
        let software = (version.as_str(), fault);
        let incarnation = UpstreamIncarnation::start(
            spec.clone(),
            &id,
            software,
            self.ledger.clone(),
            self.partition.clone(),
        )
        .await?;
        *upstream.incarnation.borrow_mut() = Some(incarnation);
        let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let started_ms = started.map_or(0, |since| since.as_millis() as u64);
        self.list.borrow_mut().rows[index] =
            Some(ListRow { spec, id, started_ms, version, leaving: false });
        Ok(())
    }

    /// Sets the modes of the links between a VM and all others: `incoming` for those to it, `outgoing` for
    /// those from it.
    pub fn set_peers(&self, index: usize, incoming: LinkMode, outgoing: LinkMode) {
        for link in self.vms[index].peers.iter().flatten() {
            link.proxy.set(incoming);
        }
        for other in self.vms.iter().filter(|other| other.spec.index != index) {
            if let Some(link) = &other.peers[index] {
                link.proxy.set(outgoing);
            }
        }
    }

    /// Whether a VM is partitioned from all upstreams.
    pub fn is_cut_off(&self, index: usize) -> bool {
        let rows = self.ledger.rows.borrow();
        let mut spans = rows.spans.iter().filter(|span| span.until_ms.is_none());
        spans.any(|span| span.touched == Touched::Partition(index))
    }

    /// Begins the partition of a VM from all upstreams, or ends it if there is no form.
    pub fn set_partition(&self, index: usize, form: Option<PartitionForm>) {
        if let IpAddr::V4(source) = self.vms[index].spec.front().ip() {
            self.partition.set(source, form);
        }
    }

    /// Begins a roll-out of a service. Returns the indices of its upstreams in use and of those for the next
    /// version; none while another roll-out of the service is under way.
    pub fn begin_rollout(&self, service: usize) -> Option<(Vec<usize>, Vec<usize>)> {
        let half = self.halves[service].get();
        if half.in_rollout {
            return None;
        }
        self.halves[service].set(ServiceHalf { in_rollout: true, ..half });
        let name = format!("s{}", service + 1);
        let half_count = self.upstreams.len() / 2;
        let indices = |second: bool| {
            let specs = self.upstreams.iter().map(|upstream| &upstream.spec);
            let specs =
                specs.filter(|spec| spec.service == name && (spec.index >= half_count) == second);
            specs.map(|spec| spec.index).collect()
        };
        Some((indices(half.second), indices(!half.second)))
    }

    /// Whether an upstream belongs to a half that is in use or that a roll-out moves to.
    pub fn in_use(&self, index: usize) -> bool {
        let spec = &self.upstreams[index].spec;
        let half = self.halves[usize::from(spec.service != "s1")].get();
        half.in_rollout || (index >= self.upstreams.len() / 2) == half.second
    }

    /// Ends the roll-out of a service. Its other half is in use from now on if the roll-out `completed`.
    pub fn end_rollout(&self, service: usize, completed: bool) {
        let second = self.halves[service].get().second != completed;
        self.halves[service].set(ServiceHalf { second, in_rollout: false });
    }

    /// Returns a version that was not used before.
    pub fn next_version(&self) -> String {
        self.versions.set(self.versions.get() + 1);
        format!("v{}", self.versions.get())
    }

    /// Starts an incarnation of another version.
    pub async fn start_version(
        &self,
        index: usize,
        version: &str,
        fault: VersionFault,
    ) -> std::io::Result<()> {
        *self.upstreams[index].software.borrow_mut() = (version.to_string(), fault);
        self.start_upstream(index, false).await
    }

    /// Ends an upstream and removes its entry from the list.
    pub fn end_upstream(&self, index: usize) {
        self.list.borrow_mut().rows[index] = None;
        drop(self.upstreams[index].incarnation.take());
    }

    /// Lists an upstream as leaving, and makes it announce that in its answers.
    pub fn mark_leaving(&self, index: usize) {
        if let Some(row) = self.list.borrow_mut().rows[index].as_mut() {
            row.leaving = true;
        }
        if let Some(incarnation) = self.upstreams[index].incarnation.borrow().as_ref() {
            incarnation.leave();
        }
    }

    /// Lists an upstream as leaving and records that. Returns the index of its ledger row.
    pub fn record_leaving(&self, index: usize) -> usize {
        self.mark_leaving(index);
        self.note_leaving(index)
    }

    fn note_leaving(&self, index: usize) -> usize {
        let from_ms = self.ledger.now_ms();
        let incarnation = self.upstreams[index]
            .incarnation
            .borrow()
            .as_ref()
            .map_or(0, UpstreamIncarnation::number);
        let leaving = &mut self.ledger.rows.borrow_mut().leaving;
        leaving.push(LeavingRow { upstream: index, incarnation, from_ms, until_ms: None });
        leaving.len() - 1
    }

    /// Records a fault for each VM whose process has ended without having been sent SIGTERM or SIGKILL.
    pub fn note_unexpected_ends(&self) {
        for vm in &self.vms {
            self.note_unexpected_end(vm);
        }
    }

    /// The newest version of a configuration that was acknowledged; 0 if none was.
    pub fn newest_acked(&self) -> u64 {
        let rows = self.ledger.rows.borrow();
        let acked = rows.orders.iter().filter(|order| order.acked_ms.is_some());
        let versions = acked.filter_map(|order| match &order.content {
            OrderContent::Document(row) => Some(row.version),
            _ => None,
        });
        versions.max().unwrap_or(0)
    }

    /// Whether the evacuation of a zone was ordered, even without an acknowledgement, and its end was not
    /// acknowledged.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let rows = self.ledger.rows.borrow();
        let evacuated = rows.orders.iter().rev().find_map(|order| match &order.content {
            OrderContent::EmptyZone(other) if other == zone => Some(true),
            OrderContent::ReturnZone(other) if other == zone => Some(order.acked_ms.is_none()),
            _ => None,
        });
        evacuated.unwrap_or(false)
    }

    /// Records the start of a disturbance, see [`RunLedger::begin_span`].
    pub fn begin_span(&self, touched: Touched) -> usize {
        self.ledger.begin_span(touched)
    }
}
