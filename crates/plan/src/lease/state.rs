//! What a placer may do: act by a configuration, or dispatch nothing and why.

use reedring_node_protocol::ConfigVersion;

use super::{ActiveConfig, QuorumContact, SuspendReason};
use crate::cluster::ClusterView;

/// What a placer can do with a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usability {
    /// Its text is not here yet.
    Missing,
    /// The placer can act by it, and by it and the one before.
    Usable,
    /// It can't: the text has what this build does not support, or the two configurations have no joint form.
    Unusable,
}

/// The configuration of a placer's own settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalConfig {
    /// Its version.
    pub version: ConfigVersion,
    /// The placer may act by no other.
    pub pinned: bool,
}

/// What a placer may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// A majority of the voters persists no configurations: it acts by its own settings file, without agreement.
    Unmanaged,
    /// It may dispatch nothing.
    Suspended(SuspendReason),
    /// It acts by a configuration.
    Active(ActiveConfig),
}

/// What the state of a lease follows from.
#[derive(Clone, Copy, Debug)]
pub struct LeaseInputs<'a> {
    /// The configuration of the placer's settings file.
    pub local: LocalConfig,
    /// The reports of the nodes.
    pub cluster: &'a ClusterView,
    /// The newest committed configuration that the placer knows of, whatever nodes have lost.
    pub known_committed: ConfigVersion,
    /// When a majority of the voters last answered.
    pub contact: QuorumContact,
}

/// What a placer may do. `usability` says what it can do with a configuration.
///
/// | legacy majority | contact | committed | chosen | local file | state |
/// | --- | --- | --- | --- | --- | --- |
/// | yes | any | any | any | any | unmanaged |
/// | no | never, or expired | any | any | any | suspended: no quorum |
/// | no | recent | none | none | any | suspended: no configuration |
/// | no | recent | none | text missing | any | suspended: fetching |
/// | no | recent | text missing | any | any | suspended: fetching |
/// | no | recent | unusable | any | any | fenced: unusable |
/// | no | recent | neither the local one nor the one that it follows | any | pinned | fenced: pinned |
/// | no | recent | none | unusable, or not the local one and pinned | any | suspended: no configuration |
/// | no | recent | usable | missing, unusable, or not the local one and pinned | any | active by the committed one |
/// | no | recent | usable or none | usable | any | active by both |
/// | no | recent | usable | none | any | active by the committed one |
///
/// Where the placer is active and its own file has a later configuration than the one by which it acts, that is
/// [`ActiveConfig::local_ahead`].
pub fn lease_state(
    inputs: &LeaseInputs<'_>,
    usability: impl Fn(ConfigVersion) -> Usability,
) -> LeaseState {
    let LeaseInputs { local, cluster, .. } = *inputs;
    if cluster.has_legacy_quorum() {
        return LeaseState::Unmanaged;
    }
    if inputs.contact != QuorumContact::Recent {
        return LeaseState::Suspended(SuspendReason::NoQuorum);
    }
    let committed = inputs.known_committed.max(cluster.committed());
    if let Some(reason) = committed_suspends(local, committed, &usability) {
        return LeaseState::Suspended(reason);
    }
    let has_committed = committed.number > 0;
    let next = match cluster
        .chosen(committed)
        .map(|next| (next, usability(next)))
    {
        Some((_, Usability::Missing)) if !has_committed => {
            return LeaseState::Suspended(SuspendReason::FetchingDocument);
        }
        Some((next, Usability::Usable)) if !local.pinned || next == local.version => Some(next),
        _ => None,
    };
    if !has_committed && next.is_none() {
        return LeaseState::Suspended(SuspendReason::NoConfiguration);
    }
    let is_ahead = local.version.number > next.unwrap_or(committed).number;
    LeaseState::Active(ActiveConfig {
        committed,
        next,
        local_ahead: is_ahead.then_some(local.version),
    })
}

/// Why the committed configuration alone suspends the placer, if it does.
fn committed_suspends(
    local: LocalConfig,
    committed: ConfigVersion,
    usability: impl Fn(ConfigVersion) -> Usability,
) -> Option<SuspendReason> {
    if committed.number == 0 {
        return None;
    }
    let follows = local.version.number == committed.number + 1;
    if local.pinned && local.version != committed && !follows {
        return Some(SuspendReason::Pinned);
    }
    match usability(committed) {
        Usability::Missing => Some(SuspendReason::FetchingDocument),
        Usability::Unusable => Some(SuspendReason::Unusable),
        Usability::Usable => None,
    }
}
