//! A decoding error states what is wrong with a frame: which field, and at which offset.

use reedring_node_protocol::*;

const HELLO: u8 = 1;
const OFFER: u8 = 2;
const PROBE: u8 = 4;
const CONFIG_REQUEST: u8 = 8;
const IN_FLIGHT: u8 = 66;
const REPORT: u8 = 71;

/// Decodes a frame with this header and body and a correct checksum, and returns the error.
fn decode_error(version: u8, kind: u8, body: &[u8]) -> FrameError {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend([version, kind, 0, 0]);
    frame.extend(body);
    let checksum = crc32c::crc32c(&frame).to_be_bytes();
    frame.extend(checksum);
    decode(&frame).unwrap_err()
}

fn invalid_field(kind: u8, field: Field, offset: usize) -> FrameError {
    FrameError::InvalidField {
        kind,
        field,
        offset,
    }
}

#[test]
fn an_error_about_a_truncated_field_names_the_field_and_its_offset() {
    assert_eq!(
        decode_error(1, PROBE, &[0; 7]),
        invalid_field(PROBE, Field::Nonce, 0)
    );
    assert_eq!(
        decode_error(1, HELLO, &[0, 1]),
        invalid_field(HELLO, Field::Name, 2)
    );
    assert_eq!(
        decode_error(1, OFFER, &[0; 18]),
        invalid_field(OFFER, Field::Deadline, 18)
    );
}

#[test]
fn an_error_about_an_invalid_value_names_the_field_and_its_offset() {
    assert_eq!(
        decode_error(1, IN_FLIGHT, &[2, 0, 0]),
        invalid_field(IN_FLIGHT, Field::Flag, 0)
    );
    let too_many_values = [&[0; 8][..], &[MAX_REPORT as u8 + 1]].concat();
    assert_eq!(
        decode_error(1, REPORT, &too_many_values),
        invalid_field(REPORT, Field::LoadReport, 8)
    );
    let infinite = [&[0; 8][..], &[1], &f64::INFINITY.to_be_bytes()].concat();
    assert_eq!(
        decode_error(1, REPORT, &infinite),
        invalid_field(REPORT, Field::LoadReport, 9)
    );
    assert_eq!(
        decode_error(2, CONFIG_REQUEST, &[9]),
        invalid_field(CONFIG_REQUEST, Field::RequestKind, 0)
    );
    let not_utf8 = [&[0, 1, 0xff][..], &[0; 16]].concat();
    assert_eq!(
        decode_error(1, HELLO, &not_utf8),
        invalid_field(HELLO, Field::Name, 0)
    );
}

#[test]
fn a_name_longer_than_the_limit_is_rejected() {
    let name = "n".repeat(MAX_NAME + 1);
    let body = [
        &(name.len() as u16).to_be_bytes()[..],
        name.as_bytes(),
        &[0; 16],
    ]
    .concat();
    assert_eq!(
        decode_error(1, HELLO, &body),
        invalid_field(HELLO, Field::Name, 0)
    );
}

#[test]
fn unknown_kinds_and_trailing_bytes_are_different_errors() {
    assert_eq!(decode_error(3, 9, &[]), FrameError::UnknownKind(9));
    assert_eq!(
        decode_error(1, CONFIG_REQUEST, &[0; 25]),
        FrameError::UnknownKind(CONFIG_REQUEST)
    );
    assert_eq!(
        decode_error(1, PROBE, &[0; 10]),
        FrameError::TrailingBytes {
            kind: PROBE,
            count: 2
        }
    );
}

#[test]
fn every_proper_prefix_of_a_frame_is_reported_as_truncated() {
    let frame = encode(&Message::Probe { nonce: 1 });
    for length in 0..frame.len() {
        assert_eq!(decode(&frame[..length]), Err(FrameError::Truncated(length)));
    }
}

#[test]
fn the_text_of_an_error_names_kind_field_and_offset() {
    let error = decode_error(1, PROBE, &[]);
    assert_eq!(
        error.to_string(),
        "frame: kind 4: the nonce can't be read at byte 0 of the body"
    );
}
