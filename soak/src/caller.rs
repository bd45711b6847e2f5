//! Callers that send requests to one VM each, and record how every request ended. A caller by HTTP/1.1
//! reuses its connection until the connection ends or a request on it gets no complete answer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, Version};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::answer_make::runs_of_events;
use crate::http::{connect, CallSender};
use crate::ledger::{
    ReceivedAnswer, RequestEnd, RequestKind, RequestRow, ResumedStream, RunLedger,
};
use crate::platform::{ATTEMPT, LAST_EVENT, PROMPT, RESUMES, STAMP};
use crate::process::VmSpec;

/// How long a caller waits for a connection.
const CONNECT_WAIT: Duration = Duration::from_secs(1);
/// How long a caller waits for a whole answer, connecting included. It is longer than the deadline that
/// the VM gets.
const ANSWER_WAIT: Duration = Duration::from_millis(4_500);
/// The deadline that a caller sends with each request, in milliseconds.
const DEADLINE_MS: &str = "4000";
/// Range of the pause between two requests of a caller, in milliseconds.
const REQUEST_PAUSE: std::ops::Range<u64> = 20..120;

/// Range of the pause before a caller resumes a stream that was cut off, in milliseconds.
const RESUME_PAUSE: std::ops::Range<u64> = 1..300;
/// How often a caller resumes one stream at most.
const MAX_RESUMPTIONS: usize = 3;

/// The body of all requests but those that end upstreams.
const DEFAULT_BODY: &str = "question";

/// The routes that callers use, with the repetition that each one permits.
const ROUTES: [(&str, RequestKind); 6] = [
    ("once", RequestKind::Once),
    ("safe", RequestKind::Safe),
    ("stream", RequestKind::Stream),
    ("resume", RequestKind::Resume),
    ("moved", RequestKind::Once),
    ("twice", RequestKind::Once),
];

/// State that all callers of a run share.
pub struct CallerShared {
    /// The ledger in which callers record their requests.
    pub ledger: Rc<RunLedger>,
    /// API keys, the newest last. The first one is never revoked.
    pub keys: RefCell<Vec<String>>,
    /// Whether callers continue to send requests.
    pub active: Cell<bool>,
}

/// A client of one VM.
pub struct SoakCaller {
    shared: Rc<CallerShared>,
    spec: VmSpec,
    random: StdRng,
    sender: Option<CallSender>,
    /// The VMs at one of which the caller resumes a stream that was cut off.
    others: Vec<VmSpec>,
    steady_key: bool,
    http10: bool,
    prompt: Option<String>,
}

impl SoakCaller {
    /// Creates a caller of the VM `spec`, whose draws are seeded by `seed`.
    pub fn new(shared: Rc<CallerShared>, spec: VmSpec, seed: u64) -> SoakCaller {
        SoakCaller {
            shared,
            spec,
            random: StdRng::seed_from_u64(seed),
            sender: None,
            others: Vec::new(),
            steady_key: false,
            http10: false,
            prompt: None,
        }
    }

    /// Makes the caller resume streams that are cut off, at one of these VMs.
    pub fn resuming_at(self, others: Vec<VmSpec>) -> SoakCaller {
        SoakCaller { others, ..self }
    }

    /// Makes the caller use the key that is never revoked.
    pub fn with_steady_key(self) -> SoakCaller {
        SoakCaller { steady_key: true, ..self }
    }

    /// Makes the caller name these parts of its prompt.
    pub fn with_prompt(self, prompt: Option<String>) -> SoakCaller {
        SoakCaller { prompt, ..self }
    }

    /// Sets whether the caller uses HTTP/1.0.
    pub fn http10(self, http10: bool) -> SoakCaller {
        SoakCaller { http10, ..self }
    }

    /// Sends requests to random routes until callers are stopped.
    pub async fn run(mut self) {
        while self.shared.active.get() {
            let (route, kind) = ROUTES[self.random.gen_range(0..ROUTES.len())];
            match kind {
                RequestKind::Resume => self.request_stream(route).await,
                _ => drop(self.request(route, kind).await),
            }
            let pause = self.random.gen_range(REQUEST_PAUSE);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Requests a stream, and resumes it at another VM each time that it is cut off after an event.
    async fn request_stream(&mut self, route: &str) {
        let mut begun: Option<ResumedStream> = None;
        let home = self.spec.clone();
        for _ in 0..=MAX_RESUMPTIONS {
            let attempt = self.draw_attempt();
            let resumed = begun.clone();
            let end =
                self.send_recorded(&attempt, route, RequestKind::Resume, DEFAULT_BODY, resumed);
            let (end, events) = end.await;
            if events > 0 {
                let stream =
                    begun.get_or_insert(ResumedStream { first: attempt.clone(), after: 0 });
                stream.after += events;
            }
            let may_resume = !self.others.is_empty() && begun.is_some();
            if end == RequestEnd::Whole || !may_resume || !self.shared.active.get() {
                break;
            }
            let pause = self.random.gen_range(RESUME_PAUSE);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.spec = self.others[self.random.gen_range(0..self.others.len())].clone();
            self.sender = None;
        }
        if self.spec.index != home.index {
            self.spec = home;
            self.sender = None;
        }
    }

    fn draw_attempt(&mut self) -> String {
        format!("{:016x}", self.random.gen::<u64>())
    }

    /// Sends one request under a random attempt id, and records how it ended.
    pub async fn request(&mut self, route: &str, kind: RequestKind) -> RequestEnd {
        let attempt = self.draw_attempt();
        self.request_as(&attempt, route, kind, DEFAULT_BODY).await
    }

    /// Sends one request with this attempt id and body, and records how it ended.
    pub async fn request_as(
        &mut self,
        attempt: &str,
        route: &str,
        kind: RequestKind,
        body: &str,
    ) -> RequestEnd {
        self.send_recorded(attempt, route, kind, body, None).await.0
    }

    /// Sends one request and records how it ended. Returns that, and how many complete events it brought.
    async fn send_recorded(
        &mut self,
        attempt: &str,
        route: &str,
        kind: RequestKind,
        body: &str,
        resumes: Option<ResumedStream>,
    ) -> (RequestEnd, u64) {
        let key = self.draw_key();
        let sent_ms = self.shared.ledger.now_ms();
        let request = self.build_request(route, attempt, &key, body, resumes.as_ref());
        let sent = tokio::time::timeout(ANSWER_WAIT, self.send(request, attempt)).await;
        let received = sent.unwrap_or_else(|_| Received::nothing(RequestEnd::Late));
        let Received { end, answer, event_runs } = received;
        if !matches!(end, RequestEnd::Whole | RequestEnd::Status(_)) {
            self.sender = None;
        }
        let events = event_runs.len() as u64;
        let row = RequestRow {
            attempt: attempt.to_string(),
            vm: self.spec.index,
            kind,
            route: route.to_string(),
            key,
            sent_ms,
            ended_ms: self.shared.ledger.now_ms(),
            end: end.clone(),
            answer,
            old: self.http10,
            resumes,
            event_runs,
        };
        self.shared.ledger.rows.borrow_mut().requests.push(row);
        (end, events)
    }

    fn draw_key(&mut self) -> String {
        let keys = self.shared.keys.borrow();
        if self.steady_key {
            return keys.first().cloned().unwrap_or_default();
        }
        // Sometimes use the key before the newest, which may have been revoked by now.
        let age = if self.random.gen_bool(0.15) { 2 } else { 1 };
        keys.get(keys.len().saturating_sub(age)).cloned().unwrap_or_default()
    }

    fn build_request(
        &self,
        route: &str,
        attempt: &str,
        key: &str,
        body: &str,
        resumes: Option<&ResumedStream>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method("POST")
            .version(if self.http10 { Version::HTTP_10 } else { Version::HTTP_11 })
            .uri(format!("/{route}/x"))
            .header("host", "a.example")
            .header(ATTEMPT, attempt)
            .header("x-key", key)
            .header("x-deadline-ms", DEADLINE_MS);
        if let Some(stream) = resumes {
            request = request.header(LAST_EVENT, stream.after).header(RESUMES, &stream.first);
        }
        let body = Full::new(Bytes::from(body.to_string()));
        let mut request = request.body(body).expect("the request head is valid");
        if let Some(prompt) = self.prompt.as_ref().and_then(|prompt| prompt.parse().ok()) {
            request.headers_mut().insert(PROMPT, prompt);
        }
        request
    }

    async fn send(&mut self, request: Request<Full<Bytes>>, attempt: &str) -> Received {
        let mut sender = match self.sender.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => match connect(self.spec.front_link(), CONNECT_WAIT).await {
                Some(sender) => sender,
                None => return Received::nothing(RequestEnd::Unreached),
            },
        };
        if sender.ready().await.is_err() {
            return Received::nothing(RequestEnd::Unreached);
        }
        let Ok(answer) = sender.send_request(request).await else {
            return Received::nothing(RequestEnd::Cut);
        };
        let read = read_answer(answer, attempt).await;
        if !self.http10 {
            self.sender = Some(sender);
        }
        read
    }
}

/// What a caller received of an answer.
struct Received {
    end: RequestEnd,
    /// The answer; none unless it ended as complete.
    answer: Option<ReceivedAnswer>,
    /// See [`RequestRow::event_runs`].
    event_runs: Vec<u64>,
}

impl Received {
    fn nothing(end: RequestEnd) -> Received {
        Received { end, answer: None, event_runs: Vec::new() }
    }
}

/// Reads the body of an answer.
async fn read_answer(answer: Response<Incoming>, attempt: &str) -> Received {
    let status = answer.status().as_u16();
    let stamped = answer.headers().contains_key(STAMP);
    let named = answer.headers().get(ATTEMPT).and_then(|id| id.to_str().ok());
    let named = named.map(str::to_string);
    let (body, is_complete) = read_body(answer.into_body()).await;
    let event_runs = runs_of_events(&body);
    if !is_complete {
        return Received { end: RequestEnd::Cut, answer: None, event_runs };
    }
    let end = match status {
        200 if named.as_deref() == Some(attempt) => RequestEnd::Whole,
        200 => RequestEnd::Wrong(format!("the answer names {named:?}")),
        status => RequestEnd::Status(status),
    };
    Received { end, answer: Some(ReceivedAnswer { status, stamped, body }), event_runs }
}

/// Reads a body up to its end, or up to where it breaks off. Returns whether it is complete.
async fn read_body(mut body: Incoming) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return (bytes, false) };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    (bytes, true)
}
