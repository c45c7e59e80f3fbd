//! What owners, hosts and the notice board may send: cut anywhere, never a panic.
#![no_main]

use libfuzzer_sys::fuzz_target;
use reedring_platform_protocol::discovery::{Names, WatchResponse};
use reedring_platform_protocol::{config::Config, host, client};

fuzz_target!(|input: (Vec<u8>, u8)| {
    let (bytes, size) = input;
    let (mut owners, mut hosts) = (client::Reader::default(), host::Reader::default());
    for chunk in bytes.chunks(usize::from(size).max(1)) {
        owners.push(chunk);
        while let Ok(Some(_)) = owners.next_message() {}
        hosts.push(chunk);
        while let Ok(Some(_)) = hosts.next_message() {}
    }
    let _ = WatchResponse::read(&bytes, &Names::default());
    let _ = std::str::from_utf8(&bytes).map(Config::read);
});
