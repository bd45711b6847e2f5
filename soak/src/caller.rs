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

use crate::http::{connect, CallSender};
use crate::ledger::{ReceivedAnswer, RequestEnd, RequestKind, RequestRow, RunLedger};
use crate::platform::{ATTEMPT, PROMPT, STAMP};
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
            steady_key: false,
            http10: false,
            prompt: None,
        }
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
            self.request(route, kind).await;
            let pause = self.random.gen_range(REQUEST_PAUSE);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends one request under a random attempt id, and records how it ended.
    pub async fn request(&mut self, route: &str, kind: RequestKind) -> RequestEnd {
        let attempt = format!("{:016x}", self.random.gen::<u64>());
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
        let key = self.draw_key();
        let sent_ms = self.shared.ledger.now_ms();
        let sent = self.send(route, attempt, &key, body);
        let sent = tokio::time::timeout(ANSWER_WAIT, sent).await;
        let (end, answer) = sent.unwrap_or((RequestEnd::Late, None));
        if !matches!(end, RequestEnd::Whole | RequestEnd::Status(_)) {
            self.sender = None;
        }
        let ended_ms = self.shared.ledger.now_ms();
        let row = RequestRow {
            attempt: attempt.to_string(),
            vm: self.spec.index,
            kind,
            route: route.to_string(),
            key,
            sent_ms,
            ended_ms,
            end: end.clone(),
            answer,
            old: self.http10,
        };
        self.shared.ledger.rows.borrow_mut().requests.push(row);
        end
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

    async fn send(
        &mut self,
        route: &str,
        attempt: &str,
        key: &str,
        body: &str,
    ) -> (RequestEnd, Option<ReceivedAnswer>) {
        let mut sender = match self.sender.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => match connect(self.spec.front_link(), CONNECT_WAIT).await {
                Some(sender) => sender,
                None => return (RequestEnd::Unreached, None),
            },
        };
        if sender.ready().await.is_err() {
            return (RequestEnd::Unreached, None);
        }
        let mut request = Request::builder()
            .method("POST")
            .version(if self.http10 { Version::HTTP_10 } else { Version::HTTP_11 })
            .uri(format!("/{route}/x"))
            .header("host", "a.example")
            .header(ATTEMPT, attempt)
            .header("x-key", key)
            .header("x-deadline-ms", DEADLINE_MS)
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the request head is valid");
        if let Some(prompt) = self.prompt.as_ref().and_then(|prompt| prompt.parse().ok()) {
            request.headers_mut().insert(PROMPT, prompt);
        }
        let Ok(answer) = sender.send_request(request).await else { return (RequestEnd::Cut, None) };
        let read = read_answer(answer, attempt).await;
        if !self.http10 {
            self.sender = Some(sender);
        }
        read
    }
}

/// Reads the body of an answer. The second value is none if the body ended before it was complete.
async fn read_answer(
    answer: Response<Incoming>,
    attempt: &str,
) -> (RequestEnd, Option<ReceivedAnswer>) {
    let status = answer.status().as_u16();
    let stamped = answer.headers().contains_key(STAMP);
    let named = answer.headers().get(ATTEMPT).and_then(|id| id.to_str().ok());
    let named = named.map(str::to_string);
    let body = match answer.into_body().collect().await {
        Ok(body) => body.to_bytes().to_vec(),
        Err(_) => return (RequestEnd::Cut, None),
    };
    let received = ReceivedAnswer { status, stamped, body };
    let end = match status {
        200 if named.as_deref() == Some(attempt) => RequestEnd::Whole,
        200 => RequestEnd::Wrong(format!("the answer names {named:?}")),
        status => RequestEnd::Status(status),
    };
    (end, Some(received))
}
