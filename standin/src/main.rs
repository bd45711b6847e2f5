//! Runs stand-in engines and plain upstreams in a process of their own, to start an example by hand:
//! `wingshed-standin ENGINES PLAINS FIRST_PORT`.

use std::net::SocketAddr;
use std::time::Duration;

use wingshed_standin::engine::{EngineOptions, EngineStandIn};
use wingshed_standin::plain::PlainStandIn;

fn main() {
    let numbers: Vec<u16> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let [engines, plains, first_port] = numbers[..] else {
        eprintln!("usage: wingshed-standin ENGINES PLAINS FIRST_PORT");
        std::process::exit(2);
    };
    let address = |at: u16| SocketAddr::from(([127, 0, 0, 1], first_port + at));
    let options = EngineOptions { piece_ms: 20, prefill_per_ms: 8, ..EngineOptions::default() };
    let running: Vec<EngineStandIn> =
        (0..engines).map(|at| EngineStandIn::start_at(address(at), options)).collect();
    let plain: Vec<PlainStandIn> =
        (engines..engines + plains).map(|at| PlainStandIn::start_at(address(at))).collect();
    println!(
        "{} engines and {} plain upstreams from port {first_port}.",
        running.len(),
        plain.len()
    );
    loop {
        std::thread::sleep(Duration::from_secs(3600));
    }
}
