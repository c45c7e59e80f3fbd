//! Orders to nodes without what the node has already: a delta in place of a text, or neither.

use reedring_nodeproto::{Delta, DeltaStep, Order, Record, Version};

use crate::delta;
use crate::text::ConfigDocument;

/// Shortens the orders of one placer. What a delta is made of once is kept for the other nodes.
#[derive(Clone, Debug, Default)]
pub struct Compactor {
    /// The last delta that was made, or that there is none, and between which plans.
    made: Option<(Version, Version, Option<Delta>)>,
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
        order: Order,
        record: &Record,
        base: Option<&ConfigDocument>,
    ) -> Order {
        if !record.deltas {
            return order;
        }
        let keeps = |version: Version| record.next.is_some_and(|next| next.version == version);
        match order {
            Order::Fetch { version, .. } => {
                let before = |base: &Version| base.number.checked_add(1) == Some(version.number);
                Order::Fetch {
                    version,
                    have: base.map(ConfigDocument::version).filter(before),
                }
            }
            Order::Joint {
                follows,
                version,
                list,
                ..
            } if keeps(version) => Order::Joint {
                follows,
                version,
                text: String::new(),
                list,
            },
            Order::Force { version, list, .. } if keeps(version) => Order::Force {
                version,
                text: String::new(),
                list,
            },
            order => match base.filter(|base| base.version() == record.force) {
                Some(base) => self.by_delta(base, &order).unwrap_or(order),
                None => order,
            },
        }
    }

    /// The same order with a delta from the plan that its node has in force, where that is shorter.
    fn by_delta(&mut self, base: &ConfigDocument, order: &Order) -> Option<Order> {
        let (step, version, text, list) = match order {
            Order::Accept {
                ballot,
                version,
                text,
                list,
                ..
            } => (DeltaStep::Accept { ballot: *ballot }, *version, text, *list),
            Order::Joint {
                version,
                text,
                list,
                ..
            } => (DeltaStep::Joint, *version, text, *list),
            Order::Force {
                version,
                text,
                list,
            } => (DeltaStep::Force, *version, text, *list),
            _ => return None,
        };
        let delta = self.delta(base, version, text)?;
        Some(Order::ByDelta { step, delta, list })
    }

    fn delta(&mut self, base: &ConfigDocument, version: Version, text: &str) -> Option<Delta> {
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
