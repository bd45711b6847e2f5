//! Partitions single VMs from a stand-in, told apart by the addresses from which they connect.
//!
//! Packets are dropped by a filter on the stand-in's sockets, which is a socket option and needs no privileges.
//! On a listener it applies to packets that open connections, which are then not answered, and new connections
//! inherit it.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::os::fd::AsFd;
use std::time::Duration;

use socket2::SockRef;

/// How a partition treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionForm {
    /// No packet passes.
    Silent,
    /// Open connections are reset, and new ones as soon as they are established.
    Reset,
    /// Open connections live on, and new ones are reset as soon as they are established.
    NewReset,
    /// Open connections live on, and no packet of new ones passes.
    NewSilent,
}

impl PartitionForm {
    /// All forms.
    pub const ALL: [PartitionForm; 4] = [
        PartitionForm::Silent,
        PartitionForm::Reset,
        PartitionForm::NewReset,
        PartitionForm::NewSilent,
    ];
}

/// The addresses that are partitioned from a stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Partition(pub BTreeMap<Ipv4Addr, PartitionForm>);

impl Partition {
    fn form(&self, source: IpAddr) -> Option<PartitionForm> {
        match source {
            IpAddr::V4(source) => self.0.get(&source).copied(),
            IpAddr::V6(_) => None,
        }
    }

    fn sources(&self, forms: &[PartitionForm]) -> Vec<Ipv4Addr> {
        let rows = self.0.iter().filter(|(_, form)| forms.contains(form));
        rows.map(|(source, _)| *source).collect()
    }

    /// Applies the partition to a listener.
    pub fn apply_to_listener(&self, listener: &impl AsFd) -> io::Result<()> {
        drop_sources(listener, &self.sources(&[PartitionForm::Silent, PartitionForm::NewSilent]))
    }

    /// Applies the partition to an open connection with `source`. Returns whether it is to be closed, which
    /// resets it.
    pub fn apply_to_open(&self, stream: &impl AsFd, source: IpAddr) -> io::Result<bool> {
        drop_sources(stream, &self.sources(&[PartitionForm::Silent]))?;
        reset_if(stream, self.form(source) == Some(PartitionForm::Reset))
    }

    /// Applies the partition to a connection with `source` that was just accepted. Returns whether it is to be
    /// closed, which resets it.
    pub fn apply_to_accepted(&self, stream: &impl AsFd, source: IpAddr) -> io::Result<bool> {
        let reset = [Some(PartitionForm::Reset), Some(PartitionForm::NewReset)];
        reset_if(stream, reset.contains(&self.form(source)))
    }
}

fn reset_if(stream: &impl AsFd, reset: bool) -> io::Result<bool> {
    if reset {
        SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    }
    Ok(reset)
}

/// Loads a 32-bit word of the packet.
const LOAD_WORD: u16 = 0x20;
/// Jumps if the loaded word equals the operand.
const JUMP_IF_EQUAL: u16 = 0x15;
/// Ends the filter. The operand is how many bytes of the packet are kept.
const RETURN: u16 = 0x06;
/// The offset of the sender's address in an IPv4 packet, from the start of the network header
/// (`SKF_NET_OFF` of `linux/filter.h`).
const SENDER_OFFSET: u32 = 0xfff0_0000 + 12;

fn instruction(code: u16, jump: u8, operand: u32) -> libc::sock_filter {
    libc::sock_filter { code, jt: jump, jf: 0, k: operand }
}

/// Drops from now on what `sources` send to the socket, and nothing else. There may be 200 sources.
pub fn drop_sources(socket: &impl AsFd, sources: &[Ipv4Addr]) -> io::Result<()> {
    let mut program = vec![instruction(LOAD_WORD, 0, SENDER_OFFSET)];
    for (at, source) in sources.iter().enumerate() {
        let to_end = (sources.len() - at) as u8;
        program.push(instruction(JUMP_IF_EQUAL, to_end, u32::from(*source)));
    }
    program.push(instruction(RETURN, 0, u32::MAX));
    program.push(instruction(RETURN, 0, 0));
    SockRef::from(socket).attach_filter(&program)
}
