//! Serves a caller's connection from its first request until it closes.
//!
//! An idle connection holds only its socket: the HTTP server and its buffers are created for a run of
//! requests and freed once the last of them is answered. If the server were kept, each idle connection
//! would take some 30 KB: a VM with 220 of them and 180 connections to upstreams had 13 MB of heap in use, of
//! which only 0.6 MB was for anything else (the allocator's count, sampled each 0.5 s in a fleet of 63 VMs
//! with faults). See `docs/design/small-vms.md`.

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
use super::vm_pulse::{ConnectionActivity, WatchedBody, WatchedStream};
use super::vm_relay::AnswerBody;
use super::vm_request_record::ConnectionRecord;

/// How much longer than the configured idle timeout a caller's connection is kept, in milliseconds. A
/// caller that observes the timeout therefore never sends a request on a connection that is being closed.
const IDLE_SLACK_MS: u64 = 1500;
/// The idle timeout while no configuration is known, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;
/// The maximum size of a request head while no configuration is known, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16_384;
/// The minimum buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

type ServedAnswer = Pin<Box<dyn Future<Output = Result<Response<WatchedBody>, Infallible>>>>;

/// Serves a connection until it is closed by either end, its idle timeout, or the stop of the VM.
pub(super) async fn serve_connection<F, R>(node: Rc<VmNode>, stream: TcpStream, serve: F)
where
    F: Fn(Rc<VmNode>, Request<Incoming>) -> R + Clone + Unpin + 'static,
    R: Future<Output = Response<AnswerBody>> + 'static,
{
    let _open = ConnectionGuard::new(&node);
    let closing = node.closing.notified();
    tokio::pin!(closing);
    let (activity, record) = (ConnectionActivity::default(), ConnectionRecord::default());
    let mut idle = Some(WatchedStream::new(stream, activity.clone()));
    while let Some(stream) = idle.take() {
        let idle_ms = idle_timeout_ms(&node);
        tokio::select! {
            readable = timeout(Duration::from_millis(idle_ms), stream.wait()) => if readable.is_err() { return },
            () = closing.as_mut() => return,
        }
        let (activity, record, serve) = (activity.clone(), record.clone(), serve.clone());
        // Boxed, so that an idle connection doesn't keep the memory of this future.
        idle =
            Box::pin(run_requests(&node, stream, serve, activity, record, closing.as_mut())).await;
    }
    if activity.is_broken() {
        record.log_broken(node.now_ms());
    }
}

/// How long a connection may be idle, or a request head incomplete, in milliseconds.
fn idle_timeout_ms(node: &VmNode) -> u64 {
    let routes = node.routes.borrow();
    routes.as_ref().map_or(DEFAULT_IDLE_MS, |routes| routes.table.limits.idle_ms) + IDLE_SLACK_MS
}

/// Serves requests until the connection is idle, and returns its stream then; `None` if it was closed.
async fn run_requests<F, R>(
    node: &Rc<VmNode>,
    stream: WatchedStream,
    serve: F,
    activity: ConnectionActivity,
    record: ConnectionRecord,
    closing: Pin<&mut Notified<'_>>,
) -> Option<WatchedStream>
where
    F: Fn(Rc<VmNode>, Request<Incoming>) -> R + Clone + Unpin + 'static,
    R: Future<Output = Response<AnswerBody>> + 'static,
{
    let limits = node.routes.borrow().as_ref().map(|routes| routes.table.limits);
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.head_bytes);
    activity.begin_serving();
    let service = {
        let (node, activity) = (node.clone(), activity.clone());
        service_fn(move |mut request: Request<Incoming>| -> ServedAnswer {
            activity.note_request();
            let may_be_open_ended =
                request.version() == Version::HTTP_10 && request.method() != Method::HEAD;
            request.extensions_mut().insert(record.clone());
            let (node, activity) = (node.clone(), activity.clone());
            let answer = serve(node.clone(), request);
            Box::pin(async move {
                let answer = answer.await;
                if may_be_open_ended && is_open_ended(&answer) {
                    activity.note_open_ended();
                }
                let answer = answer.map(|body| activity.watch_body(body));
                let stopping = node.stopping_ms.get().is_some();
                Ok(if stopping { close_after(answer) } else { answer })
            })
        })
    };
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_timeout_ms(node)))
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let is_idle = tokio::select! {
        is_idle = poll_fn(|context| poll_run(&mut connection, &activity, context)) => is_idle,
        () = closing => {
            Pin::new(&mut connection).graceful_shutdown();
            let _ = (&mut connection).await;
            false
        }
    };
    is_idle.then(|| {
        let parts = connection.into_parts();
        let mut stream = parts.io.into_inner();
        stream.put_back(parts.read_buf);
        stream
    })
}

/// Whether only the end of the connection delimits the answer, to a caller that can't read chunked bodies.
fn is_open_ended(answer: &Response<AnswerBody>) -> bool {
    !matches!(answer.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        && answer.body().size_hint().exact().is_none()
        && !answer.headers().contains_key(CONTENT_LENGTH)
}

/// Polls the connection until it is idle (true) or closed (false).
///
/// A connection that seems idle is polled once more. Only then has the server found that the remainder of a
/// request's body is not being read, and either reads it to its end or closes the connection. Otherwise
/// that remainder would be parsed as the next request.
fn poll_run<S>(
    connection: &mut Connection<TokioIo<WatchedStream>, S>,
    activity: &ConnectionActivity,
    context: &mut Context<'_>,
) -> Poll<bool>
where
    S: HttpService<Incoming, ResBody = WatchedBody, Error = Infallible> + Unpin,
{
    for _ in 0..2 {
        if Pin::new(&mut *connection).poll(context).is_ready() {
            return Poll::Ready(false);
        }
        if !activity.is_idle() {
            return Poll::Pending;
        }
    }
    Poll::Ready(true)
}
