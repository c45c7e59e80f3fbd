//! Which offers an acceptor admits, by the version stamp of the offer.

use reedring_node_protocol::{ConfigVersion, VersionStamp};

use super::{AcceptorState, OfferRejection};

impl AcceptorState {
    /// Checks whether an offer is admitted, by the version stamp of its placer.
    ///
    /// | stamp | condition | result |
    /// | --- | --- | --- |
    /// | none | no configuration was replaced here, and no successor of a committed one is joint | admitted: its sender does not support configurations |
    /// | none | else | below the floor |
    /// | any | nothing is committed or joint here | unknown version: this node has no configuration yet |
    /// | below the floor | | below the floor |
    /// | the floor, or one level above it | no other configuration of that number is committed or joint here | admitted |
    /// | the floor, or one level above it | another configuration of that number is committed or joint here | conflicting version |
    /// | higher | | unknown version |
    ///
    /// # Errors
    /// The reason for the rejection, as in the table.
    pub fn check_offer(&self, stamp: Option<&VersionStamp>) -> Result<(), OfferRejection> {
        let floor = self.floor();
        let Some(stamp) = stamp else {
            return self.check_offer_without_stamp();
        };
        let offered = stamp.level();
        if !self.knows_any_version() {
            return Err(OfferRejection::UnknownVersion { offered, floor });
        }
        if offered < floor {
            return Err(OfferRejection::BelowFloor { offered, floor });
        }
        if offered > floor + 1 {
            return Err(OfferRejection::UnknownVersion { offered, floor });
        }
        match self.conflicting_version(stamp.version) {
            Some(version) => Err(OfferRejection::ConflictingVersion(version)),
            None => Ok(()),
        }
    }

    fn check_offer_without_stamp(&self) -> Result<(), OfferRejection> {
        let is_first = self.committed.is_none() || self.joint().is_none();
        if self.replaced_configs == 0 && is_first {
            return Ok(());
        }
        Err(OfferRejection::BelowFloor {
            offered: 0,
            floor: self.floor(),
        })
    }

    fn knows_any_version(&self) -> bool {
        self.committed.is_some() || self.joint().is_some()
    }

    /// The committed or joint configuration with the same number as `version` and another digest, if there is one.
    fn conflicting_version(&self, version: ConfigVersion) -> Option<ConfigVersion> {
        let chosen = self.joint().map(|joint| joint.document.version());
        let known = [Some(self.committed_version()), chosen];
        let same_number = known
            .into_iter()
            .flatten()
            .find(|known| known.number == version.number);
        same_number.filter(|known| *known != version)
    }
}
