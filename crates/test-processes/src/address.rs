//! Addresses for processes that are configured with where to listen before they start.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

use socket2::{Domain, Socket, Type};

/// The port of every address; the hosts differ.
const PORT: u16 = 4_710;
/// Hosts that are tried at most.
const MAX_TRIES: usize = 1_000;
/// The first second byte of the hosts, `127.64.0.0` on, and how many there are of it.
const FIRST_NET: u8 = 64;
const NETS: u32 = 128;
/// Hosts that differ in the last byte alone.
const HOSTS_PER_NET: u32 = 250;

/// An address that stays free for a process that ends and starts again: on a loopback address of its own, from which
/// nobody connects, so that no port of it is used in between.
///
/// # Errors
/// Where no such address can be listened at.
pub fn free_address() -> io::Result<SocketAddr> {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    for _ in 0..MAX_TRIES {
        let address = candidate(process, LAST.fetch_add(1, Ordering::Relaxed));
        match probe(address) {
            Ok(()) => return Ok(address),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}

/// Checks that nothing listens at an address. The socket is bound and does not listen itself: a process that another thread is
/// starting may hold it for a moment, and must not keep others from listening there.
fn probe(address: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}

/// The n-th address of a process. Processes with near ids have different ones.
fn candidate(process: u32, n: u32) -> SocketAddr {
    let net = FIRST_NET + (process % NETS) as u8;
    let subnet = (n / HOSTS_PER_NET + process / NETS) as u8;
    let host = 1 + (n % HOSTS_PER_NET) as u8;
    SocketAddr::from(([127, net, subnet, host], PORT))
}
