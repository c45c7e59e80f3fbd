//! Orders to nodes without what the node has already: a delta in place of a text, or neither.

use reedring_node_protocol::{AcceptorReport, ConfigRequest, ConfigVersion, Delta, DeltaStep};

use crate::delta;
use crate::text::ConfigDocument;

/// Shortens the orders of one placer. What a delta is made of once is kept for the other nodes.
#[derive(Clone, Debug, Default)]
pub struct Compactor {
    /// The last delta that was made, or that there is none, and between which plans.
    made: Option<(ConfigVersion, ConfigVersion, Option<Delta>)>,
}

impl Compactor {
    /// The same order in fewer bytes, for a node that told this record. `base` is a plan whose text is here.
    ///
    /// | order | where | is |
    /// | --- | --- | --- |
    /// | any | the node reads no deltas | left as it is |
    /// | fetch | the plan is the one after `base` | asks for what changed since |
    /// | joint, force | the node keeps that very plan as the next one | without the text |
    /// | accept, joint, force | `base` is in force there, and the delta is shorter than the text | by delta |
    /// | any | else | left as it is |
    pub fn compact(
        &mut self,
        order: ConfigRequest,
        record: &AcceptorReport,
        base: Option<&ConfigDocument>,
    ) -> ConfigRequest {
        if !record.deltas {
            return order;
        }
        let keeps =
            |version: ConfigVersion| record.next.is_some_and(|next| next.version == version);
        match order {
            ConfigRequest::Fetch { version, .. } => {
                let before =
                    |base: &ConfigVersion| base.number.checked_add(1) == Some(version.number);
                ConfigRequest::Fetch {
                    version,
                    have: base.map(ConfigDocument::version).filter(before),
                }
            }
            ConfigRequest::EnterJoint {
                follows,
                version,
                list,
                ..
            } if keeps(version) => ConfigRequest::EnterJoint {
                follows,
                version,
                text: String::new(),
                list,
            },
            ConfigRequest::Commit { version, list, .. } if keeps(version) => {
                ConfigRequest::Commit {
                    version,
                    text: String::new(),
                    list,
                }
            }
            order => match base.filter(|base| base.version() == record.force) {
                Some(base) => self.by_delta(base, &order).unwrap_or(order),
                None => order,
            },
        }
    }

    /// The same order with a delta from the plan that its node has in force, where that is shorter.
    fn by_delta(&mut self, base: &ConfigDocument, order: &ConfigRequest) -> Option<ConfigRequest> {
        let (step, version, text, list) = match order {
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

    fn delta(
        &mut self,
        base: &ConfigDocument,
        version: ConfigVersion,
        text: &str,
    ) -> Option<Delta> {
        if let Some((from, to, delta)) = &self.made
            && (*from, *to) == (base.version(), version)
        {
            return delta.clone();
        }
        let delta = ConfigDocument::checked(version, text)
            .ok()
            .and_then(|target| delta::shorter(base, &target));
        self.made = Some((base.version(), version, delta.clone()));
        delta
    }
}
