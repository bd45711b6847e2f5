//! The keeper as a node: its loop, its sockets, and the forming of the first group.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{bounded, unbounded, Sender};
use snafu::{ResultExt, Snafu};

use super::clock::{wall_ms, NodeClock};
use super::datagram::DatagramPort;
use super::http_client::{CallTimes, HttpClient};
use super::http_server::{listen, HttpExchange, HttpServer, ServerLimits, ServerRefusal};
use super::keeper_client::KeeperClient;
use super::keeper_loop::{
    KeeperEvent, KeeperLoop, LoopDisk, LoopFailure, LoopOutlets, LoopStart, OperateReply,
};
use super::keeper_operator::{operator_reply, send_order};
use super::vm_disk::run_jobs;
use super::wire_count::WireCount;
use super::worker_pool::WorkerPool;
use crate::coordination::raft::RaftCore;
use crate::coordination::raft_message::RaftMessage;
use crate::protocol::http::{HttpCall, HttpReply};
use crate::protocol::keeper_wire::{
    decode, encode, Datagram, KeeperCall, KeeperReply, CALL_PATH, RAFT_PATH,
};
use crate::protocol::seal::{SealChecker, SealMaker, SEAL_HEADER};
use crate::protocol::weight_store;
use crate::state::ids::{Incarnation, KeeperId};
use crate::state::keeper_machine::KeeperMachine;
use crate::state::log_store::{
    GroupMember, GroupMembership, HardState, LogSnapshot, LogStore, StoreError,
};
use crate::state::settings::KeeperSettings;

const IN_FLIGHT: usize = 512;
const LONGEST_BODY: usize = 64 << 20;
const ANSWER_WAIT: Duration = Duration::from_secs(5);
const LONG_QUEUE: usize = 64;

/// Why a node does not start or has stopped.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum NodeError {
    /// Its files.
    #[snafu(display("{source}"))]
    Store {
        /// What is wrong with them.
        source: StoreError,
    },
    /// Its snapshot cannot be read.
    #[snafu(display("the snapshot cannot be read: {text}"))]
    Image {
        /// What is wrong.
        text: String,
    },
    /// Its sockets.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Where.
        address: SocketAddr,
        /// The system's word.
        source: io::Error,
    },
}

/// Writes a backup into this keeper's empty data folder, as a group of this keeper alone; the
/// others are then brought in as after the loss of their disks.
pub fn restore_backup(settings: &KeeperSettings, image: &[u8]) -> Result<(), NodeError> {
    KeeperMachine::from_image(image).map_err(|text| NodeError::Image { text })?;
    let life = Incarnation(rand::random::<u64>() | 1);
    let folder = &settings.data_folder;
    let (mut store, stored) = LogStore::open(folder, settings.id, life).context(StoreSnafu)?;
    if !stored.blank {
        let path = folder.clone();
        let what = "holds a group already; a backup goes into an empty folder".to_string();
        return Err(NodeError::Store { source: StoreError::Foreign { path, what } });
    }
    let incarnation = store.incarnation;
    let member = GroupMember { incarnation, address: settings.address, votes: true };
    let membership = GroupMembership { members: [(settings.id, member)].into() };
    let snapshot = LogSnapshot { index: 1, term: 1, membership, image: image.to_vec() };
    let hard_state = HardState { term: 1, voted_for: None };
    store.install(&snapshot, hard_state, &[]).context(StoreSnafu)
}

/// What the handlers of a keeper share.
pub(super) struct KeeperDesk {
    pub(super) settings: KeeperSettings,
    pub(super) events: Sender<KeeperEvent>,
    pub(super) checker: Arc<Mutex<SealChecker>>,
    pub(super) client: KeeperClient,
}

/// A running keeper.
pub struct KeeperNode {
    events: Sender<KeeperEvent>,
    server: HttpServer,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    failure: Arc<Mutex<Option<LoopFailure>>>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl KeeperNode {
    /// Opens the data folder and starts.
    pub fn start(settings: KeeperSettings) -> Result<KeeperNode, NodeError> {
        let clock = NodeClock::default();
        let new_life = Incarnation(rand::random::<u64>() | 1);
        let opened = LogStore::open(&settings.data_folder, settings.id, new_life);
        let (store, stored) = opened.context(StoreSnafu)?;
        if stored.torn_bytes > 0 {
            tracing::warn!("keeper: cut a torn tail of {} bytes.", stored.torn_bytes);
        }
        let machine = match stored.snapshot.image.is_empty() {
            true => KeeperMachine::default(),
            false => KeeperMachine::from_image(&stored.snapshot.image)
                .map_err(|text| NodeError::Image { text })?,
        };
        let address = settings.address;
        let wire = Arc::new(WireCount::default());
        let maker = Arc::new(SealMaker::new(&settings.fleet_key, rand::random()));
        let port = DatagramPort::bind(address, maker.clone(), wire.clone());
        let port = port.context(ListenSnafu { address })?;
        let limits = ServerLimits {
            in_flight: IN_FLIGHT,
            body_bytes: LONGEST_BODY,
            header_bytes: 16 << 10,
            read_timeout: Duration::from_secs(10),
        };
        let listener = listen(address).context(ListenSnafu { address })?;
        let blank = stored.blank;
        let incarnation = store.incarnation;
        let seed: u64 = rand::random();
        let (disk, disk_thread) = start_loop_disk(settings.data_folder.clone(), store);
        let core = RaftCore::new(settings.id, incarnation, stored, seed, clock.now_ms());
        let (events, receiver) = unbounded();
        let http = HttpClient { wire: wire.clone() };
        let outlets = LoopOutlets {
            port: port.clone(),
            send_long: long_sender(maker.clone(), http.clone()),
            send_order: order_sender(events.clone(), http.clone()),
            wire: Box::new(move || wire.rows()),
        };
        let most_loads = settings.weight_loads;
        let named = settings.keepers.iter().map(|keeper| (keeper.id, keeper.address)).collect();
        let id = settings.id;
        let start =
            LoopStart { id, core, machine, disk, incarnation, clock, seed, most_loads, named };
        let keeper = KeeperLoop::new(start, outlets);
        let failure = Arc::new(Mutex::new(None));
        let stop = Arc::new(AtomicBool::new(false));
        let running = spawn_loop(keeper, receiver, failure.clone(), stop.clone());
        let mut threads = vec![running, disk_thread];
        let checker = Arc::new(Mutex::new(SealChecker::new(&settings.fleet_key, wall_ms())));
        threads.extend(receive_datagrams(&port, &events, &checker, &stop));
        let client =
            KeeperClient::new(settings.keepers.clone(), maker, http, CallTimes::of_ms(2000));
        let desk = Arc::new(KeeperDesk { settings, events: events.clone(), checker, client });
        let handler_desk = desk.clone();
        let server = HttpServer::start(
            listener,
            limits,
            Arc::new(move |exchange| handle(&handler_desk, exchange)),
            Arc::new(refusal_reply),
        );
        let server = server.context(ListenSnafu { address })?;
        threads.push(spawn_helper(desk, blank, stop.clone()));
        tracing::info!("keeper: listens on {address}.");
        Ok(KeeperNode { events, server, stop, threads, failure, address })
    }

    /// Hands leadership over if it has it, then stops: a planned stop costs no election.
    pub fn stop_planned(self) {
        let (sender, receiver) = bounded(1);
        let _ = self.events.send(KeeperEvent::Transfer(sender));
        if let Ok(OperateReply::Done(_)) = receiver.recv_timeout(ANSWER_WAIT) {
            std::thread::sleep(Duration::from_millis(300));
        }
        self.stop_now();
    }

    /// Stops at once, as a crash would but for the last write.
    pub fn stop_now(mut self) {
        self.shut();
    }

    /// Whether the loop has ended, and why.
    pub fn failure(&self) -> Option<String> {
        let failure = self.failure.lock().unwrap_or_else(|poison| poison.into_inner());
        failure.as_ref().map(|error| error.to_string())
    }

    /// Reads something from the loop.
    pub fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&KeeperLoop, bool) -> T + Send + 'static,
    ) -> Option<T> {
        read_loop(&self.events, read)
    }

    fn shut(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.events.send(KeeperEvent::Stop);
        self.server.stop();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for KeeperNode {
    fn drop(&mut self) {
        self.shut();
    }
}

/// Reads something from the loop; `None` when it has ended.
pub(super) fn read_loop<T: Send + 'static>(
    events: &Sender<KeeperEvent>,
    read: impl FnOnce(&KeeperLoop, bool) -> T + Send + 'static,
) -> Option<T> {
    let (sender, receiver) = bounded(1);
    let task = move |keeper: &KeeperLoop, vouched: bool| {
        let _ = sender.send(read(keeper, vouched));
    };
    events.send(KeeperEvent::Read(Box::new(task))).ok()?;
    receiver.recv_timeout(ANSWER_WAIT).ok()
}

fn spawn_loop(
    keeper: KeeperLoop,
    receiver: crossbeam::channel::Receiver<KeeperEvent>,
    failure: Arc<Mutex<Option<LoopFailure>>>,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    spawn_named("keeper-loop", move || {
        if let Err(error) = keeper.run(receiver) {
            tracing::error!("keeper: stops, for it cannot write: {error}.");
            *failure.lock().unwrap_or_else(|poison| poison.into_inner()) = Some(error);
        }
        stop.store(true, Ordering::Relaxed);
    })
}

/// Starts the thread that writes the files; it ends with the loop.
fn start_loop_disk(folder: PathBuf, store: LogStore) -> (LoopDisk, JoinHandle<()>) {
    let (jobs, to_do) = unbounded();
    let (done, reports) = unbounded();
    let run = move || run_jobs(&folder, store, &to_do, |report| done.send(report).is_ok());
    (LoopDisk { jobs, reports }, spawn_named("keeper-disk", run))
}

fn spawn_named(name: &str, run: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    let thread = std::thread::Builder::new().name(name.to_string()).spawn(run);
    thread.expect("the system has room for a thread at the start")
}

fn receive_datagrams(
    port: &DatagramPort,
    events: &Sender<KeeperEvent>,
    checker: &Arc<Mutex<SealChecker>>,
    stop: &Arc<AtomicBool>,
) -> Option<JoinHandle<()>> {
    let events = events.clone();
    let take = move |from, datagram| {
        let event = match datagram {
            Datagram::Renew(renewal) => KeeperEvent::Renew(from, renewal),
            Datagram::Raft(message) => KeeperEvent::Raft(message),
            Datagram::Claims { number, claims, reports } => {
                KeeperEvent::Claims(from, number, claims, reports)
            }
            _ => return,
        };
        let _ = events.send(event);
    };
    port.receive(checker.clone(), stop.clone(), take).ok()
}

/// One thread and one bounded queue for each other keeper: a slow one delays no other, and
/// what does not fit is lost, which the consensus allows.
fn long_sender(
    maker: Arc<SealMaker>,
    http: HttpClient,
) -> Box<dyn Fn(KeeperId, SocketAddr, RaftMessage) + Send> {
    let queues: Mutex<HashMap<KeeperId, Sender<(SocketAddr, RaftMessage)>>> = Mutex::default();
    Box::new(move |to, address, message| {
        let mut queues = queues.lock().unwrap_or_else(|poison| poison.into_inner());
        let queue = queues.entry(to).or_insert_with(|| {
            let (sender, receiver) = bounded::<(SocketAddr, RaftMessage)>(LONG_QUEUE);
            let (maker, http) = (maker.clone(), http.clone());
            std::thread::spawn(move || {
                for (address, message) in receiver {
                    let body = encode(&vec![message]);
                    let seal = maker.header(RAFT_PATH, &body, wall_ms());
                    let call = HttpCall::post(RAFT_PATH, body).with(SEAL_HEADER, seal);
                    let _ = http.call(address, &call, CallTimes::of_ms(1000), 1024, "raft-long");
                }
            });
            sender
        });
        let _ = queue.try_send((address, message));
    })
}

fn order_sender(
    events: Sender<KeeperEvent>,
    http: HttpClient,
) -> Box<dyn Fn(crate::state::keeper_machine::OrderRecord, SocketAddr) + Send> {
    let pool = WorkerPool::new("order", 64);
    Box::new(move |order, address| {
        let (events, http) = (events.clone(), http.clone());
        let number = order.number;
        let failed = events.clone();
        let job = move || {
            let end = send_order(&http, &order, address);
            let _ = events.send(KeeperEvent::OrderSent(order.number, end));
        };
        if pool.run(Box::new(job)).is_err() {
            let _ = failed.send(KeeperEvent::OrderSent(number, None));
        }
    })
}

/// Forms the first group when the disk is blank, and asks the weight store for its limit.
fn spawn_helper(desk: Arc<KeeperDesk>, blank: bool, stop: Arc<AtomicBool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut forming = blank && !desk.settings.join;
        let mut waited = 0u32;
        while !stop.load(Ordering::Relaxed) {
            if forming {
                forming = !try_forming(&desk);
            }
            if waited % 50 == 0 {
                ask_weight_store(&desk);
            }
            waited = waited.wrapping_add(1);
            std::thread::sleep(Duration::from_millis(100));
        }
    })
}

fn ask_weight_store(desk: &KeeperDesk) {
    let Some(address) = desk.settings.weight_store else { return };
    let http = HttpClient::default();
    let call = weight_store::state_call();
    let Ok(reply) = http.call(address, &call, CallTimes::of_ms(1000), 4096, "weights") else {
        return;
    };
    if let Ok(state) = weight_store::read_state(&reply.body) {
        let limit = state.max_loads.min(desk.settings.weight_loads);
        let _ = desk.events.send(KeeperEvent::StoreLimit(limit));
    }
}

/// A blank keeper forms the first group only when every other named keeper is blank too, or
/// knows this very life as a member: otherwise its disk was lost, and it must not vote.
/// True when there is nothing left to try.
fn try_forming(desk: &KeeperDesk) -> bool {
    let Some(own) = read_loop(&desk.events, |keeper, _| keeper.identity()) else {
        return true;
    };
    if !own.blank {
        return true;
    }
    let mut members = BTreeMap::new();
    for keeper in &desk.settings.keepers {
        let incarnation = if keeper.id == own.id {
            own.incarnation
        } else {
            let Ok(KeeperReply::Identity(other)) =
                desk.client.ask(keeper.address, &KeeperCall::Identity)
            else {
                return false;
            };
            if !other.blank && other.members.get(&own.id) != Some(&own.incarnation) {
                tracing::error!(
                    "keeper: this disk is new but the group is not; it does not vote until it \
                     is brought in by `wingshed keeper replace`."
                );
                return true;
            }
            other.incarnation
        };
        let member = GroupMember { incarnation, address: keeper.address, votes: true };
        members.insert(keeper.id, member);
    }
    let _ = desk.events.send(KeeperEvent::Form(GroupMembership { members }));
    true
}

fn handle(desk: &Arc<KeeperDesk>, mut exchange: HttpExchange) {
    let path = exchange.call.path().to_string();
    let reply = match path.as_str() {
        RAFT_PATH | CALL_PATH => sealed_reply(desk, &exchange.call, &path),
        _ => operator_reply(desk, &exchange.call),
    };
    let _ = exchange.writer.send(&reply);
}

fn sealed_reply(desk: &KeeperDesk, call: &HttpCall, path: &str) -> HttpReply {
    let checked = {
        let mut checker = desk.checker.lock().unwrap_or_else(|poison| poison.into_inner());
        checker.check_header(call.header(SEAL_HEADER), path, &call.body, wall_ms())
    };
    if let Err(refusal) = checked {
        tracing::warn!("keeper: refused a call: {refusal}.");
        return HttpReply { status: 401, ..HttpReply::default() };
    }
    let bad = |text: String| HttpReply { status: 400, headers: vec![], body: text.into_bytes() };
    if path == RAFT_PATH {
        let messages = match decode::<Vec<RaftMessage>>(&call.body) {
            Ok(messages) => messages,
            Err(text) => return bad(text),
        };
        for message in messages {
            let _ = desk.events.send(KeeperEvent::Raft(message));
        }
        return HttpReply { status: 200, ..HttpReply::default() };
    }
    let asked = match decode::<KeeperCall>(&call.body) {
        Ok(asked) => asked,
        Err(text) => return bad(text),
    };
    let (sender, receiver) = bounded(1);
    let _ = desk.events.send(KeeperEvent::Call(asked, sender));
    let reply = receiver.recv_timeout(ANSWER_WAIT).unwrap_or(KeeperReply::Unsure);
    HttpReply { status: 200, headers: vec![], body: encode(&reply) }
}

fn refusal_reply(refusal: ServerRefusal) -> HttpReply {
    let status = match refusal {
        ServerRefusal::Busy => 503,
        ServerRefusal::BodyBroken => 400,
        ServerRefusal::BodyTooLong | ServerRefusal::HeadersTooLong => 413,
    };
    let text = format!("{refusal:?}");
    HttpReply::json(status, &serde_json::json!({ "error": { "code": text } }))
}
