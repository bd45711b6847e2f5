//! Callers: each keeps a connection to its VM until the VM or the network ends it.

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
use crate::ledger::{AskEnd, AskKind, AskRow, RunLedger, SeenAnswer};
use crate::platform::{ATTEMPT, STAMP};
use crate::process::VmPlace;

/// How long a caller waits for a connection.
const CONNECT_WAIT: Duration = Duration::from_secs(1);
/// How long a caller waits for a whole answer.
const ANSWER_WAIT: Duration = Duration::from_millis(4_500);
/// The deadline that a caller sends, in milliseconds.
const DEADLINE_MS: &str = "4000";
/// The pause of a caller between two requests.
const ASK_PAUSE: std::ops::Range<u64> = 20..120;

/// What callers ask, all the same.
const USUAL_BODY: &str = "question";

/// The routes that callers use.
const ROUTES: [(&str, AskKind); 6] = [
    ("once", AskKind::Once),
    ("safe", AskKind::Safe),
    ("stream", AskKind::Stream),
    ("resume", AskKind::Resume),
    ("moved", AskKind::Once),
    ("twice", AskKind::Once),
];

/// What all callers share.
pub struct CallerShared {
    /// Where they write.
    pub ledger: Rc<RunLedger>,
    /// Keys, the newest last.
    pub keys: RefCell<Vec<String>>,
    /// Whether callers go on.
    pub asking: Cell<bool>,
}

/// One caller.
pub struct SoakCaller {
    shared: Rc<CallerShared>,
    place: VmPlace,
    random: StdRng,
    sender: Option<CallSender>,
    steady: bool,
    old: bool,
}

impl SoakCaller {
    /// A caller of the VM at `place`.
    pub fn new(shared: Rc<CallerShared>, place: VmPlace, seed: u64) -> SoakCaller {
        SoakCaller {
            shared,
            place,
            random: StdRng::seed_from_u64(seed),
            sender: None,
            steady: false,
            old: false,
        }
    }

    /// The same with the key that is never taken away.
    pub fn steady(self) -> SoakCaller {
        SoakCaller { steady: true, ..self }
    }

    /// The same, by HTTP/1.0 if `old`.
    pub fn old(self, old: bool) -> SoakCaller {
        SoakCaller { old, ..self }
    }

    /// Asks until callers shall stop.
    pub async fn ask_on(mut self) {
        while self.shared.asking.get() {
            let (route, kind) = ROUTES[self.random.gen_range(0..ROUTES.len())];
            self.ask(route, kind).await;
            let pause = self.random.gen_range(ASK_PAUSE);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// One attempt, noted.
    pub async fn ask(&mut self, route: &str, kind: AskKind) -> AskEnd {
        let attempt = format!("{:016x}", self.random.gen::<u64>());
        self.ask_as(&attempt, route, kind, USUAL_BODY).await
    }

    /// One attempt of this name and with this body, noted.
    pub async fn ask_as(
        &mut self,
        attempt: &str,
        route: &str,
        kind: AskKind,
        body: &str,
    ) -> AskEnd {
        let key = self.draw_key();
        let sent_ms = self.shared.ledger.now_ms();
        let sent = self.send(route, attempt, &key, body);
        let sent = tokio::time::timeout(ANSWER_WAIT, sent).await;
        let (end, answer) = sent.unwrap_or((AskEnd::Late, None));
        if !matches!(end, AskEnd::Whole | AskEnd::Status(_)) {
            self.sender = None;
        }
        let ended_ms = self.shared.ledger.now_ms();
        let row = AskRow {
            attempt: attempt.to_string(),
            vm: self.place.index,
            kind,
            route: route.to_string(),
            key,
            sent_ms,
            ended_ms,
            end: end.clone(),
            answer,
            old: self.old,
        };
        self.shared.ledger.rows.borrow_mut().asks.push(row);
        end
    }

    fn draw_key(&mut self) -> String {
        let keys = self.shared.keys.borrow();
        if self.steady {
            return keys.first().cloned().unwrap_or_default();
        }
        // Now and then the key before the newest, which may be taken away by now.
        let back = if self.random.gen_bool(0.15) { 2 } else { 1 };
        keys.get(keys.len().saturating_sub(back)).cloned().unwrap_or_default()
    }

    async fn send(
        &mut self,
        route: &str,
        attempt: &str,
        key: &str,
        body: &str,
    ) -> (AskEnd, Option<SeenAnswer>) {
        let mut sender = match self.sender.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => match connect(self.place.front_link(), CONNECT_WAIT).await {
                Some(sender) => sender,
                None => return (AskEnd::Unreached, None),
            },
        };
        if sender.ready().await.is_err() {
            return (AskEnd::Unreached, None);
        }
        let request = Request::builder()
            .method("POST")
            .version(if self.old { Version::HTTP_10 } else { Version::HTTP_11 })
            .uri(format!("/{route}/x"))
            .header("host", "a.example")
            .header(ATTEMPT, attempt)
            .header("x-key", key)
            .header("x-deadline-ms", DEADLINE_MS)
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("a plain head");
        let Ok(answer) = sender.send_request(request).await else { return (AskEnd::Cut, None) };
        let read = read_answer(answer, attempt).await;
        if !self.old {
            self.sender = Some(sender);
        }
        read
    }
}

async fn read_answer(answer: Response<Incoming>, attempt: &str) -> (AskEnd, Option<SeenAnswer>) {
    let status = answer.status().as_u16();
    let stamped = answer.headers().contains_key(STAMP);
    let named = answer.headers().get(ATTEMPT).and_then(|id| id.to_str().ok());
    let named = named.map(str::to_string);
    let body = match answer.into_body().collect().await {
        Ok(body) => body.to_bytes().to_vec(),
        Err(_) => return (AskEnd::Cut, None),
    };
    let seen = SeenAnswer { status, stamped, body };
    let end = match status {
        200 if named.as_deref() == Some(attempt) => AskEnd::Whole,
        200 => AskEnd::Wrong(format!("the answer names {named:?}")),
        status => AskEnd::Status(status),
    };
    (end, Some(seen))
}
