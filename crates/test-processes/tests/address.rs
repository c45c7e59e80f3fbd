//! Addresses for processes that are started while others are.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use reedring_test_processes::free_address;

/// Guards against addresses that are in use when their process starts: the socket that probed the address was inherited by a
/// process that another thread was starting, and stayed open there until that process executed its program.
#[test]
fn a_free_address_can_be_listened_at_while_other_threads_start_processes() {
    const ADDRESSES: usize = 4_000;
    const STARTING_THREADS: usize = 4;
    let is_done = AtomicBool::new(false);
    let failures = thread::scope(|scope| {
        for _ in 0..STARTING_THREADS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    Command::new("true").status().expect("the program `true`");
                }
            });
        }
        let failures: Vec<std::io::Error> = (0..ADDRESSES)
            .filter_map(|_| {
                let address = free_address().expect("a free address");
                TcpListener::bind(address).err()
            })
            .collect();
        is_done.store(true, Ordering::Relaxed);
        failures
    });
    let first = failures.first();
    assert!(failures.is_empty(), "{}: {first:?}", failures.len());
}
