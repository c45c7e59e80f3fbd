//! Numbers that identify connections.

/// A client's connection, numbered by the shell in the order of connections.
pub type ConnId = u64;
/// A link (a connection to a host), numbered by the engine in the order of creation.
pub type LinkId = u64;
