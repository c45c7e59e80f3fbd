//! Errors say what is wrong with a frame, in which field and where.

use reedring_node_protocol::*;

const HELLO: u8 = 1;
const OFFER: u8 = 2;
const PROBE: u8 = 4;
const CONFIG_REQUEST: u8 = 8;
const IN_FLIGHT: u8 = 66;
const REPORT: u8 = 71;

/// What decoding the frame of this header and body fails with.
fn error(version: u8, kind: u8, body: &[u8]) -> FrameError {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend([version, kind, 0, 0]);
    frame.extend(body);
    let checksum = crc32c::crc32c(&frame).to_be_bytes();
    frame.extend(checksum);
    decode(&frame).unwrap_err()
}

fn invalid(kind: u8, field: Field, offset: usize) -> FrameError {
    FrameError::InvalidField {
        kind,
        field,
        offset,
    }
}

#[test]
fn a_field_that_is_cut_short_is_named() {
    assert_eq!(error(1, PROBE, &[0; 7]), invalid(PROBE, Field::Nonce, 0));
    assert_eq!(error(1, HELLO, &[0, 1]), invalid(HELLO, Field::Name, 2));
    assert_eq!(
        error(1, OFFER, &[0; 18]),
        invalid(OFFER, Field::Deadline, 18)
    );
}

#[test]
fn a_value_that_can_not_be_is_named() {
    assert_eq!(
        error(1, IN_FLIGHT, &[2, 0, 0]),
        invalid(IN_FLIGHT, Field::Flag, 0)
    );
    let too_many_values = [&[0; 8][..], &[MAX_REPORT as u8 + 1]].concat();
    assert_eq!(
        error(1, REPORT, &too_many_values),
        invalid(REPORT, Field::LoadReport, 8)
    );
    let infinite = [&[0; 8][..], &[1], &f64::INFINITY.to_be_bytes()].concat();
    assert_eq!(
        error(1, REPORT, &infinite),
        invalid(REPORT, Field::LoadReport, 9)
    );
    assert_eq!(
        error(2, CONFIG_REQUEST, &[9]),
        invalid(CONFIG_REQUEST, Field::RequestKind, 0)
    );
    let not_utf8 = [&[0, 1, 0xff][..], &[0; 16]].concat();
    assert_eq!(error(1, HELLO, &not_utf8), invalid(HELLO, Field::Name, 0));
}

#[test]
fn a_name_over_its_limit_is_not_read() {
    let name = "n".repeat(MAX_NAME + 1);
    let body = [
        &(name.len() as u16).to_be_bytes()[..],
        name.as_bytes(),
        &[0; 16],
    ]
    .concat();
    assert_eq!(error(1, HELLO, &body), invalid(HELLO, Field::Name, 0));
}

#[test]
fn unknown_kinds_and_bytes_after_the_last_field_are_told_apart() {
    assert_eq!(error(3, 9, &[]), FrameError::UnknownKind(9));
    assert_eq!(
        error(1, CONFIG_REQUEST, &[0; 25]),
        FrameError::UnknownKind(CONFIG_REQUEST)
    );
    assert_eq!(
        error(1, PROBE, &[0; 10]),
        FrameError::TrailingBytes {
            kind: PROBE,
            count: 2
        }
    );
}

#[test]
fn a_frame_that_is_cut_short_is_no_message() {
    let frame = encode(&Message::Probe { nonce: 1 });
    for length in 0..frame.len() {
        assert_eq!(decode(&frame[..length]), Err(FrameError::Truncated(length)));
    }
}

#[test]
fn errors_read_as_english() {
    let error = error(1, PROBE, &[]);
    assert_eq!(
        error.to_string(),
        "frame: kind 4: the nonce can't be read at byte 0 of the body"
    );
}
