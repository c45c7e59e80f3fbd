//! Addresses for processes that are told where to listen before they start.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// An address that stays free for a process that ends and comes back: on a loopback address of its own, from which
/// nobody connects, so that no port of it is taken in between.
///
/// # Errors
/// Where no such address can be listened at.
pub fn free_address() -> io::Result<SocketAddr> {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    for _ in 0..1_000 {
        let n = LAST.fetch_add(1, Ordering::Relaxed);
        let host = [
            127,
            64 + (process % 128) as u8,
            (n / 250 + process / 128) as u8,
            1 + (n % 250) as u8,
        ];
        let address = SocketAddr::from((host, 4_710));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}
