//! Shortens requests to nodes that have a part of the text already: a delta replaces the text, or the text is omitted.

use reedring_node_protocol::{AcceptorReport, ConfigRequest, ConfigVersion, Delta, DeltaStep};

use crate::delta;
use crate::document::ConfigDocument;

/// The delta that was computed last, and the versions between which it leads.
#[derive(Clone, Debug)]
struct CachedDelta {
    base: ConfigVersion,
    target: ConfigVersion,
    /// `None` if there is no delta that is shorter than the text of the target.
    delta: Option<Delta>,
}

/// Shortens the requests of one placer. The last delta is cached, so that it is computed once for all nodes.
#[derive(Clone, Debug, Default)]
pub struct RequestCompactor {
    cached: Option<CachedDelta>,
}

impl RequestCompactor {
    /// An equivalent request in as few bytes as possible, for a node with this report. `base` is a configuration whose
    /// text the placer has.
    ///
    /// | request | condition | result |
    /// | --- | --- | --- |
    /// | any | the node does not support deltas | unchanged |
    /// | fetch | the configuration is the one after `base` | fetch of the delta from `base` |
    /// | enter joint, commit | the node has accepted the same configuration | without the text |
    /// | accept, enter joint, commit | `base` is committed at the node, and the delta is shorter than the text | by delta |
    /// | any | else | unchanged |
    pub fn compact(
        &mut self,
        request: ConfigRequest,
        report: &AcceptorReport,
        base: Option<&ConfigDocument>,
    ) -> ConfigRequest {
        if !report.reads_deltas {
            return request;
        }
        let has_accepted = |version: ConfigVersion| {
            let accepted = report.accepted;
            accepted.is_some_and(|accepted| accepted.version == version)
        };
        match request {
            ConfigRequest::Fetch { version, .. } => {
                let base = base.map(ConfigDocument::version);
                let is_before =
                    |base: &ConfigVersion| base.number.checked_add(1) == Some(version.number);
                ConfigRequest::Fetch {
                    version,
                    have: base.filter(is_before),
                }
            }
            ConfigRequest::EnterJoint {
                follows,
                version,
                list,
                ..
            } if has_accepted(version) => ConfigRequest::EnterJoint {
                follows,
                version,
                text: String::new(),
                list,
            },
            ConfigRequest::Commit { version, list, .. } if has_accepted(version) => {
                ConfigRequest::Commit {
                    version,
                    text: String::new(),
                    list,
                }
            }
            request => match base.filter(|base| base.version() == report.committed) {
                Some(base) => self.by_delta(base, &request).unwrap_or(request),
                None => request,
            },
        }
    }

    /// The same request with the delta from `base`, which its node has committed. `None` if the request carries no text
    /// or the delta is not shorter.
    fn by_delta(
        &mut self,
        base: &ConfigDocument,
        request: &ConfigRequest,
    ) -> Option<ConfigRequest> {
        let (step, version, text, list) = match request {
            ConfigRequest::Accept {
                ballot,
                version,
                text,
                list,
                ..
            } => (DeltaStep::Accept { ballot: *ballot }, *version, text, *list),
            ConfigRequest::EnterJoint {
                version,
                text,
                list,
                ..
            } => (DeltaStep::EnterJoint, *version, text, *list),
            ConfigRequest::Commit {
                version,
                text,
                list,
            } => (DeltaStep::Commit, *version, text, *list),
            _ => return None,
        };
        let delta = self.delta(base, version, text)?;
        Some(ConfigRequest::ByDelta { step, delta, list })
    }

    /// The delta from `base` to the configuration of `target` and `text`, if it is shorter than the text; cached.
    fn delta(&mut self, base: &ConfigDocument, target: ConfigVersion, text: &str) -> Option<Delta> {
        if let Some(cached) = &self.cached
            && cached.base == base.version()
            && cached.target == target
        {
            return cached.delta.clone();
        }
        let document = ConfigDocument::verify(target, text).ok();
        let delta = document.and_then(|target| delta::shorter_than_text(base, &target));
        self.cached = Some(CachedDelta {
            base: base.version(),
            target,
            delta: delta.clone(),
        });
        delta
    }
}
