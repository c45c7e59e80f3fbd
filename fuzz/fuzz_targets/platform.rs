//! What clients, hosts and discovery may send: cut anywhere, never a panic.
#![no_main]

use libfuzzer_sys::fuzz_target;
use reedring_platform_protocol::discovery::{Names, WatchResponse};
use reedring_platform_protocol::{config::Config, host, client};

fuzz_target!(|input: (Vec<u8>, u8)| {
    let (bytes, size) = input;
    let (mut clients, mut hosts) = (client::Reader::default(), host::Reader::default());
    for chunk in bytes.chunks(usize::from(size).max(1)) {
        clients.push(chunk);
        while let Ok(Some(_)) = clients.next_message() {}
        hosts.push(chunk);
        while let Ok(Some(_)) = hosts.next_message() {}
    }
    let _ = WatchResponse::read(&bytes, &Names::default());
    let _ = std::str::from_utf8(&bytes).map(Config::read);
});
