//! The router as a node: its sockets and threads, its start and its drain.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{bounded, unbounded, Receiver, TryRecvError};
use snafu::ResultExt;

use super::datagram::DatagramPort;
use super::http_client::{CallTimes, HttpClient};
use super::http_server::{listen, HttpServer, ServerLimits, ServerRefusal};
use super::keeper_client::KeeperClient;
use super::keeper_node::{ListenSnafu, NodeError};
use super::router_claims::{receive_answers, run_claims};
use super::router_control::{run_control, ControlEvent};
use super::router_serve::serve;
use super::router_shared::RouterShared;
use crate::coordination::router_drain::{DrainStep, DrainWatch};
use crate::protocol::caller::CallerError;
use crate::protocol::http::HttpReply;
use crate::protocol::keeper_wire::{Datagram, KeeperCall};
use crate::protocol::seal::SealMaker;
use crate::state::settings::RouterSettings;

/// The number of threads that send claims.
const CLAIM_THREAD_COUNT: usize = 2;
/// How often a drain checks whether it is complete.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A running router.
pub struct RouterNode {
    shared: Arc<RouterShared>,
    server: HttpServer,
    threads: Vec<JoinHandle<()>>,
    /// The address on which the router listens.
    pub address: SocketAddr,
}

impl RouterNode {
    /// Starts the router. It accepts no work until it has a lease for the configuration in force.
    pub fn start(settings: RouterSettings) -> Result<RouterNode, NodeError> {
        let address = settings.address;
        let client = HttpClient::default();
        let maker = Arc::new(SealMaker::new(&settings.fleet_key, rand::random()));
        let port = DatagramPort::bind(address, maker.clone(), client.wire.clone());
        let port = port.context(ListenSnafu { address })?;
        let times = CallTimes::of_ms(1500);
        let keepers =
            KeeperClient::new(settings.keepers.clone(), maker.clone(), client.clone(), times);
        let limits = ServerLimits {
            in_flight: settings.limits.in_flight,
            body_bytes: settings.limits.body_bytes,
            header_bytes: settings.limits.header_bytes,
            read_timeout: Duration::from_millis(settings.limits.read_timeout_ms),
        };
        let listener = listen(address).context(ListenSnafu { address })?;
        let shared = Arc::new(RouterShared::new(settings, client, maker, keepers, port.clone()));
        let (events, receiver) = unbounded();
        let mut threads = Vec::new();
        let answered = shared.clone();
        let receive = move |from, datagram| {
            let event = match datagram {
                Datagram::Grant(grant) => ControlEvent::Grant(from, grant),
                Datagram::Notice { version, epoch } => ControlEvent::Notice { version, epoch },
                Datagram::ClaimAnswers { number, answers } => {
                    receive_answers(&answered, number, answers);
                    return;
                }
                Datagram::Chats(notes) => ControlEvent::Chats(notes),
                Datagram::Sums { router, rows, leaving } => {
                    let _ = events.send(ControlEvent::Leaving(leaving));
                    ControlEvent::Sums(router, rows)
                }
                _ => return,
            };
            let _ = events.send(event);
        };
        let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
        let receiving = port.receive(shared.checker.clone(), stop.clone(), receive);
        threads.push(receiving.context(ListenSnafu { address })?);
        let control = shared.clone();
        let control_thread = std::thread::Builder::new().name("control".to_string());
        let running = control_thread.spawn(move || {
            run_control(&control, &receiver);
            stop.store(true, Ordering::Relaxed);
        });
        threads.push(running.context(ListenSnafu { address })?);
        for _ in 0..CLAIM_THREAD_COUNT {
            let claims = shared.clone();
            threads.push(std::thread::spawn(move || run_claims(&claims)));
        }
        let handler = shared.clone();
        let server = HttpServer::start(
            listener,
            limits,
            Arc::new(move |exchange| serve(&handler, exchange)),
            Arc::new(refusal_reply),
        );
        let server = server.context(ListenSnafu { address })?;
        tracing::info!("router: {} listens on {address}.", shared.id());
        Ok(RouterNode { shared, server, threads, address })
    }

    /// Returns the state that the router's threads share, for status pages and tests.
    pub fn shared(&self) -> &Arc<RouterShared> {
        &self.shared
    }

    /// Waits until the router may serve; returns false when it may not after `timeout`.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.shared.may_serve() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Returns whether an operator has ordered this incarnation of the router to leave.
    pub fn is_ordered_to_leave(&self) -> bool {
        let view = self.shared.view();
        let session = view.roster.routers.get(&self.shared.id());
        session.is_some_and(|s| s.leaving && s.incarnation == self.shared.incarnation)
    }

    /// Leaves the directory, forwards new requests to peers, and stops when the last request has
    /// ended. Returns whether no request was cut. See [`DrainWatch`] for the time that this takes.
    pub fn drain(mut self) -> bool {
        tracing::info!("router: {} drains.", self.shared.id());
        self.shared.draining.store(true, Ordering::Relaxed);
        let leave_sent = self.send_leave();
        let clock = &self.shared.clock;
        let mut watch = DrainWatch::new(clock.now_ms(), self.shared.settings.limits.drain_ms);
        let mut next = DrainStep::Serve;
        while next == DrainStep::Serve {
            std::thread::sleep(DRAIN_POLL);
            let in_flight = self.shared.in_flight.load(Ordering::Relaxed);
            let leave_ended = leave_sent.try_recv() == Err(TryRecvError::Disconnected);
            next = watch.step(in_flight, leave_ended, clock.now_ms());
        }
        let left = self.shared.in_flight.load(Ordering::Relaxed);
        tracing::info!("router: {} stops with {left} in flight.", self.shared.id());
        self.shut_down();
        left == 0
    }

    /// Notifies the keepers that this router leaves. The returned channel disconnects when they
    /// have answered or cannot be reached.
    fn send_leave(&mut self) -> Receiver<()> {
        let (ended, leave_sent) = bounded::<()>(0);
        let shared = self.shared.clone();
        let run = move || {
            let _ended = ended;
            let leave = KeeperCall::Leave(shared.id(), shared.incarnation);
            if let Err(failure) = shared.keepers.call_leader(&leave) {
                tracing::warn!("router: cannot notify the keepers of the drain: {failure}.");
            }
        };
        let thread = std::thread::Builder::new().name("leave".to_string()).spawn(run);
        match thread {
            Ok(thread) => self.threads.push(thread),
            Err(error) => tracing::warn!(
                "router: cannot start the thread that notifies the keepers: {error}."
            ),
        }
        leave_sent
    }

    /// Stops at once, without a drain.
    pub fn stop_now(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.keepers.stop();
        self.server.stop();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for RouterNode {
    fn drop(&mut self) {
        self.shut_down();
    }
}

fn refusal_reply(refusal: ServerRefusal) -> HttpReply {
    let error = match refusal {
        ServerRefusal::Busy => {
            CallerError::not_run(503, "busy", "The router has no room.").after(1000)
        }
        ServerRefusal::BodyTooLong => {
            CallerError::not_run(413, "too_long", "The body is too long.").at("body")
        }
        ServerRefusal::HeadersTooLong => {
            CallerError::not_run(413, "too_long", "The headers are too long.").at("headers")
        }
        ServerRefusal::BodyBroken => {
            CallerError::not_run(400, "bad_request", "The body ended early.").at("body")
        }
    };
    error.to_reply("-")
}
