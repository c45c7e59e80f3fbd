//! The records of a trace.

/// What a record is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Event {
    /// A placer started: place its name, link its incarnation, bytes its settings.
    PlacerStarted = 1,
    /// A placer was ended, by its user or a script.
    PlacerEnded = 2,
    /// A placer read this node list: place its name, bytes the list as TOML.
    Listed = 3,
    /// A placer read a frame from a client: link the connection.
    FromClient = 4,
    /// A placer wrote a frame to a client.
    ToClient = 5,
    /// A client's connection ended.
    ClientGone = 6,
    /// A placer wrote a frame to a node: peer the node, link the link.
    ToNode = 7,
    /// A placer read a frame from a node.
    FromNode = 8,
    /// A placer's link to a node ended.
    LinkDown = 9,
    /// A node started: place its name, link its incarnation.
    NodeStarted = 10,
    /// A node died.
    NodeEnded = 11,
    /// A node read a frame from a placer: place the node, peer the placer where it is known.
    NodeRead = 12,
    /// A node wrote a frame to a placer.
    NodeWrote = 13,
    /// A script injected a fault: bytes its description.
    Script = 14,
    /// A placer was stalled: link for how many microseconds.
    PlacerStalled = 15,
    /// The trace began: link the time of day in microseconds since 1970, by which traces of several processes are
    /// merged.
    Clock = 16,
}

impl Event {
    pub(super) const ALL: [Self; 16] = [
        Self::PlacerStarted,
        Self::PlacerEnded,
        Self::Listed,
        Self::FromClient,
        Self::ToClient,
        Self::ClientGone,
        Self::ToNode,
        Self::FromNode,
        Self::LinkDown,
        Self::NodeStarted,
        Self::NodeEnded,
        Self::NodeRead,
        Self::NodeWrote,
        Self::Script,
        Self::PlacerStalled,
        Self::Clock,
    ];
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Its position in the trace, from 0.
    pub number: usize,
    /// Microseconds since the trace began.
    pub time_us: u64,
    /// What it is about.
    pub event: Event,
    /// The placer or node at whose socket it was recorded, by name.
    pub place: String,
    /// The peer, by name.
    pub peer: String,
    /// Connection, link or incarnation, by the event.
    pub link: u64,
    /// The bytes that crossed the socket.
    pub bytes: Vec<u8>,
}
