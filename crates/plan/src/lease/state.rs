//! Whether a placer may dispatch: the configuration that it applies, or the reason why it is suspended.

use reedring_node_protocol::ConfigVersion;

use super::{ActiveConfig, QuorumContact, SuspendReason};
use crate::cluster::ClusterView;

/// Whether a placer can apply a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usability {
    /// The placer does not have the text yet.
    Missing,
    /// The placer can apply the configuration, alone and together with its predecessor.
    Usable,
    /// The placer can't apply it: this build does not support the text, or there are no joint bounds with the
    /// predecessor.
    Unusable,
}

/// The configuration of a placer's own settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalConfig {
    /// The number and digest of the configuration.
    pub version: ConfigVersion,
    /// Whether the placer may apply no other configuration.
    pub pinned: bool,
}

/// Whether a placer may dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// A majority of the voters persists no configurations: the placer applies its own settings file, without
    /// agreement.
    Unmanaged,
    /// The placer must not dispatch.
    Suspended(SuspendReason),
    /// The placer applies a configuration.
    Active(ActiveConfig),
}

/// The inputs of [`lease_state`].
#[derive(Clone, Copy, Debug)]
pub struct LeaseInputs<'a> {
    /// The configuration of the placer's settings file.
    pub local: LocalConfig,
    /// The reports of the nodes.
    pub cluster: &'a ClusterView,
    /// The newest committed configuration that the placer knows, even if the nodes have lost it.
    pub known_committed: ConfigVersion,
    /// Whether a majority of the voters answered within the lease.
    pub contact: QuorumContact,
}

/// Whether a placer may dispatch, and which configuration it applies. `usability` returns whether the placer can apply
/// a configuration.
///
/// | legacy majority | contact | committed | chosen | local file | state |
/// | --- | --- | --- | --- | --- | --- |
/// | yes | any | any | any | any | unmanaged |
/// | no | never, or expired | any | any | any | suspended: no quorum |
/// | no | recent | none | none | any | suspended: no configuration |
/// | no | recent | none | text missing | any | suspended: fetching |
/// | no | recent | text missing | any | any | suspended: fetching |
/// | no | recent | unusable | any | any | fenced: unusable |
/// | no | recent | neither the local one nor its predecessor | any | pinned | fenced: pinned |
/// | no | recent | none | unusable, or not the local one and pinned | any | suspended: no configuration |
/// | no | recent | usable | missing, unusable, or not the local one and pinned | any | active: the committed one |
/// | no | recent | usable or none | usable | any | active: both |
/// | no | recent | usable | none | any | active: the committed one |
///
/// If the placer is active and its own file has a later configuration than the active one, that configuration is
/// returned in [`ActiveConfig::local_ahead`].
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
    if let Some(reason) = suspension_by_committed(local, committed, &usability) {
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

/// The reason why the committed configuration suspends the placer, whatever is chosen next; `None` if it does not.
fn suspension_by_committed(
    local: LocalConfig,
    committed: ConfigVersion,
    usability: impl Fn(ConfigVersion) -> Usability,
) -> Option<SuspendReason> {
    if committed.number == 0 {
        return None;
    }
    let is_successor = local.version.number == committed.number + 1;
    if local.pinned && local.version != committed && !is_successor {
        return Some(SuspendReason::Pinned);
    }
    match usability(committed) {
        Usability::Missing => Some(SuspendReason::FetchingDocument),
        Usability::Unusable => Some(SuspendReason::Unusable),
        Usability::Usable => None,
    }
}
