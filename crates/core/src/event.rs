//! The log events of the core for operators, as typed values.
//!
//! The placer process logs each event with its name, level, fields and message, so that logs can be searched by event.
//! Event names are stable: dashboards and `docs/on-call.md` refer to them.

mod message;

use std::fmt;
use std::net::SocketAddr;

use reedring_node_protocol::{AttemptId, ConfigVersion};
use reedring_plan::SuspendReason;

/// The log level of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// A problem with the cluster, a node or this placer.
    Warn,
    /// A change of state that operators may want to know of.
    Info,
}

/// How the configuration in the settings file stands in relation to the committed one, as far as operators have to act.
/// Displayed as a suffix to the message of an event; empty if there is nothing to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FileStatus {
    /// The version in the settings file, if a different one that is as new or newer is committed.
    pub superseded: Option<ConfigVersion>,
    /// Why the configuration in the settings file can't be proposed, if that is so.
    pub rejected: Option<String>,
}

impl fmt::Display for FileStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(version) = self.superseded {
            write!(
                f,
                "; configuration {version} of the settings file is not the committed one"
            )?;
        }
        self.rejected
            .iter()
            .try_for_each(|reason| write!(f, "; {reason}"))
    }
}

/// An event that is logged for operators. The comment on each variant states its meaning, its cause, and the first
/// action to take.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "each field is named after what it holds, and each variant is documented"
)]
pub enum Event {
    /// An older node list was ignored. Cause: the list was replaced by a copy with a lower revision. First action:
    /// install the newest list at every placer.
    NodeListOutdated { revision: u64, known_revision: u64 },
    /// A listed node is ignored. Cause: the machine id computed from its name equals that of another node. First
    /// action: rename the node.
    NodeNameCollision { node: String },
    /// A node is not used. Cause: the node that answers at its address reports another name. First action: correct the
    /// node list or the node's own configuration.
    NodeNameMismatch {
        node: String,
        address: SocketAddr,
        reported: String,
    },
    /// The connection to a node was lost, or could not be made. Not reported for a node that is drained or not
    /// listed, nor repeated while it stays down; `node_links` decides this. Cause: the reason in the event; a restart,
    /// a crash or the network. First action: check the node's process, then the network to it.
    NodeDisconnected { node: String, reason: String },
    /// A node gets no new tasks. Cause: an operator drains it. First action: none.
    NodeDrained { node: String },
    /// A node gets tasks again. Cause: an operator ended its drain. First action: none.
    NodeUndrained { node: String },
    /// A node that was drained before a restart of the placer still is. Cause: the drain is persistent. First
    /// action: end the drain if the node is to get tasks.
    NodeStillDrained { node: String },
    /// A task that runs at a node is stopped. Cause: its job belongs to a former incarnation of the placer, and
    /// can't be reconstructed for the reason in the event. First action: submit the job again if it is needed.
    AttemptNotAdopted {
        node: String,
        job: String,
        attempt: AttemptId,
        reason: String,
    },
    /// A placed job is queued for placement again. Cause: its attempt was lost, and its class allows another. First
    /// action: none for single jobs; for many, check the events of the node.
    JobRequeued {
        job: String,
        node: String,
        attempt: AttemptId,
        reason: &'static str,
    },
    /// A job failed because the decision module did not answer in time. Cause: a defect, or a severely overloaded
    /// machine. First action: check the load of the placer's machine, then report the defect.
    RequestOverdue { request: u64, job: String },
    /// A running job's placement constraint is violated. Cause: copies, the node list or labels changed. First
    /// action: the remedy that the event names.
    ConstraintViolated {
        job: String,
        clause: String,
        remedy: String,
    },
    /// A violated placement constraint is satisfied again. Cause: copies, the node list or labels changed. First
    /// action: none.
    ConstraintRestored {
        job: String,
        clause: String,
        violated_us: u64,
    },
    /// This placer persists nothing since its start. Cause: the state folder could not be opened. First action: resolve
    /// the reason in the event, and restart the placer.
    StateUnavailable { reason: String },
    /// Nothing is persisted for now; tasks that must not start twice are rejected. Cause: a write to the state
    /// folder failed. First action: free space on its disk or replace it; the placer resumes by itself.
    StateWriteFailed { reason: String },
    /// Everything is persisted again. Cause: the state folder takes writes again. First action: none.
    StateWriteRestored,
    /// A restarted placer loaded its state. Cause: a restart. First action: none if the state is complete; otherwise
    /// expect failed jobs of classes whose tasks must not start twice.
    StateLoaded {
        sessions: usize,
        jobs: usize,
        unfinished: usize,
        unplaced: usize,
        incomplete: bool,
    },
    /// Changed tables of the settings file are not applied. Cause: these tables are read only at the start.
    /// First action: restart the placer to apply them.
    SettingsRestartRequired { tables: Vec<&'static str> },
    /// A change of the settings file is not applied. Cause: the placer was started without a `[plan]` table.
    /// First action: restart the placer to apply it.
    SettingsChangeIgnored,
    /// A change of the settings file is not applied. Cause: the reason in the event. First action: correct the
    /// file.
    SettingsChangeRejected { reason: String },
    /// A configuration text that a node sent is discarded. Cause: it does not match its version. First action:
    /// none for one; if a node repeats it, update or replace the node.
    ConfigurationTextInvalid { node: String, reason: String },
    /// A configuration delta that a node sent is discarded, and the whole text is fetched. Cause: it does not
    /// yield its version. First action: none for one; if a node repeats it, update or replace the node.
    ConfigurationDeltaInvalid { node: String, reason: String },
    /// The placer uses only its settings file, and no committed configuration. Cause: most nodes use a protocol version
    /// without configurations. First action: update the nodes.
    ConfigurationUnsupported { file: FileStatus },
    /// The placer dispatches nothing for now. Cause: the reason in the event, most often no majority of voters
    /// within the lease. First action: check the network to the voters; it resumes by itself.
    DispatchSuspended {
        reason: SuspendReason,
        file: FileStatus,
    },
    /// The placer accepts and dispatches no jobs until an operator acts. If no majority of voters answers, it reports
    /// `dispatch_suspended` instead, and accepts jobs. Cause: its settings file is pinned to another configuration, or
    /// it can't use the committed one. First action: unpin or update the file, or update the build, and restart the
    /// placer.
    PlacerFenced {
        reason: SuspendReason,
        committed: ConfigVersion,
        own: ConfigVersion,
        detail: Option<String>,
        file: FileStatus,
    },
    /// The first configuration was chosen and is in use. Cause: the first start with a `[plan]` table. First action:
    /// none.
    ConfigurationFirst {
        config_version: ConfigVersion,
        file: FileStatus,
    },
    /// A configuration change is under way: the stricter of both configurations applies. Cause: a placer proposed
    /// the configuration in its settings file. First action: none; if it lasts, look for lagging placers with
    /// `reedring nodes`.
    ConfigurationJoint {
        config_version: ConfigVersion,
        previous: ConfigVersion,
        file: FileStatus,
    },
    /// One configuration is committed and in use. Cause: a start, or the end of a change. First action: none; if the
    /// event reports that the settings file is behind or rejected, correct the file.
    ConfigurationActive {
        config_version: ConfigVersion,
        file: FileStatus,
    },
    /// Connection attempts to a zone are rate limited. Cause: many of its nodes do not answer. First action: check
    /// the zone's network and power.
    ZoneReconnectsLimited {
        zone: String,
        silent: usize,
        nodes: usize,
    },
    /// Connection attempts to a zone are no longer rate limited. Cause: its nodes answer again. First action: none.
    ZoneReconnectsRestored { zone: String, silent: usize },
    /// A log message of the decision module. Cause and first action: see the message.
    ModuleMessage { text: String },
}

impl Event {
    /// The stable names of all events, in the order of the variants.
    pub const NAMES: &'static [&'static str] = &[
        "node_list_outdated",
        "node_name_collision",
        "node_name_mismatch",
        "node_disconnected",
        "node_drained",
        "node_undrained",
        "node_still_drained",
        "attempt_not_adopted",
        "job_requeued",
        "request_overdue",
        "constraint_violated",
        "constraint_restored",
        "state_unavailable",
        "state_write_failed",
        "state_write_restored",
        "state_loaded",
        "settings_restart_required",
        "settings_change_ignored",
        "settings_change_rejected",
        "configuration_text_invalid",
        "configuration_delta_invalid",
        "configuration_unsupported",
        "dispatch_suspended",
        "placer_fenced",
        "configuration_first",
        "configuration_joint",
        "configuration_active",
        "zone_reconnects_limited",
        "zone_reconnects_restored",
        "module_message",
    ];

    /// The stable name of the event, as logs record it in the field `event`.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::NodeListOutdated { .. } => "node_list_outdated",
            Self::NodeNameCollision { .. } => "node_name_collision",
            Self::NodeNameMismatch { .. } => "node_name_mismatch",
            Self::NodeDisconnected { .. } => "node_disconnected",
            Self::NodeDrained { .. } => "node_drained",
            Self::NodeUndrained { .. } => "node_undrained",
            Self::NodeStillDrained { .. } => "node_still_drained",
            Self::AttemptNotAdopted { .. } => "attempt_not_adopted",
            Self::JobRequeued { .. } => "job_requeued",
            Self::RequestOverdue { .. } => "request_overdue",
            Self::ConstraintViolated { .. } => "constraint_violated",
            Self::ConstraintRestored { .. } => "constraint_restored",
            Self::StateUnavailable { .. } => "state_unavailable",
            Self::StateWriteFailed { .. } => "state_write_failed",
            Self::StateWriteRestored => "state_write_restored",
            Self::StateLoaded { .. } => "state_loaded",
            Self::SettingsRestartRequired { .. } => "settings_restart_required",
            Self::SettingsChangeIgnored => "settings_change_ignored",
            Self::SettingsChangeRejected { .. } => "settings_change_rejected",
            Self::ConfigurationTextInvalid { .. } => "configuration_text_invalid",
            Self::ConfigurationDeltaInvalid { .. } => "configuration_delta_invalid",
            Self::ConfigurationUnsupported { .. } => "configuration_unsupported",
            Self::DispatchSuspended { .. } => "dispatch_suspended",
            Self::PlacerFenced { .. } => "placer_fenced",
            Self::ConfigurationFirst { .. } => "configuration_first",
            Self::ConfigurationJoint { .. } => "configuration_joint",
            Self::ConfigurationActive { .. } => "configuration_active",
            Self::ZoneReconnectsLimited { .. } => "zone_reconnects_limited",
            Self::ZoneReconnectsRestored { .. } => "zone_reconnects_restored",
            Self::ModuleMessage { .. } => "module_message",
        }
    }

    /// The log level of the event.
    pub const fn level(&self) -> Level {
        match self {
            Self::NodeDrained { .. }
            | Self::NodeUndrained { .. }
            | Self::NodeStillDrained { .. }
            | Self::JobRequeued { .. }
            | Self::StateWriteRestored
            | Self::StateLoaded { .. }
            | Self::ConfigurationFirst { .. }
            | Self::ConfigurationJoint { .. }
            | Self::ConfigurationActive { .. }
            | Self::ZoneReconnectsRestored { .. }
            | Self::ModuleMessage { .. } => Level::Info,
            _ => Level::Warn,
        }
    }

    /// The name in the node list of the node that the event concerns, if it concerns one.
    pub fn node(&self) -> Option<&str> {
        match self {
            Self::NodeNameCollision { node }
            | Self::NodeNameMismatch { node, .. }
            | Self::NodeDisconnected { node, .. }
            | Self::NodeDrained { node }
            | Self::NodeUndrained { node }
            | Self::NodeStillDrained { node }
            | Self::AttemptNotAdopted { node, .. }
            | Self::JobRequeued { node, .. }
            | Self::ConfigurationTextInvalid { node, .. }
            | Self::ConfigurationDeltaInvalid { node, .. } => Some(node),
            _ => None,
        }
    }

    /// The name of the job that the event concerns, if it concerns one.
    pub fn job(&self) -> Option<&str> {
        match self {
            Self::AttemptNotAdopted { job, .. }
            | Self::JobRequeued { job, .. }
            | Self::RequestOverdue { job, .. }
            | Self::ConstraintViolated { job, .. }
            | Self::ConstraintRestored { job, .. } => Some(job),
            _ => None,
        }
    }

    /// The wire id of the attempt that the event concerns, if it concerns one.
    pub const fn attempt(&self) -> Option<AttemptId> {
        match self {
            Self::AttemptNotAdopted { attempt, .. } | Self::JobRequeued { attempt, .. } => {
                Some(*attempt)
            }
            _ => None,
        }
    }

    /// The zone that the event concerns, if it concerns one.
    pub fn zone(&self) -> Option<&str> {
        match self {
            Self::ZoneReconnectsLimited { zone, .. }
            | Self::ZoneReconnectsRestored { zone, .. } => Some(zone),
            _ => None,
        }
    }

    /// The configuration that came into use with this event, or the committed one by which the placer is fenced.
    pub const fn config_version(&self) -> Option<ConfigVersion> {
        match self {
            Self::ConfigurationFirst { config_version, .. }
            | Self::ConfigurationJoint { config_version, .. }
            | Self::ConfigurationActive { config_version, .. } => Some(*config_version),
            Self::PlacerFenced { committed, .. } => Some(*committed),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
