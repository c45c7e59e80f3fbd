//! The learner: a node that persists no configuration and does not vote. It takes the newest configuration from the
//! version stamps of the placers' messages.

#[cfg(test)]
mod tests;

use reedring_node_protocol::{
    AcceptedVersion, AcceptorReport, Ballot, ConfigVersion, VersionStamp, version_level,
};

use crate::acceptor::OfferRejection;

/// The newest configuration that a learner has received. It is not persisted: a new incarnation begins without a floor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LearnerState {
    /// The newest configuration in any stamp, whether the placer applied it jointly or alone; number 0 before the
    /// first.
    newest: ConfigVersion,
}

impl LearnerState {
    /// The lowest version level of the offers that are admitted: the joint level of the newest configuration, or 0.
    pub fn floor(&self) -> u64 {
        version_level(self.newest, true)
    }

    /// Raises the floor to the joint level of the stamp's configuration, if that is newer. The floor never falls.
    /// Returns whether it rose.
    pub fn raise_floor(&mut self, stamp: &VersionStamp) -> bool {
        let rises = stamp.version.number > self.newest.number;
        if rises {
            self.newest = stamp.version;
        }
        rises
    }

    /// Checks whether an offer is admitted, by the version stamp of its placer.
    ///
    /// | stamp | floor | result |
    /// | --- | --- | --- |
    /// | none | none yet | admitted: its sender does not support configurations |
    /// | none | any | below the floor |
    /// | any | none yet | admitted, and the caller raises the floor |
    /// | a configuration of a smaller number | any | below the floor |
    /// | the floor's configuration, joint or alone | any | admitted |
    /// | another configuration of that number | any | conflicting version |
    /// | a configuration of a greater number | any | admitted, and the caller raises the floor |
    ///
    /// # Errors
    /// The reason for the rejection, as in the table.
    pub fn check_offer(&self, stamp: Option<&VersionStamp>) -> Result<(), OfferRejection> {
        let floor = self.floor();
        let Some(stamp) = stamp else {
            return match floor {
                0 => Ok(()),
                floor => Err(OfferRejection::BelowFloor { offered: 0, floor }),
            };
        };
        if stamp.version.number < self.newest.number {
            let offered = stamp.level();
            return Err(OfferRejection::BelowFloor { offered, floor });
        }
        if stamp.version.number == self.newest.number && stamp.version != self.newest {
            return Err(OfferRejection::ConflictingVersion(self.newest));
        }
        Ok(())
    }

    /// The report of this state to placers. It also sets `cannot_persist`, by which placers with an older version of
    /// the protocol see that the node does not vote. The caller adds the age of the floor and the number of connected
    /// placers.
    pub fn report(&self) -> AcceptorReport {
        let newest = AcceptedVersion {
            ballot: Ballot::default(),
            version: self.newest,
            joint: true,
        };
        AcceptorReport {
            accepted: (self.newest.number > 0).then_some(newest),
            cannot_persist: true,
            is_learner: true,
            ..AcceptorReport::default()
        }
    }
}
