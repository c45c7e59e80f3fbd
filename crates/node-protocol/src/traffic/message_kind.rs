//! The kinds of messages that traffic counters and reports distinguish.

use crate::configuration::ConfigRequest;
use crate::message::Message;

/// The kind of a message. Each kind of [`ConfigRequest`] is a kind of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// [`Message::Hello`].
    Hello,
    /// [`Message::Offer`].
    Offer,
    /// [`Message::Stop`].
    Stop,
    /// [`Message::Probe`].
    Probe,
    /// [`Message::Suspend`].
    Suspend,
    /// [`Message::Resume`].
    Resume,
    /// [`Message::Ack`].
    Ack,
    /// [`ConfigRequest::Query`].
    ConfigQuery,
    /// [`ConfigRequest::Fetch`].
    ConfigFetch,
    /// [`ConfigRequest::Prepare`].
    ConfigPrepare,
    /// [`ConfigRequest::Accept`].
    ConfigAccept,
    /// [`ConfigRequest::ByDelta`].
    ConfigByDelta,
    /// [`ConfigRequest::EnterJoint`].
    ConfigEnterJoint,
    /// [`ConfigRequest::Commit`].
    ConfigCommit,
    /// [`ConfigRequest::RaiseFloor`].
    ConfigRaiseFloor,
    /// [`Message::Welcome`].
    Welcome,
    /// [`Message::AcceptorReport`].
    AcceptorReport,
    /// [`Message::ConfigText`].
    ConfigText,
    /// [`Message::ConfigDelta`].
    ConfigDelta,
    /// [`Message::InFlight`].
    InFlight,
    /// [`Message::Accepted`].
    Accepted,
    /// [`Message::Rejected`].
    Rejected,
    /// [`Message::TaskSignal`].
    TaskSignal,
    /// [`Message::Ended`].
    Ended,
    /// [`Message::Report`].
    Report,
}

impl MessageKind {
    /// Every kind, in the order of the counters.
    pub const ALL: [Self; 25] = [
        Self::Hello,
        Self::Offer,
        Self::Stop,
        Self::Probe,
        Self::Suspend,
        Self::Resume,
        Self::Ack,
        Self::ConfigQuery,
        Self::ConfigFetch,
        Self::ConfigPrepare,
        Self::ConfigAccept,
        Self::ConfigByDelta,
        Self::ConfigEnterJoint,
        Self::ConfigCommit,
        Self::ConfigRaiseFloor,
        Self::Welcome,
        Self::AcceptorReport,
        Self::ConfigText,
        Self::ConfigDelta,
        Self::InFlight,
        Self::Accepted,
        Self::Rejected,
        Self::TaskSignal,
        Self::Ended,
        Self::Report,
    ];

    /// The kind of a message.
    pub const fn of(message: &Message) -> Self {
        match message {
            Message::Hello { .. } => Self::Hello,
            Message::Offer { .. } => Self::Offer,
            Message::Stop { .. } => Self::Stop,
            Message::Probe { .. } => Self::Probe,
            Message::Suspend { .. } => Self::Suspend,
            Message::Resume { .. } => Self::Resume,
            Message::Ack { .. } => Self::Ack,
            Message::ConfigRequest(ConfigRequest::Query { .. }) => Self::ConfigQuery,
            Message::ConfigRequest(ConfigRequest::Fetch { .. }) => Self::ConfigFetch,
            Message::ConfigRequest(ConfigRequest::Prepare { .. }) => Self::ConfigPrepare,
            Message::ConfigRequest(ConfigRequest::Accept { .. }) => Self::ConfigAccept,
            Message::ConfigRequest(ConfigRequest::ByDelta { .. }) => Self::ConfigByDelta,
            Message::ConfigRequest(ConfigRequest::EnterJoint { .. }) => Self::ConfigEnterJoint,
            Message::ConfigRequest(ConfigRequest::Commit { .. }) => Self::ConfigCommit,
            Message::ConfigRequest(ConfigRequest::RaiseFloor { .. }) => Self::ConfigRaiseFloor,
            Message::Welcome { .. } => Self::Welcome,
            Message::AcceptorReport(_) => Self::AcceptorReport,
            Message::ConfigText { .. } => Self::ConfigText,
            Message::ConfigDelta(_) => Self::ConfigDelta,
            Message::InFlight { .. } => Self::InFlight,
            Message::Accepted { .. } => Self::Accepted,
            Message::Rejected { .. } => Self::Rejected,
            Message::TaskSignal { .. } => Self::TaskSignal,
            Message::Ended { .. } => Self::Ended,
            Message::Report { .. } => Self::Report,
        }
    }

    /// The kind's name in measurement reports. Must not change, even if the variant is renamed.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Hello => "hello",
            Self::Offer => "offer",
            Self::Stop => "stop",
            Self::Probe => "probe",
            Self::Suspend => "suspend",
            Self::Resume => "resume",
            Self::Ack => "ack",
            Self::ConfigQuery => "plan-ask",
            Self::ConfigFetch => "plan-fetch",
            Self::ConfigPrepare => "plan-prepare",
            Self::ConfigAccept => "plan-accept",
            Self::ConfigByDelta => "plan-by-delta",
            Self::ConfigEnterJoint => "plan-joint",
            Self::ConfigCommit => "plan-force",
            Self::ConfigRaiseFloor => "plan-raise",
            Self::Welcome => "welcome",
            Self::AcceptorReport => "record",
            Self::ConfigText => "plan-text",
            Self::ConfigDelta => "plan-delta",
            Self::InFlight => "holds",
            Self::Accepted => "accepted",
            Self::Rejected => "refused",
            Self::TaskSignal => "note",
            Self::Ended => "ended",
            Self::Report => "report",
        }
    }

    /// Whether messages of this kind serve connections or the agreement on configurations. The number of all other
    /// messages grows with the number of tasks.
    pub const fn is_control(self) -> bool {
        matches!(
            self,
            Self::Hello
                | Self::Welcome
                | Self::InFlight
                | Self::AcceptorReport
                | Self::ConfigText
                | Self::ConfigDelta
                | Self::ConfigQuery
                | Self::ConfigFetch
                | Self::ConfigPrepare
                | Self::ConfigAccept
                | Self::ConfigByDelta
                | Self::ConfigEnterJoint
                | Self::ConfigCommit
                | Self::ConfigRaiseFloor
        )
    }
}
