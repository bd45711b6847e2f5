//! The site of a run: VMs as processes, upstreams, the list, and the links between them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use crate::http::call_once;
use crate::ledger::{LeavingRow, OrderWhat, RunLedger, Touched};
use crate::link::{LinkMode, LinkProxy};
use crate::list::{serve_list, ListRow, ListRows};
use crate::operator::SoakOperator;
use crate::peer_link::PeerLink;
use crate::process::{VmPlace, VmProcess};
use crate::run::RunPlan;
use crate::schedule::{RunSize, VersionFault};
use crate::upstream::{UpstreamLife, UpstreamPlace};

/// The pause between two looks at a VM.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// A VM that got SIGTERM ends within this: `graceS`, and time for a loaded machine.
const STOP_WAIT_MS: u64 = 12_000;

/// A VM of the site.
pub struct SiteVm {
    /// Where it is.
    pub place: VmPlace,
    /// The link of callers to it.
    pub front: LinkProxy,
    /// The links of the other VMs to it, by their index.
    pub peers: Vec<Option<PeerLink>>,
    process: RefCell<Option<VmProcess>>,
    /// Whether its end was asked for.
    ending: Cell<bool>,
    /// Until when it stands still.
    frozen_until_ms: Cell<u64>,
}

/// An upstream of the site.
pub struct SiteUpstream {
    /// What it is.
    pub place: UpstreamPlace,
    /// Its life, while it has one.
    pub life: RefCell<Option<UpstreamLife>>,
    lives: Cell<u32>,
    software: RefCell<(String, VersionFault)>,
}

/// Which half of a service's places is in use, and whether a roll-out is under way.
#[derive(Clone, Copy, Default)]
struct ServiceSide {
    second: bool,
    moving: bool,
}

/// All that a run starts.
pub struct SoakSite {
    /// Where everything is written.
    pub ledger: Rc<RunLedger>,
    /// The VMs.
    pub vms: Vec<SiteVm>,
    /// The upstreams.
    pub upstreams: Vec<SiteUpstream>,
    /// The rows of the list.
    pub list: Rc<RefCell<ListRows>>,
    /// The link to the list.
    pub list_link: LinkProxy,
    /// Whoever sends orders.
    pub operator: SoakOperator,
    program: PathBuf,
    sides: [Cell<ServiceSide>; 2],
    versions: Cell<u32>,
}

fn address(network: &str, host: usize, port: u16) -> SocketAddr {
    format!("{network}.{host}:{port}").parse().expect("an address")
}

/// Places of the VMs of a network.
fn vm_places(network: &str, size: RunSize, folder: &Path) -> Vec<VmPlace> {
    let list = address(network, 1, 9000);
    let place = |index: usize| VmPlace {
        index,
        ip: format!("{network}.{}", index + 10),
        disk: index < 3,
        folder: folder.join(format!("vm-{index}")),
        seeds: Vec::new(),
        list,
    };
    let mut places: Vec<VmPlace> = (0..size.vms).map(place).collect();
    let seeds: Vec<SocketAddr> = places.iter().take(3).map(VmPlace::control).collect();
    for place in &mut places {
        place.seeds.clone_from(&seeds);
    }
    places
}

async fn peer_links(places: &[VmPlace], to: &VmPlace) -> std::io::Result<Vec<Option<PeerLink>>> {
    let mut links = Vec::new();
    for from in places {
        links.push(match from.index == to.index {
            true => None,
            false => Some(PeerLink::start(from.peer(from), to.peer(from), to.peer(to)).await?),
        });
    }
    Ok(links)
}

impl SoakSite {
    /// Starts all of it on the plan's network.
    pub async fn start(plan: &RunPlan) -> std::io::Result<Rc<SoakSite>> {
        let RunPlan { network, size, folder, program, .. } = plan;
        let size = *size;
        let ledger = Rc::new(RunLedger::new(plan.seed));
        let list = Rc::new(RefCell::new(ListRows::default()));
        list.borrow_mut().rows.resize(2 * size.upstreams, None);
        let list_link =
            serve_list(address(network, 1, 9000), address(network, 1, 9001), list.clone()).await?;
        let places = vm_places(network, size, folder);
        let mut vms = Vec::new();
        for place in &places {
            vms.push(SiteVm {
                front: LinkProxy::start(place.front_link(), place.front()).await?,
                peers: peer_links(&places, place).await?,
                place: place.clone(),
                process: RefCell::new(None),
                ending: Cell::new(false),
                frozen_until_ms: Cell::new(0),
            });
        }
        // The second half are places of new versions, with no life at first.
        let usual = size.upstreams;
        let upstream = |index: usize| SiteUpstream {
            place: UpstreamPlace {
                index,
                service: format!("s{}", 1 + index % usual / 3 % 2),
                zone: format!("z-{}", index % usual % 3),
                listed: address(network, index + 100, 9100),
                inner: address(network, index + 100, 9101),
            },
            life: RefCell::new(None),
            lives: Cell::new(0),
            software: RefCell::new(("v1".to_string(), VersionFault::None)),
        };
        let upstreams = (0..2 * size.upstreams).map(upstream).collect();
        let operator = SoakOperator::new(ledger.clone(), places);
        let program = program.to_path_buf();
        let (sides, versions) = (Default::default(), Cell::new(1));
        let site = SoakSite {
            ledger,
            vms,
            upstreams,
            list,
            list_link,
            operator,
            program,
            sides,
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
        *vm.process.borrow_mut() = Some(VmProcess::start(&self.program, &vm.place, first)?);
        vm.ending.set(false);
        Ok(())
    }

    /// Notes a process that ended though nobody asked for it.
    fn note_end(&self, vm: &SiteVm) {
        if let Some(process) = vm.process.borrow_mut().as_mut() {
            if process.has_ended() && !vm.ending.get() {
                let seen = format!("VM {} ended by itself: {}", vm.place.index, process.end_text());
                self.ledger.rows.borrow_mut().seen.push(seen);
            }
        }
    }

    /// Starts a VM again unless it runs.
    pub fn ensure_started(&self, index: usize) {
        let vm = &self.vms[index];
        self.note_end(vm);
        let runs = vm.process.borrow_mut().as_mut().is_some_and(|process| !process.has_ended());
        if !runs {
            if let Err(error) = self.start_process(vm, false) {
                self.ledger.rows.borrow_mut().seen.push(format!("VM {index}: {error}"));
            }
        }
    }

    /// Sends a signal to a VM; true when its process runs.
    pub fn signal(&self, index: usize, signal: i32) -> bool {
        let vm = &self.vms[index];
        self.note_end(vm);
        if matches!(signal, libc::SIGTERM | libc::SIGKILL) {
            vm.ending.set(true);
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

    /// A VM's files can't grow, or can again.
    pub fn limit_files(&self, index: usize, most: Option<u64>) {
        if let Some(process) = self.vms[index].process.borrow_mut().as_mut() {
            process.limit_files(most);
        }
    }

    /// Notes that a VM is frozen until then.
    pub fn freeze_until(&self, index: usize, until_ms: u64) {
        let frozen = &self.vms[index].frozen_until_ms;
        frozen.set(frozen.get().max(until_ms));
    }

    /// Waits for the end of a VM that got SIGTERM, and kills it when that takes too long.
    pub async fn wait_end(&self, index: usize) {
        let vm = &self.vms[index];
        let signalled_ms = self.ledger.now_ms();
        loop {
            let ended = vm.process.borrow_mut().as_mut().is_none_or(VmProcess::has_ended);
            // Another disturbance may have killed it and started it anew.
            if ended || !vm.ending.get() {
                return;
            }
            let now = self.ledger.now_ms();
            if now > signalled_ms.max(vm.frozen_until_ms.get()) + STOP_WAIT_MS {
                let seen =
                    format!("VM {index} had not ended {} ms after SIGTERM", now - signalled_ms);
                self.ledger.rows.borrow_mut().seen.push(seen);
                self.signal(index, libc::SIGKILL);
                return;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// Whether a VM says that it is ready.
    pub async fn is_ready(&self, index: usize) -> bool {
        let ready = self.vms[index].place.ready();
        let answer = call_once(ready, "GET", "/ready", "", Duration::from_millis(500)).await;
        matches!(answer, Some((200, _)))
    }

    /// Ends the disturbance of a VM once it runs and is ready.
    pub async fn calm_when_ready(&self, index: usize, span: usize) {
        while !self.is_ready(index).await {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        self.ledger.calm(span);
    }

    /// Starts the next life of an upstream, under the last one's id if asked for.
    pub async fn start_upstream(&self, index: usize, same_id: bool) -> std::io::Result<()> {
        let upstream = &self.upstreams[index];
        if !same_id || upstream.lives.get() == 0 {
            upstream.lives.set(upstream.lives.get() + 1);
        }
        let id = format!("i-{index}-{}", upstream.lives.get());
        let place = upstream.place.clone();
        let (version, fault) = upstream.software.borrow().clone();
        let software = (version.as_str(), fault);
        let life = UpstreamLife::start(place.clone(), &id, software, self.ledger.clone()).await?;
        *upstream.life.borrow_mut() = Some(life);
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born_ms = born.map_or(0, |since| since.as_millis() as u64);
        self.list.borrow_mut().rows[index] =
            Some(ListRow { place, id, born_ms, version, leaving: false });
        Ok(())
    }

    /// Sets the links between a VM and all others: what it is sent, and what it sends.
    pub fn set_peers(&self, index: usize, comes: LinkMode, goes: LinkMode) {
        for link in self.vms[index].peers.iter().flatten() {
            link.proxy.set(comes);
        }
        for other in self.vms.iter().filter(|other| other.place.index != index) {
            if let Some(link) = &other.peers[index] {
                link.proxy.set(goes);
            }
        }
    }

    /// The places of a service in use and those of its next version; none while it is moved.
    pub fn next_side(&self, service: usize) -> Option<(Vec<usize>, Vec<usize>)> {
        let side = self.sides[service].get();
        if side.moving {
            return None;
        }
        self.sides[service].set(ServiceSide { moving: true, ..side });
        let name = format!("s{}", service + 1);
        let usual = self.upstreams.len() / 2;
        let places = |second: bool| {
            let of = self.upstreams.iter().map(|upstream| &upstream.place);
            let of = of.filter(|place| place.service == name && (place.index >= usual) == second);
            of.map(|place| place.index).collect()
        };
        Some((places(side.second), places(!side.second)))
    }

    /// Whether a place belongs to a half that is in use or being moved to.
    pub fn in_use(&self, index: usize) -> bool {
        let place = &self.upstreams[index].place;
        let side = self.sides[usize::from(place.service != "s1")].get();
        side.moving || (index >= self.upstreams.len() / 2) == side.second
    }

    /// The service is no longer moved; its other half is in use if that `completed`.
    pub fn end_side(&self, service: usize, completed: bool) {
        let second = self.sides[service].get().second != completed;
        self.sides[service].set(ServiceSide { second, moving: false });
    }

    /// A version that was never used.
    pub fn next_version(&self) -> String {
        self.versions.set(self.versions.get() + 1);
        format!("v{}", self.versions.get())
    }

    /// Starts a life of another version.
    pub async fn start_version(
        &self,
        index: usize,
        version: &str,
        fault: VersionFault,
    ) -> std::io::Result<()> {
        *self.upstreams[index].software.borrow_mut() = (version.to_string(), fault);
        self.start_upstream(index, false).await
    }

    /// An upstream ends, and its entry goes.
    pub fn end_upstream(&self, index: usize) {
        self.list.borrow_mut().rows[index] = None;
        drop(self.upstreams[index].life.take());
    }

    /// Shows an upstream as leaving.
    pub fn mark_leaving(&self, index: usize) {
        if let Some(row) = self.list.borrow_mut().rows[index].as_mut() {
            row.leaving = true;
        }
        if let Some(life) = self.upstreams[index].life.borrow().as_ref() {
            life.leave();
        }
    }

    /// Shows an upstream as leaving; the number ends it.
    pub fn show_leaving(&self, index: usize) -> usize {
        self.mark_leaving(index);
        self.note_leaving(index)
    }

    fn note_leaving(&self, index: usize) -> usize {
        let from_ms = self.ledger.now_ms();
        let life = self.upstreams[index].life.borrow().as_ref().map_or(0, UpstreamLife::number);
        let leaving = &mut self.ledger.rows.borrow_mut().leaving;
        leaving.push(LeavingRow { upstream: index, life, from_ms, until_ms: None });
        leaving.len() - 1
    }

    /// Notes all processes that ended though nobody asked for it.
    pub fn note_ends(&self) {
        for vm in &self.vms {
            self.note_end(vm);
        }
    }

    /// The newest version that was acknowledged.
    pub fn newest_acked(&self) -> u64 {
        let rows = self.ledger.rows.borrow();
        let acked = rows.orders.iter().filter(|order| order.acked_ms.is_some());
        let versions = acked.filter_map(|order| match &order.what {
            OrderWhat::Document(row) => Some(row.version),
            _ => None,
        });
        versions.max().unwrap_or(0)
    }

    /// Whether a zone was emptied, or may have been, and is not taken back.
    pub fn is_emptied(&self, zone: &str) -> bool {
        let rows = self.ledger.rows.borrow();
        let emptied = rows.orders.iter().rev().find_map(|order| match &order.what {
            OrderWhat::EmptyZone(other) if other == zone => Some(true),
            OrderWhat::ReturnZone(other) if other == zone => Some(order.acked_ms.is_none()),
            _ => None,
        });
        emptied.unwrap_or(false)
    }

    /// Starts a disturbance of this.
    pub fn disturb(&self, touched: Touched) -> usize {
        self.ledger.disturb(touched)
    }
}
