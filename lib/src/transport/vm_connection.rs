//! A caller's connection, from its first request to its end.
//!
//! Between requests a connection keeps its socket and nothing else: the server and its buffers are
//! made for a run of requests and given back once the last of them is answered. With the server kept,
//! each connection that rested took some 30 KB; a VM with 220 of them and 180 to upstreams had 13 MB
//! in use, of which 0.6 was all the rest (allocator's own count, each 0.5 s of a troubled day of 63
//! VMs). See `docs/design/small-vms.md`.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::server::conn::http1::{self, Connection};
use hyper::service::{service_fn, HttpService};
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::futures::Notified;
use tokio::time::timeout;

use super::vm_answer::close_after;
use super::vm_guard::ConnectionGuard;
use super::vm_node::VmNode;
use super::vm_pulse::{ConnectionPulse, WatchedBody, WatchedStream};
use super::vm_relay::AnswerBody;
use super::vm_request_record::ConnectionRecord;

/// A caller's connection may rest this much longer than the configuration says, in milliseconds, so
/// that a caller who keeps the bound never meets a closing connection.
const IDLE_SLACK_MS: u64 = 1500;
/// The rest allowed before any configuration is known, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;
/// The largest head before any configuration is known, and the least that the library takes.
const DEFAULT_HEAD_BYTES: usize = 16_384;
const MIN_BUFFER_BYTES: usize = 8192;

type ServedAnswer = Pin<Box<dyn Future<Output = Result<Response<WatchedBody>, Infallible>>>>;

/// Serves a connection to its end.
pub(super) async fn serve_connection<F, R>(node: Rc<VmNode>, stream: TcpStream, serve: F)
where
    F: Fn(Rc<VmNode>, Request<Incoming>) -> R + Clone + Unpin + 'static,
    R: Future<Output = Response<AnswerBody>> + 'static,
{
    let _open = ConnectionGuard::new(&node);
    let closing = node.closing.notified();
    tokio::pin!(closing);
    let (pulse, record) = (ConnectionPulse::default(), ConnectionRecord::default());
    let mut resting = Some(WatchedStream::new(stream, pulse.clone()));
    while let Some(stream) = resting.take() {
        let rest_ms = rest_ms(&node);
        tokio::select! {
            came = timeout(Duration::from_millis(rest_ms), stream.wait()) => if came.is_err() { return },
            () = closing.as_mut() => return,
        }
        let (pulse, record, serve) = (pulse.clone(), record.clone(), serve.clone());
        // Boxed, so that a connection at rest doesn't hold the room of a run.
        resting =
            Box::pin(run_requests(&node, stream, serve, pulse, record, closing.as_mut())).await;
    }
    if pulse.is_broken() {
        record.log_broken(node.now_ms());
    }
}

fn rest_ms(node: &VmNode) -> u64 {
    let routes = node.routes.borrow();
    routes.as_ref().map_or(DEFAULT_IDLE_MS, |routes| routes.table.limits.idle_ms) + IDLE_SLACK_MS
}

/// Serves requests until the connection rests, and gives it back then.
async fn run_requests<F, R>(
    node: &Rc<VmNode>,
    stream: WatchedStream,
    serve: F,
    pulse: ConnectionPulse,
    record: ConnectionRecord,
    closing: Pin<&mut Notified<'_>>,
) -> Option<WatchedStream>
where
    F: Fn(Rc<VmNode>, Request<Incoming>) -> R + Clone + Unpin + 'static,
    R: Future<Output = Response<AnswerBody>> + 'static,
{
    let limits = node.routes.borrow().as_ref().map(|routes| routes.table.limits);
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.head_bytes);
    pulse.begin_run();
    let service = {
        let (node, pulse) = (node.clone(), pulse.clone());
        service_fn(move |mut request: Request<Incoming>| -> ServedAnswer {
            pulse.begin_request();
            let may_be_open_ended =
                request.version() == Version::HTTP_10 && request.method() != Method::HEAD;
            request.extensions_mut().insert(record.clone());
            let (node, pulse) = (node.clone(), pulse.clone());
            let answer = serve(node.clone(), request);
            Box::pin(async move {
                let answer = answer.await;
                if may_be_open_ended && is_open_ended(&answer) {
                    pulse.note_open_ended();
                }
                let answer = answer.map(|body| pulse.watch_body(body));
                let stopping = node.stopping_ms.get().is_some();
                Ok(if stopping { close_after(answer) } else { answer })
            })
        })
    };
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(rest_ms(node)))
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let rests = tokio::select! {
        rests = poll_fn(|context| poll_run(&mut connection, &pulse, context)) => rests,
        () = closing => {
            Pin::new(&mut connection).graceful_shutdown();
            let _ = (&mut connection).await;
            false
        }
    };
    rests.then(|| {
        let parts = connection.into_parts();
        let mut stream = parts.io.into_inner();
        stream.put_back(parts.read_buf);
        stream
    })
}

/// Whether nothing but the end of the connection delimits the answer to a caller that reads no chunks.
fn is_open_ended(answer: &Response<AnswerBody>) -> bool {
    !matches!(answer.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        && answer.body().size_hint().exact().is_none()
        && !answer.headers().contains_key(CONTENT_LENGTH)
}

/// Ready with whether the connection rests, or else has ended.
///
/// A connection that seems to rest is polled once more: only then has the server seen that nothing
/// reads the rest of a request's body, reads that to its end, or closes. Else the rest would be taken
/// for the next request.
fn poll_run<S>(
    connection: &mut Connection<TokioIo<WatchedStream>, S>,
    pulse: &ConnectionPulse,
    context: &mut Context<'_>,
) -> Poll<bool>
where
    S: HttpService<Incoming, ResBody = WatchedBody, Error = Infallible> + Unpin,
{
    for _ in 0..2 {
        if Pin::new(&mut *connection).poll(context).is_ready() {
            return Poll::Ready(false);
        }
        if !pulse.is_at_rest() {
            return Poll::Pending;
        }
    }
    Poll::Ready(true)
}
