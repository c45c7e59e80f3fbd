//! Numbers that name connections.

/// A client's connection, as the shell numbers it.
pub type ConnId = u64;
/// A link, which is a connection to a host, as the engine numbers it.
pub type LinkId = u64;
