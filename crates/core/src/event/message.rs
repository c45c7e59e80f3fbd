//! The log message of each event.

use std::fmt;

use super::Event;

impl fmt::Display for Event {
    #[allow(clippy::too_many_lines, reason = "one arm for each event")]
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NodeListOutdated {
                revision,
                known_revision,
            } => {
                write!(
                    f,
                    "node list ignored: its revision {revision} is lower than the known revision {known_revision}"
                )
            }
            Self::NodeNameCollision { node } => {
                write!(
                    f,
                    "node {node} ignored: its name yields the machine id of another node; rename it"
                )
            }
            Self::NodeNameMismatch {
                node,
                address,
                reported,
            } => {
                write!(
                    f,
                    "node {node} not used: the node at {address} reports the name `{reported}`; correct the node list \
                     or the node's configuration"
                )
            }
            Self::NodeDisconnected { node, reason } => write!(f, "node {node}: {reason}"),
            Self::NodeDrained { node } => write!(f, "node {node}: drained by an operator"),
            Self::NodeUndrained { node } => {
                write!(f, "node {node}: no longer drained by an operator")
            }
            Self::NodeStillDrained { node } => {
                write!(f, "node {node}: still drained by an operator")
            }
            Self::AttemptNotAdopted {
                node, job, reason, ..
            } => {
                write!(
                    f,
                    "node {node} holds a task of job {job} that can't be adopted and is stopped: {reason}"
                )
            }
            Self::JobRequeued {
                job, node, reason, ..
            } => {
                write!(f, "job {job}: {reason} at {node}; it is queued again")
            }
            Self::RequestOverdue { request, job } => {
                write!(
                    f,
                    "the decision module did not answer request {request} in time; job {job} failed"
                )
            }
            Self::ConstraintViolated {
                job,
                clause,
                remedy,
            } => {
                write!(f, "job {job}: constraint `{clause}` is violated; {remedy}")
            }
            Self::ConstraintRestored {
                job,
                clause,
                violated_us,
            } => {
                let seconds = *violated_us as f64 / 1e6;
                write!(
                    f,
                    "job {job}: constraint `{clause}` is satisfied again after {seconds:.1} s"
                )
            }
            Self::StateUnavailable { reason } => {
                write!(
                    f,
                    "state: {reason}; nothing is persisted across a restart of this placer"
                )
            }
            Self::StateWriteFailed { reason } => {
                write!(
                    f,
                    "state: {reason}; nothing is persisted until the state folder can be written again"
                )
            }
            Self::StateWriteRestored => {
                write!(
                    f,
                    "state: the state folder can be written again; all records are rewritten"
                )
            }
            Self::StateLoaded {
                sessions,
                jobs,
                unfinished,
                unplaced,
                incomplete,
            } => {
                write!(
                    f,
                    "state: loaded {sessions} sessions and {jobs} jobs, of which {unfinished} are unfinished and \
                     {unplaced} wait for a place"
                )?;
                if *incomplete {
                    write!(
                        f,
                        "; records of the last incarnation may be missing: a job that must not start twice fails \
                         unless a node reports its outcome"
                    )?;
                }
                Ok(())
            }
            Self::SettingsRestartRequired { tables } => {
                write!(
                    f,
                    "settings: [{}] changed, which takes effect only after a restart; the old values apply",
                    tables.join("], [")
                )
            }
            Self::SettingsChangeIgnored => write!(
                f,
                "settings: the file has changed; a placer started without a [plan] table applies no changes"
            ),
            Self::SettingsChangeRejected { reason } => {
                write!(
                    f,
                    "settings: the changed file can't be applied, the old settings stay in use: {reason}"
                )
            }
            Self::ConfigurationTextInvalid { node, reason }
            | Self::ConfigurationDeltaInvalid { node, reason } => {
                write!(f, "configuration: node {node}: {reason}")
            }
            Self::ConfigurationUnsupported { file } => {
                write!(
                    f,
                    "configuration: most nodes store none; only the settings file is used{file}"
                )
            }
            Self::DispatchSuspended { reason, file } => {
                write!(
                    f,
                    "configuration: dispatch is suspended: {}{file}",
                    reason.description()
                )
            }
            Self::PlacerFenced {
                reason,
                committed,
                own,
                detail,
                file,
            } => {
                write!(
                    f,
                    "configuration: this placer is fenced: {}; {committed} is committed, the settings file has {own}",
                    reason.description()
                )?;
                detail
                    .iter()
                    .try_for_each(|detail| write!(f, ": {detail}"))?;
                write!(f, "{file}")
            }
            Self::ConfigurationFirst {
                config_version,
                file,
            } => {
                write!(
                    f,
                    "configuration: {config_version} is the first one chosen and is in use{file}"
                )
            }
            Self::ConfigurationJoint {
                config_version,
                previous,
                file,
            } => write!(
                f,
                "configuration: changing from {previous} to {config_version}; the stricter of both applies{file}"
            ),
            Self::ConfigurationActive {
                config_version,
                file,
            } => {
                write!(f, "active configuration: {config_version}{file}")
            }
            Self::ZoneReconnectsLimited {
                zone,
                silent,
                nodes,
            } => write!(
                f,
                "zone {zone}: {silent} of {nodes} nodes do not answer; connection attempts are rate limited until \
                 one answers"
            ),
            Self::ZoneReconnectsRestored { zone, silent } => write!(
                f,
                "zone {zone}: nodes answer again, {silent} still do not; connection attempts are no longer rate limited"
            ),
            Self::ModuleMessage { text } => f.write_str(text),
        }
    }
}
