//! Ends of connections pass a link as what they are: clean or reset.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use wingshed_soak::link::{LinkMode, LinkProxy};

fn local<F: std::future::Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(future))
}

/// Returns an address whose port was free a moment ago.
async fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Returns a link and both ends of one connection through it, after bytes have passed over it.
async fn joined() -> (LinkProxy, TcpStream, TcpStream) {
    let far = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let from = free().await;
    let link = LinkProxy::start(from, far.local_addr().unwrap()).await.unwrap();
    let mut near = TcpStream::connect(from).await.unwrap();
    let (mut far, _) = far.accept().await.unwrap();
    far.write_all(b"some").await.unwrap();
    let mut some = [0; 4];
    near.read_exact(&mut some).await.unwrap();
    (link, near, far)
}

/// Returns what the near end reads next: a number of bytes, 0 for a clean end, or an error.
async fn next(near: &mut TcpStream) -> Result<usize, std::io::ErrorKind> {
    let read = tokio::time::timeout(Duration::from_secs(5), near.read(&mut [0; 8])).await;
    read.expect("something comes").map_err(|error| error.kind())
}

#[test]
fn a_reset_passes_as_a_reset_and_a_clean_end_as_a_clean_end() {
    local(async {
        let (_link, mut near, far) = joined().await;
        drop(far);
        assert_eq!(next(&mut near).await, Ok(0));

        let (_link, mut near, far) = joined().await;
        socket2::SockRef::from(&far).set_linger(Some(Duration::ZERO)).unwrap();
        drop(far);
        assert_eq!(next(&mut near).await, Err(std::io::ErrorKind::ConnectionReset));
    });
}

#[test]
fn a_link_that_is_reset_resets_its_connections() {
    local(async {
        let (link, mut near, _far) = joined().await;
        link.set(LinkMode::Reset);
        assert_eq!(next(&mut near).await, Err(std::io::ErrorKind::ConnectionReset));
    });
}
