//! One connection: a call out, its answer in.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::time::Duration;

use reedring_drmaa::framing::{Reader, wrap};
use reedring_drmaa::rpc::{Answer, Call, MAX_RESPONSE, Request, Response};
use reedring_drmaa::{Error, Result};

use crate::contact::{Contact, Place};

/// A connection that takes longer counts as failed.
const CONNECT: Duration = Duration::from_secs(5);

enum Stream {
    Tcp(TcpStream),
    Unix(UnixStream),
}

impl Stream {
    fn read_timeout(&self, limit: Option<Duration>) -> io::Result<()> {
        match self {
            Self::Tcp(stream) => stream.set_read_timeout(limit),
            Self::Unix(stream) => stream.set_read_timeout(limit),
        }
    }

    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match self {
            Self::Tcp(stream) => stream.read(buffer),
            Self::Unix(stream) => stream.read(buffer),
        }
    }

    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        match self {
            Self::Tcp(stream) => stream.write_all(bytes),
            Self::Unix(stream) => stream.write_all(bytes),
        }
    }
}

/// A connection on which one call at a time is under way.
pub(crate) struct Connection {
    stream: Stream,
    reader: Reader,
    last_id: u64,
    /// The life of the placer that answered on it.
    pub life: u64,
}

impl Connection {
    pub fn open(contact: &Contact) -> io::Result<Self> {
        let stream = match &contact.place {
            Place::Tcp(address) => {
                let stream = TcpStream::connect_timeout(address, CONNECT)?;
                stream.set_nodelay(true)?;
                Stream::Tcp(stream)
            }
            Place::Unix(path) => Stream::Unix(UnixStream::connect(path)?),
        };
        Ok(Self {
            stream,
            reader: Reader::new(MAX_RESPONSE),
            last_id: 0,
            life: 0,
        })
    }

    /// Makes a call. An outer error says that nobody knows whether it was carried out.
    pub fn call(&mut self, call: Call, limit: Option<Duration>) -> io::Result<Result<Answer>> {
        self.last_id += 1;
        let body = serde_json::to_vec(&Request::new(self.last_id, call))?;
        self.stream
            .read_timeout(limit.map(|limit| limit.max(Duration::from_millis(1))))?;
        self.stream.write_all(&wrap(&body))?;
        let mut buffer = [0; 16 * 1024];
        loop {
            while let Some(body) = self.reader.next_body().map_err(io::Error::other)? {
                let response: Response = serde_json::from_slice(&body)?;
                match (response.id, response.result, response.error) {
                    (Some(id), ..) if id != self.last_id => {}
                    (Some(_), Some(answer), None) => return Ok(Ok(answer)),
                    (_, None, Some(fault)) => return Ok(Err(Error::from(fault))),
                    _ => return Err(io::Error::other("the answer is no JSON-RPC response")),
                }
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => self.reader.push(&buffer[..count]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }
}
