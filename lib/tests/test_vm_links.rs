//! Links between VMs: a large answer isn't sent again while it is still being sent, however often it is
//! requested, since after a restart of the fleet the copies would fill the link.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};
use wingshed_lib::protocol::vm_wire::{encode_frame, VmId, VmMessage};
use wingshed_lib::state::upstream_list::{EntryDefect, ListRevision, UpstreamEntry};
use wingshed_lib::transport::vm_links::LinkTable;
use wingshed_lib::transport::wire_count::WireCount;

const LOOPBACK: VmId = 0x7f00_0001;
/// The number of upstreams in a list that exceeds the socket buffers on loopback, so that the writer has to
/// wait for the reader.
const UPSTREAMS: u64 = 400_000;
/// How long a test waits for something that must happen.
const TIMEOUT: Duration = Duration::from_secs(30);

fn play(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn whole_list(upstreams: u64) -> VmMessage {
    let row = |number: u64| UpstreamEntry {
        name: format!("{:x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        service: "engines".to_string(),
        address: ([10, 0, 0, 1], 8000).into(),
        zone: "a".to_string(),
        leaving: false,
        ring_slot: Some(number.wrapping_mul(0xd134_2543_de82_ef95)),
        cold: false,
        version: Default::default(),
        started_ms: None,
        defect: EntryDefect::None,
    };
    VmMessage::List { revision: ListRevision::default(), rows: (0..upstreams).map(row).collect() }
}

/// A VM that sends one whole list over a link whose other end the test reads.
struct SendingVm {
    listener: TcpListener,
    links: LinkTable,
    wire: Rc<WireCount>,
    shared: RefCell<Option<(u64, Bytes)>>,
}

impl SendingVm {
    async fn start() -> SendingVm {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let wire = Rc::new(WireCount::default());
        let links = LinkTable::new(1, listener.local_addr().unwrap().port(), wire.clone());
        SendingVm { listener, links, wire, shared: RefCell::default() }
    }

    fn send_list(&self) {
        let make = || whole_list(UPSTREAMS);
        self.links.send_shared(LOOPBACK, "list", 7, &self.shared, make);
    }

    fn sent(&self) -> u64 {
        let rows = self.wire.rows();
        rows.iter().filter(|row| row.kind == "list").map(|row| row.sent).sum()
    }

    fn frame_bytes(&self) -> usize {
        self.shared.borrow().as_ref().map_or(0, |(_, frame)| frame.len())
    }
}

#[test]
fn a_shared_answer_that_is_still_being_sent_is_not_sent_again() {
    play(async {
        let vm = SendingVm::start().await;

        vm.send_list();
        let (mut slow, _) = vm.listener.accept().await.unwrap();
        for _ in 0..5 {
            vm.send_list();
            tokio::task::yield_now().await;
        }
        assert_eq!(vm.sent(), 1);

        let mut body = vec![0; vm.frame_bytes()];
        tokio::time::timeout(TIMEOUT, slow.read_exact(&mut body)).await.unwrap().unwrap();
        while vm.sent() < 2 {
            vm.send_list();
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn an_answer_over_a_broken_link_is_sent_again() {
    play(async {
        let vm = SendingVm::start().await;

        vm.send_list();
        drop(vm.listener.accept().await.unwrap());
        let again = async {
            while vm.sent() < 2 {
                vm.send_list();
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };

        tokio::time::timeout(TIMEOUT, again).await.unwrap();
    });
}

#[test]
fn a_vm_knows_that_a_large_answer_is_on_its_way() {
    play(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let links = LinkTable::new(1, address.port(), Rc::default());
        let arrived = Rc::new(Notify::new());
        let notify = arrived.clone();
        let handle = Rc::new(move |_, _| notify.notify_one());
        spawn_local(links.clone().accept(listener, handle, Rc::new(drop)));
        let frame = encode_frame(2, &whole_list(5000));
        let receiving = |expected: bool| {
            let links = links.clone();
            let wait = async move {
                while links.is_receiving_large() != expected {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            };
            async move { tokio::time::timeout(TIMEOUT, wait).await.unwrap() }
        };

        let mut sender = TcpStream::connect(address).await.unwrap();
        sender.write_all(&frame[..100]).await.unwrap();
        receiving(true).await;
        sender.write_all(&frame[100..]).await.unwrap();
        tokio::time::timeout(TIMEOUT, arrived.notified()).await.unwrap();
        assert!(!links.is_receiving_large());

        sender.write_all(&frame[..100]).await.unwrap();
        receiving(true).await;
        drop(sender);
        receiving(false).await;
    });
}

#[test]
fn a_frame_that_is_cut_anywhere_says_nothing() {
    play(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let links = LinkTable::new(1, address.port(), Rc::default());
        let arrived = Rc::new(RefCell::new(Vec::new()));
        let messages = arrived.clone();
        let handle = Rc::new(move |from, message: VmMessage| {
            messages.borrow_mut().push((from, message.kind()));
        });
        spawn_local(links.clone().accept(listener, handle, Rc::new(drop)));
        // One message that is compressed on the wire, and one that isn't.
        for message in [whole_list(40), VmMessage::WantDocument] {
            let frame = encode_frame(2, &message);
            for cut in 0..frame.len() {
                let mut sender = TcpStream::connect(address).await.unwrap();
                sender.write_all(&frame[..cut]).await.unwrap();
                if cut % 2 == 0 {
                    let socket = socket2::SockRef::from(&sender);
                    socket.set_linger(Some(Duration::ZERO)).unwrap();
                }
                drop(sender);
                // The rest of the frame on another link must not be read as its end.
                if cut % 16 == 0 {
                    let mut next = TcpStream::connect(address).await.unwrap();
                    next.write_all(&frame[cut..]).await.unwrap();
                }
            }
        }
        let mut whole = TcpStream::connect(address).await.unwrap();
        whole.write_all(&encode_frame(3, &VmMessage::WantDocument)).await.unwrap();
        let received = async {
            while !arrived.borrow().iter().any(|(from, _)| *from == 3) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, received).await.unwrap();

        let from_cut: Vec<_> =
            arrived.borrow().iter().filter(|(from, _)| *from != 3).cloned().collect();
        assert_eq!(from_cut.len(), 2, "the two whole frames of `cut == 0`: {from_cut:?}");
    });
}
