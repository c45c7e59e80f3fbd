//! Bytes of a link and of a client: cut into frames or refused, and what is read is written the same.
#![no_main]

use libfuzzer_sys::fuzz_target;
use reedring_drmaa::framing;
use reedring_node_protocol::{FrameDecoder, decode, encode};

fuzz_target!(|bytes: &[u8]| {
    let mut reader = FrameDecoder::default();
    reader.push(bytes);
    while let Ok(Some((message, _))) = reader.next_message() {
        assert_eq!(decode(&encode(&message)).as_ref(), Ok(&message));
    }
    let mut reader = framing::Reader::new(1 << 16);
    reader.push(bytes);
    while let Ok(Some(_)) = reader.next_body() {}
});
