//! The socket on which the placer accepts client connections.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use reedring_settings::{Address, Settings};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, UnixListener};

use crate::error::StartError;

/// The two halves of a client connection.
pub(crate) struct ClientStream {
    /// Reads what the client sends.
    pub reader: Box<dyn AsyncRead + Send + Unpin>,
    /// Writes to the client.
    pub writer: Box<dyn AsyncWrite + Send + Unpin>,
}

/// A bound listening socket.
pub(crate) enum Listener {
    /// A TCP socket.
    Tcp(TcpListener),
    /// A Unix socket.
    Unix(UnixListener),
}

/// A bound listening socket, and the contact string with which clients connect to it.
pub(crate) struct BoundListener {
    /// The listening socket.
    pub listener: Listener,
    /// Contact string: `tcp:` or `unix:`, and the address.
    pub contact: String,
}

impl Listener {
    /// Binds the address that the settings name.
    pub async fn bind(settings: &Settings) -> Result<BoundListener, StartError> {
        let (bound, address) = match &settings.listen {
            Address::Tcp(address) => (bind_tcp(*address).await, address.to_string()),
            Address::Unix(path) => (bind_unix(path), path.display().to_string()),
        };
        bound.map_err(|error| StartError::Listen {
            name: settings.name.clone(),
            address,
            error,
        })
    }

    /// Accepts the next connection.
    pub async fn accept(&self) -> io::Result<ClientStream> {
        match self {
            Self::Tcp(listener) => {
                let (stream, _) = listener.accept().await?;
                let _ = stream.set_nodelay(true);
                let (reader, writer) = stream.into_split();
                Ok(ClientStream {
                    reader: Box::new(reader),
                    writer: Box::new(writer),
                })
            }
            Self::Unix(listener) => {
                let (stream, _) = listener.accept().await?;
                let (reader, writer) = stream.into_split();
                Ok(ClientStream {
                    reader: Box::new(reader),
                    writer: Box::new(writer),
                })
            }
        }
    }
}

async fn bind_tcp(address: SocketAddr) -> io::Result<BoundListener> {
    let listener = TcpListener::bind(address).await?;
    let contact = format!("tcp:{}", listener.local_addr()?);
    Ok(BoundListener {
        listener: Listener::Tcp(listener),
        contact,
    })
}

fn bind_unix(path: &Path) -> io::Result<BoundListener> {
    // A socket file that refuses connections was left behind by a placer that was killed.
    if path.exists() && std::os::unix::net::UnixStream::connect(path).is_err() {
        let _ = std::fs::remove_file(path);
    }
    let listener = UnixListener::bind(path)?;
    Ok(BoundListener {
        listener: Listener::Unix(listener),
        contact: format!("unix:{}", path.display()),
    })
}
