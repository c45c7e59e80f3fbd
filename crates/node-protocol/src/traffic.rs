//! Counters of messages and bytes by kind of message, for measurements of either end of a link.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use crate::message::Message;
use crate::versions::ConfigRequest;

/// The kinds of messages, with one kind for each order that concerns plans.
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
    PlanAsk,
    /// [`ConfigRequest::Fetch`].
    PlanFetch,
    /// [`ConfigRequest::Prepare`].
    PlanPrepare,
    /// [`ConfigRequest::Accept`].
    PlanAccept,
    /// [`ConfigRequest::ByDelta`].
    PlanByDelta,
    /// [`ConfigRequest::EnterJoint`].
    PlanJoint,
    /// [`ConfigRequest::Commit`].
    PlanForce,
    /// [`ConfigRequest::RaiseFloor`].
    PlanRaise,
    /// [`Message::Welcome`].
    Welcome,
    /// [`Message::AcceptorReport`].
    AcceptorReport,
    /// [`Message::ConfigText`].
    PlanText,
    /// [`Message::ConfigDelta`].
    PlanDelta,
    /// [`Message::Holds`].
    Holds,
    /// [`Message::Accepted`].
    Accepted,
    /// [`Message::Refused`].
    Refused,
    /// [`Message::Note`].
    Note,
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
        Self::PlanAsk,
        Self::PlanFetch,
        Self::PlanPrepare,
        Self::PlanAccept,
        Self::PlanByDelta,
        Self::PlanJoint,
        Self::PlanForce,
        Self::PlanRaise,
        Self::Welcome,
        Self::AcceptorReport,
        Self::PlanText,
        Self::PlanDelta,
        Self::Holds,
        Self::Accepted,
        Self::Refused,
        Self::Note,
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
            Message::ConfigRequest(ConfigRequest::Query { .. }) => Self::PlanAsk,
            Message::ConfigRequest(ConfigRequest::Fetch { .. }) => Self::PlanFetch,
            Message::ConfigRequest(ConfigRequest::Prepare { .. }) => Self::PlanPrepare,
            Message::ConfigRequest(ConfigRequest::Accept { .. }) => Self::PlanAccept,
            Message::ConfigRequest(ConfigRequest::ByDelta { .. }) => Self::PlanByDelta,
            Message::ConfigRequest(ConfigRequest::EnterJoint { .. }) => Self::PlanJoint,
            Message::ConfigRequest(ConfigRequest::Commit { .. }) => Self::PlanForce,
            Message::ConfigRequest(ConfigRequest::RaiseFloor { .. }) => Self::PlanRaise,
            Message::Welcome { .. } => Self::Welcome,
            Message::AcceptorReport(_) => Self::AcceptorReport,
            Message::ConfigText { .. } => Self::PlanText,
            Message::ConfigDelta(_) => Self::PlanDelta,
            Message::Holds { .. } => Self::Holds,
            Message::Accepted { .. } => Self::Accepted,
            Message::Refused { .. } => Self::Refused,
            Message::Note { .. } => Self::Note,
            Message::Ended { .. } => Self::Ended,
            Message::Report { .. } => Self::Report,
        }
    }

    /// Its name in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Hello => "hello",
            Self::Offer => "offer",
            Self::Stop => "stop",
            Self::Probe => "probe",
            Self::Suspend => "suspend",
            Self::Resume => "resume",
            Self::Ack => "ack",
            Self::PlanAsk => "plan-ask",
            Self::PlanFetch => "plan-fetch",
            Self::PlanPrepare => "plan-prepare",
            Self::PlanAccept => "plan-accept",
            Self::PlanByDelta => "plan-by-delta",
            Self::PlanJoint => "plan-joint",
            Self::PlanForce => "plan-force",
            Self::PlanRaise => "plan-raise",
            Self::Welcome => "welcome",
            Self::AcceptorReport => "record",
            Self::PlanText => "plan-text",
            Self::PlanDelta => "plan-delta",
            Self::Holds => "holds",
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Note => "note",
            Self::Ended => "ended",
            Self::Report => "report",
        }
    }

    /// Whether it concerns links and plans; all else is work, which grows with the tasks.
    pub const fn is_control(self) -> bool {
        matches!(
            self,
            Self::Hello
                | Self::Welcome
                | Self::Holds
                | Self::AcceptorReport
                | Self::PlanText
                | Self::PlanDelta
                | Self::PlanAsk
                | Self::PlanFetch
                | Self::PlanPrepare
                | Self::PlanAccept
                | Self::PlanByDelta
                | Self::PlanJoint
                | Self::PlanForce
                | Self::PlanRaise
        )
    }
}

/// Messages and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Messages.
    pub messages: u64,
    /// Bytes of their frames.
    pub bytes: u64,
}

/// Counts of each kind, in the order of [`MessageKind::ALL`].
pub type Counts = [Count; MessageKind::ALL.len()];

/// What an end of one link, or of several, has written and read so far. It may be counted in many tasks at once.
#[derive(Debug, Default)]
pub struct Traffic {
    written: [Counter; MessageKind::ALL.len()],
    read: [Counter; MessageKind::ALL.len()],
}

#[derive(Debug, Default)]
struct Counter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Counter {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count(&self) -> Count {
        Count {
            messages: self.messages.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}

impl Traffic {
    /// Counts a message that this end wrote, with its frame's bytes.
    pub fn wrote(&self, message: &Message, bytes: usize) {
        self.written[MessageKind::of(message) as usize].add(bytes);
    }

    /// Counts a message that this end read, with its frame's bytes.
    pub fn read(&self, message: &Message, bytes: usize) {
        self.read[MessageKind::of(message) as usize].add(bytes);
    }

    /// All counts so far: written, then read.
    pub fn counts(&self) -> [Counts; 2] {
        [&self.written, &self.read].map(|counters| std::array::from_fn(|n| counters[n].count()))
    }
}

/// The traffic of one end by the name of its peer.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    peers: Mutex<BTreeMap<String, Arc<Traffic>>>,
}

impl PeerTraffic {
    /// The counters for the links with this peer; a link asks once and keeps them.
    pub fn of(&self, peer: &str) -> Arc<Traffic> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(peers.entry(peer.to_owned()).or_default())
    }

    /// The counters of every peer so far, by name.
    pub fn peers(&self) -> Vec<(String, Arc<Traffic>)> {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers
            .iter()
            .map(|(name, traffic)| (name.clone(), Arc::clone(traffic)))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn kinds_stand_in_the_order_of_their_counters_and_have_names_of_their_own() {
        for (n, kind) in MessageKind::ALL.into_iter().enumerate() {
            assert_eq!(kind as usize, n);
            assert!(
                MessageKind::ALL[..n]
                    .iter()
                    .all(|other| other.name() != kind.name()),
                "{kind:?}"
            );
        }
    }

    #[test]
    fn each_message_is_counted_with_its_kind_direction_and_peer_alone() {
        let traffic = PeerTraffic::default();
        let probe = Message::Probe { nonce: 1 };
        let link = traffic.of("node-1");
        link.wrote(&probe, 20);
        link.wrote(&probe, 22);
        traffic.of("node-1").read(
            &Message::Report {
                nonce: 1,
                report: Vec::new(),
            },
            30,
        );
        traffic.of("node-2");
        let [(first, of_first), (second, of_second)] = &traffic.peers()[..] else {
            panic!("two peers")
        };
        assert_eq!((first.as_str(), second.as_str()), ("node-1", "node-2"));
        let [written, read] = of_first.counts();
        for kind in MessageKind::ALL {
            let expected = |counted: MessageKind, messages, bytes| {
                if kind == counted {
                    Count { messages, bytes }
                } else {
                    Count::default()
                }
            };
            assert_eq!(
                written[kind as usize],
                expected(MessageKind::Probe, 2, 42),
                "{kind:?}"
            );
            assert_eq!(
                read[kind as usize],
                expected(MessageKind::Report, 1, 30),
                "{kind:?}"
            );
        }
        assert_eq!(of_second.counts(), <[Counts; 2]>::default());
    }
}
