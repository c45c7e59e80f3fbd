//! Frames of the JSON-RPC messages: a header `Content-Length: N` and an empty line, each ended by CR LF,
//! then N bytes of JSON. Other header lines are passed over.

use winnow::ascii::{digit1, space0};
use winnow::combinator::{alt, repeat, terminated};
use winnow::error::ErrMode;
use winnow::prelude::*;
use winnow::stream::Partial;
use winnow::token::{literal, take_while};

/// Bytes of a header at most, its empty line included.
pub const MAX_HEADER: usize = 1024;

/// Where a frame's body stands in the bytes read so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Bytes of the header.
    pub header: usize,
    /// Bytes of the body, which follows the header.
    pub body: usize,
}

/// Why bytes are no frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The header has another form.
    #[error("the header is no `Content-Length: N` ended by an empty line")]
    Header,
    /// The header never ends.
    #[error("the header is longer than {MAX_HEADER} bytes")]
    LongHeader,
    /// The body is over the limit.
    #[error("the body has {0} bytes, at most {1} fit")]
    LongBody(u64, usize),
}

type Input<'a> = Partial<&'a [u8]>;

fn length(input: &mut Input<'_>) -> ModalResult<Option<u64>> {
    let name = literal(winnow::ascii::Caseless("content-length:"));
    let digits = digit1.try_map(|digits: &[u8]| {
        std::str::from_utf8(digits)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
            .ok_or(FrameError::Header)
    });
    terminated((name, space0, digits).map(|(_, _, n)| Some(n)), "\r\n").parse_next(input)
}

fn other(input: &mut Input<'_>) -> ModalResult<Option<u64>> {
    let token = take_while(1.., |b: u8| b.is_ascii_alphanumeric() || b == b'-');
    let text = take_while(0.., |b: u8| b != b'\r' && b != b'\n');
    (token, ':', text, "\r\n").map(|_| None).parse_next(input)
}

fn header(input: &mut Input<'_>) -> ModalResult<u64> {
    let lines: Vec<Option<u64>> = repeat(1.., alt((length, other))).parse_next(input)?;
    "\r\n".parse_next(input)?;
    let mut lengths = lines.into_iter().flatten();
    match (lengths.next(), lengths.next()) {
        (Some(length), None) => Ok(length),
        // Two lengths are how one message is passed off as two.
        _ => Err(ErrMode::from_input(input)),
    }
}

/// The frame at the start of `bytes`; `None` while its header is not whole.
///
/// # Errors
/// See [`FrameError`]; the connection can't be read on after one.
pub fn frame(bytes: &[u8], max_body: usize) -> Result<Option<Frame>, FrameError> {
    let mut input = Partial::new(bytes);
    match header.parse_next(&mut input) {
        Ok(body) if body > max_body as u64 => Err(FrameError::LongBody(body, max_body)),
        Ok(body) => Ok(Some(Frame {
            header: bytes.len() - input.len(),
            body: body as usize,
        })),
        Err(ErrMode::Incomplete(_)) if bytes.len() < MAX_HEADER => Ok(None),
        Err(ErrMode::Incomplete(_)) => Err(FrameError::LongHeader),
        Err(_) => Err(FrameError::Header),
    }
}

/// A message in its frame.
pub fn wrap(body: &[u8]) -> Vec<u8> {
    let mut out = format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}

/// Bytes as they come from a connection, cut into bodies.
#[derive(Debug)]
pub struct Reader {
    buffer: Vec<u8>,
    max_body: usize,
}

impl Reader {
    /// A reader that takes bodies of up to `max_body` bytes.
    pub fn new(max_body: usize) -> Self {
        Self {
            buffer: Vec::new(),
            max_body,
        }
    }

    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole body, if there is one.
    ///
    /// # Errors
    /// As [`frame`].
    pub fn next_body(&mut self) -> Result<Option<Vec<u8>>, FrameError> {
        let Some(Frame { header, body }) = frame(&self.buffer, self.max_body)? else {
            return Ok(None);
        };
        if self.buffer.len() < header + body {
            return Ok(None);
        }
        let rest = self.buffer.split_off(header + body);
        let mut whole = std::mem::replace(&mut self.buffer, rest);
        whole.drain(..header);
        Ok(Some(whole))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_frame_is_found_once_its_header_is_whole() {
        let bytes = wrap(b"{}");
        for cut in 0..bytes.len() - 2 {
            assert_eq!(frame(&bytes[..cut], 10), Ok(None), "{cut}");
        }
        assert_eq!(
            frame(&bytes, 10),
            Ok(Some(Frame {
                header: 21,
                body: 2
            }))
        );
        let other = b"Content-Type: application/json\r\ncontent-length: 2\r\n\r\n{}";
        assert_eq!(
            frame(other, 10),
            Ok(Some(Frame {
                header: 53,
                body: 2
            }))
        );
    }

    #[test]
    fn odd_headers_are_refused() {
        assert_eq!(frame(b"GET / HTTP/1.1\r\n", 10), Err(FrameError::Header));
        assert_eq!(
            frame(b"Content-Length: 11\r\n\r\n", 10),
            Err(FrameError::LongBody(11, 10))
        );
        let twice = b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n{}";
        assert_eq!(frame(twice, 10), Err(FrameError::Header));
        let endless = vec![b'a'; MAX_HEADER];
        assert_eq!(frame(&endless, 10), Err(FrameError::LongHeader));
        let huge = b"Content-Length: 99999999999999999999\r\n\r\n";
        assert_eq!(frame(huge, 10), Err(FrameError::Header));
    }

    proptest! {
        #[test]
        fn bodies_come_out_whole_however_they_are_cut(
            bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
            step in 1_usize..9,
        ) {
            let bytes: Vec<u8> = bodies.iter().flat_map(|body| wrap(body)).collect();
            let (mut reader, mut found) = (Reader::new(64), Vec::new());
            for chunk in bytes.chunks(step) {
                reader.push(chunk);
                while let Some(body) = reader.next_body().unwrap() {
                    found.push(body);
                }
            }
            prop_assert_eq!(found, bodies);
        }

        #[test]
        fn noise_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = frame(&bytes, 100);
        }
    }
}
