//! Drops packets that certain addresses send to a socket, as a network partition does.
//!
//! The filter is a socket option and needs no privileges. On a listener it applies to packets that open
//! connections, which are then not answered, and new connections inherit it.

use std::io;
use std::net::Ipv4Addr;
use std::os::fd::AsFd;

use socket2::SockRef;

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
