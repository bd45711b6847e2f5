//! Serves the list of upstreams over HTTP, in pages, as the platform does.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::link::LinkProxy;
use crate::platform::entry::entry;
use crate::upstream::UpstreamSpec;

/// Maximum number of entries on one page.
const PAGE_ROWS: usize = 4;

/// One entry of the list.
#[derive(Clone, Debug)]
pub struct ListRow {
    /// The service, zone and addresses of the upstream.
    pub spec: UpstreamSpec,
    /// The id of the incarnation.
    pub id: String,
    /// When the incarnation started, in Unix milliseconds.
    pub started_ms: u64,
    /// The version of the software of the upstream.
    pub version: String,
    /// Whether the list shows the upstream as leaving.
    pub leaving: bool,
}

/// The content of the list.
#[derive(Default)]
pub struct ListRows {
    /// The entries by the index of their upstream; none for an upstream that is not listed.
    pub rows: Vec<Option<ListRow>>,
    /// Whether the list also contains entries that no reader can parse.
    pub unreadable: bool,
}

impl ListRows {
    fn values(&self) -> Vec<Value> {
        let mut values: Vec<Value> = Vec::new();
        if self.unreadable {
            values.push(json!({"id": 7, "service": null, "address": "nowhere", "state": {}}));
            values.push(json!("no entry"));
        }
        values.extend(self.rows.iter().flatten().map(entry));
        values
    }

    fn page(&self, token: usize) -> Value {
        let values = self.values();
        let until = (token + PAGE_ROWS).min(values.len());
        let next = (until < values.len()).then(|| format!("p-{until}"));
        json!({"instances": values.get(token..until).unwrap_or_default(), "nextToken": next})
    }
}

/// Serves the list at `inner`, behind a link at `listed`, the address that VMs use. Returns the link.
pub async fn serve_list(
    listed: SocketAddr,
    inner: SocketAddr,
    rows: Rc<RefCell<ListRows>>,
) -> std::io::Result<LinkProxy> {
    let listener = TcpListener::bind(inner).await?;
    let link = LinkProxy::start(listed, inner).await?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let rows = rows.clone();
            let service = service_fn(move |request| page_answer(request, rows.clone()));
            spawn_local(async move {
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(link)
}

async fn page_answer<T>(
    request: Request<T>,
    rows: Rc<RefCell<ListRows>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let query = request.uri().query().unwrap_or_default();
    let token = query.split('&').find_map(|pair| pair.strip_prefix("pageToken=p-"));
    let token = token.and_then(|token| token.parse().ok()).unwrap_or(0);
    let body = rows.borrow().page(token).to_string();
    let answer = Response::builder().header("content-type", "application/json");
    Ok(answer.body(Full::new(Bytes::from(body))).expect("the answer head is valid"))
}
