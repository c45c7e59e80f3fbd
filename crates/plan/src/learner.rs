//! The learner: a node that persists no configuration and casts no vote. It learns from the version stamps on what
//! placers send it.

#[cfg(test)]
mod tests;

use reedring_node_protocol::{
    AcceptedVersion, AcceptorReport, Ballot, ConfigVersion, VersionStamp, version_level,
};

use crate::acceptor::OfferRejection;

/// What a learner has learned. It is not persisted: a new incarnation begins without a floor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LearnerState {
    /// The newest configuration by which a placer acted, in its joint phase or alone; number 0 before the first.
    newest: ConfigVersion,
}

impl LearnerState {
    /// The lowest version level of the offers that are admitted: the joint level of the newest configuration.
    pub fn floor(&self) -> u64 {
        version_level(self.newest, true)
    }

    /// A placer acts by this stamp: the floor rises to the joint level of its configuration, and never falls. Returns
    /// whether it rose.
    pub fn raise_floor(&mut self, stamp: &VersionStamp) -> bool {
        let rises = stamp.version.number > self.newest.number;
        if rises {
            self.newest = stamp.version;
        }
        rises
    }

    /// Checks whether an offer may be considered, by the version stamp of its placer.
    ///
    /// | stamp | floor | result |
    /// | --- | --- | --- |
    /// | none | none yet | admitted: its sender knows no configurations |
    /// | none | any | below the floor |
    /// | any | none yet | admitted |
    /// | a configuration of a smaller number | any | below the floor |
    /// | the floor's configuration, joint or alone | any | admitted |
    /// | another configuration of that number | any | conflicting version |
    /// | a configuration of a greater number | any | admitted, and the caller raises the floor |
    ///
    /// # Errors
    /// Why it is not admitted.
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

    /// The report of this state to placers. It is marked as that of a node which can't persist, which is how placers of
    /// the former version understand that it does not vote. The caller adds for how long the floor is unchanged, and who
    /// is connected.
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
