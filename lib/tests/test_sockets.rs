//! The options of sockets, on loopback connections whose peer falls silent.

use std::net::Ipv4Addr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use wingshed_lib::transport::vm_sockets::set_upstream_stream;
use wingshed_standin::partition::drop_sources;

#[test]
fn an_upstream_that_is_silent_for_a_second_keeps_a_connection_that_waits() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut waiting = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        set_upstream_stream(&waiting);
        let (peer, _) = listener.accept().await.unwrap();

        tokio::time::sleep(Duration::from_millis(3700)).await;
        drop_sources(&peer, &[Ipv4Addr::LOCALHOST]).unwrap();
        tokio::time::sleep(Duration::from_millis(1100)).await;
        drop_sources(&peer, &[]).unwrap();
        let read = waiting.read_u8();
        let broken = tokio::time::timeout(Duration::from_millis(1500), read).await;

        assert!(broken.is_err(), "the connection broke: {broken:?}");
    });
}
