//! The keeper as a node: its loop, its sockets, and the formation of the first group.

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
    KeeperEvent, KeeperLoop, LoopDisk, LoopFailure, LoopOutputs, LoopStart, OperateReply,
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

/// The maximum number of HTTP requests that are handled at once.
const MAX_IN_FLIGHT: usize = 512;
/// The maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// How long a handler waits for the loop's reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of long messages that may wait for one keeper; further ones are dropped.
const LONG_MESSAGE_QUEUE: usize = 64;

/// Why a node does not start or has stopped.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum NodeError {
    /// The files cannot be opened or written.
    #[snafu(display("{source}"))]
    Store {
        /// The error of the store.
        source: StoreError,
    },
    /// The snapshot cannot be read.
    #[snafu(display("the snapshot cannot be read: {text}"))]
    Image {
        /// Why the snapshot cannot be read.
        text: String,
    },
    /// A socket cannot be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Writes a backup into this keeper's empty data folder, as a group of this keeper alone. The other
/// keepers are then added in the same way as after the loss of their disks.
pub fn restore_backup(settings: &KeeperSettings, image: &[u8]) -> Result<(), NodeError> {
    KeeperMachine::from_image(image).map_err(|text| NodeError::Image { text })?;
    let new_incarnation = Incarnation(rand::random::<u64>() | 1);
    let folder = &settings.data_folder;
    let (mut store, stored) =
        LogStore::open(folder, settings.id, new_incarnation).context(StoreSnafu)?;
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

/// The state that the handlers of a keeper share.
pub(super) struct KeeperShared {
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
    /// The address on which the keeper listens.
    pub address: SocketAddr,
}

impl KeeperNode {
    /// Opens the data folder and starts the keeper.
    pub fn start(settings: KeeperSettings) -> Result<KeeperNode, NodeError> {
        let clock = NodeClock::default();
        let new_incarnation = Incarnation(rand::random::<u64>() | 1);
        let opened = LogStore::open(&settings.data_folder, settings.id, new_incarnation);
        let (store, stored) = opened.context(StoreSnafu)?;
        if stored.torn_bytes > 0 {
            tracing::warn!("keeper: truncated a torn tail of {} bytes.", stored.torn_bytes);
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
            in_flight: MAX_IN_FLIGHT,
            body_bytes: MAX_BODY_BYTES,
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
        let outputs = LoopOutputs {
            port: port.clone(),
            send_long: long_message_sender(maker.clone(), http.clone()),
            send_order: order_sender(events.clone(), http.clone()),
            wire: Box::new(move || wire.rows()),
        };
        let max_loads = settings.weight_loads;
        let configured =
            settings.keepers.iter().map(|keeper| (keeper.id, keeper.address)).collect();
        let id = settings.id;
        let start =
            LoopStart { id, core, machine, disk, incarnation, clock, seed, max_loads, configured };
        let keeper = KeeperLoop::new(start, outputs);
        let failure = Arc::new(Mutex::new(None));
        let stop = Arc::new(AtomicBool::new(false));
        let running = spawn_loop(keeper, receiver, failure.clone(), stop.clone());
        let mut threads = vec![running, disk_thread];
        let checker = Arc::new(Mutex::new(SealChecker::new(&settings.fleet_key, wall_ms())));
        threads.extend(receive_datagrams(&port, &events, &checker, &stop));
        let client =
            KeeperClient::new(settings.keepers.clone(), maker, http, CallTimes::of_ms(2000));
        let shared = Arc::new(KeeperShared { settings, events: events.clone(), checker, client });
        let handler_shared = shared.clone();
        let server = HttpServer::start(
            listener,
            limits,
            Arc::new(move |exchange| handle(&handler_shared, exchange)),
            Arc::new(refusal_reply),
        );
        let server = server.context(ListenSnafu { address })?;
        threads.push(spawn_background_tasks(shared, blank, stop.clone()));
        tracing::info!("keeper: listens on {address}.");
        Ok(KeeperNode { events, server, stop, threads, failure, address })
    }

    /// Hands leadership over if this keeper leads, then stops, so that a planned stop causes no
    /// election timeout.
    pub fn stop_planned(self) {
        let (sender, receiver) = bounded(1);
        let _ = self.events.send(KeeperEvent::Transfer(sender));
        if let Ok(OperateReply::Done(_)) = receiver.recv_timeout(REPLY_TIMEOUT) {
            std::thread::sleep(Duration::from_millis(300));
        }
        self.stop_now();
    }

    /// Stops at once. This equals a crash, except that the last write is completed.
    pub fn stop_now(mut self) {
        self.shut_down();
    }

    /// Returns the failure that ended the loop, if there is one.
    pub fn failure(&self) -> Option<String> {
        let failure = self.failure.lock().unwrap_or_else(|poison| poison.into_inner());
        failure.as_ref().map(|error| error.to_string())
    }

    /// Reads a value from the loop; returns `None` when the loop has ended or doesn't answer in
    /// time.
    pub fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&KeeperLoop, bool) -> T + Send + 'static,
    ) -> Option<T> {
        read_loop(&self.events, read)
    }

    fn shut_down(&mut self) {
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
        self.shut_down();
    }
}

/// Reads a value from the loop; returns `None` when the loop has ended or doesn't answer in time.
pub(super) fn read_loop<T: Send + 'static>(
    events: &Sender<KeeperEvent>,
    read: impl FnOnce(&KeeperLoop, bool) -> T + Send + 'static,
) -> Option<T> {
    let (sender, receiver) = bounded(1);
    let task = move |keeper: &KeeperLoop, leased: bool| {
        let _ = sender.send(read(keeper, leased));
    };
    events.send(KeeperEvent::Read(Box::new(task))).ok()?;
    receiver.recv_timeout(REPLY_TIMEOUT).ok()
}

/// Starts the thread of the loop. When the loop ends, it sets `stop` and stores the failure, if
/// any.
fn spawn_loop(
    keeper: KeeperLoop,
    receiver: crossbeam::channel::Receiver<KeeperEvent>,
    failure: Arc<Mutex<Option<LoopFailure>>>,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    spawn_named("keeper-loop", move || {
        if let Err(error) = keeper.run(receiver) {
            tracing::error!("keeper: stops because its loop failed: {error}.");
            *failure.lock().unwrap_or_else(|poison| poison.into_inner()) = Some(error);
        }
        stop.store(true, Ordering::Relaxed);
    })
}

/// Starts the thread that writes the data folder. It ends when the loop drops its channel.
fn start_loop_disk(folder: PathBuf, store: LogStore) -> (LoopDisk, JoinHandle<()>) {
    let (jobs, to_do) = unbounded();
    let (done, reports) = unbounded();
    let run = move || run_jobs(&folder, store, &to_do, |report| done.send(report).is_ok());
    (LoopDisk { jobs, reports }, spawn_named("keeper-disk", run))
}

fn spawn_named(name: &str, run: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    let thread = std::thread::Builder::new().name(name.to_string()).spawn(run);
    thread.expect("a thread can be spawned at startup")
}

/// Starts the thread that passes datagrams to the loop as events.
fn receive_datagrams(
    port: &DatagramPort,
    events: &Sender<KeeperEvent>,
    checker: &Arc<Mutex<SealChecker>>,
    stop: &Arc<AtomicBool>,
) -> Option<JoinHandle<()>> {
    let events = events.clone();
    let handle_datagram = move |from, datagram| {
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
    port.receive(checker.clone(), stop.clone(), handle_datagram).ok()
}

/// Returns a sender of long messages with one thread and one bounded queue for each keeper, so that
/// a slow keeper delays no other. Messages that exceed a queue are dropped, which the consensus
/// tolerates.
fn long_message_sender(
    maker: Arc<SealMaker>,
    http: HttpClient,
) -> Box<dyn Fn(KeeperId, SocketAddr, RaftMessage) + Send> {
    let queues: Mutex<HashMap<KeeperId, Sender<(SocketAddr, RaftMessage)>>> = Mutex::default();
    Box::new(move |to, address, message| {
        let mut queues = queues.lock().unwrap_or_else(|poison| poison.into_inner());
        let queue = queues.entry(to).or_insert_with(|| {
            let (sender, receiver) = bounded::<(SocketAddr, RaftMessage)>(LONG_MESSAGE_QUEUE);
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

/// Returns a sender of orders that runs each order on a worker and reports its end to the loop.
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

/// Starts a thread that forms the first group when the disk is blank and that requests the weight
/// store's limit every five seconds.
fn spawn_background_tasks(
    shared: Arc<KeeperShared>,
    blank: bool,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut forming = blank && !shared.settings.join;
        let mut rounds = 0u32;
        while !stop.load(Ordering::Relaxed) {
            if forming {
                forming = !try_forming_group(&shared);
            }
            if rounds % 50 == 0 {
                request_store_limit(&shared);
            }
            rounds = rounds.wrapping_add(1);
            std::thread::sleep(Duration::from_millis(100));
        }
    })
}

/// Requests how many loads the weight store takes at once, and passes the number to the loop,
/// bounded by the configured limit.
fn request_store_limit(shared: &KeeperShared) {
    let Some(address) = shared.settings.weight_store else { return };
    let http = HttpClient::default();
    let call = weight_store::state_call();
    let Ok(reply) = http.call(address, &call, CallTimes::of_ms(1000), 4096, "weights") else {
        return;
    };
    if let Ok(state) = weight_store::read_state(&reply.body) {
        let limit = state.max_loads.min(shared.settings.weight_loads);
        let _ = shared.events.send(KeeperEvent::StoreLimit(limit));
    }
}

/// Tries to form the first group; returns whether no further try is needed.
///
/// A blank keeper forms the group only when every other configured keeper is blank too or has this
/// incarnation as a member. Otherwise this keeper has lost its disk and must not vote.
fn try_forming_group(shared: &KeeperShared) -> bool {
    let Some(own) = read_loop(&shared.events, |keeper, _| keeper.identity()) else {
        return true;
    };
    if !own.blank {
        return true;
    }
    let mut members = BTreeMap::new();
    for keeper in &shared.settings.keepers {
        let incarnation = if keeper.id == own.id {
            own.incarnation
        } else {
            let Ok(KeeperReply::Identity(other)) =
                shared.client.call(keeper.address, &KeeperCall::Identity)
            else {
                return false;
            };
            if !other.blank && other.members.get(&own.id) != Some(&own.incarnation) {
                tracing::error!(
                    "keeper: this disk is blank but the group exists already; the keeper does not \
                     vote until it is added by `wingshed keeper replace`."
                );
                return true;
            }
            other.incarnation
        };
        let member = GroupMember { incarnation, address: keeper.address, votes: true };
        members.insert(keeper.id, member);
    }
    let _ = shared.events.send(KeeperEvent::Form(GroupMembership { members }));
    true
}

fn handle(shared: &Arc<KeeperShared>, mut exchange: HttpExchange) {
    let path = exchange.call.path().to_string();
    let reply = match path.as_str() {
        RAFT_PATH | CALL_PATH => sealed_reply(shared, &exchange.call, &path),
        _ => operator_reply(shared, &exchange.call),
    };
    let _ = exchange.writer.send(&reply);
}

/// Answers a call from a router or another keeper after checking its seal.
fn sealed_reply(shared: &KeeperShared, call: &HttpCall, path: &str) -> HttpReply {
    let checked = {
        let mut checker = shared.checker.lock().unwrap_or_else(|poison| poison.into_inner());
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
            let _ = shared.events.send(KeeperEvent::Raft(message));
        }
        return HttpReply { status: 200, ..HttpReply::default() };
    }
    let keeper_call = match decode::<KeeperCall>(&call.body) {
        Ok(keeper_call) => keeper_call,
        Err(text) => return bad(text),
    };
    let (sender, receiver) = bounded(1);
    let _ = shared.events.send(KeeperEvent::Call(keeper_call, sender));
    let reply = receiver.recv_timeout(REPLY_TIMEOUT).unwrap_or(KeeperReply::Unsure);
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
