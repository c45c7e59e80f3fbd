//! How each request of a proposer changes the state of an acceptor.

use std::cmp::Ordering;

use reedring_node_protocol::{Ballot, ConfigRequest, ConfigVersion, Delta, DeltaStep};

use super::{AcceptedConfig, AcceptorState, RequestRejection};
use crate::delta;
use crate::document::{ConfigDocument, DocumentError};

impl AcceptorState {
    /// The state after a request. The caller must make it durable before it answers the request.
    ///
    /// | request | condition | result |
    /// | --- | --- | --- |
    /// | query, fetch, raise floor | always | unchanged |
    /// | any other | its node list revision is older than that of an earlier request | rejected: stale node list |
    /// | prepare, accept, enter joint | follows another configuration than the committed one | rejected: committed mismatch |
    /// | prepare, accept | installed by catch-up, and `has_settled` is false | rejected: votes unknown |
    /// | prepare | the next configuration is chosen | rejected: already chosen |
    /// | prepare | its ballot is not greater than the promised one | rejected: preempted, or unchanged |
    /// | prepare | else | promised: smaller ballots are rejected from now on |
    /// | accept | the next configuration is chosen | rejected: already chosen |
    /// | accept | its ballot is smaller than the promised one | rejected: preempted |
    /// | accept | a configuration is committed, and the number is not the one after it | rejected: number gap |
    /// | accept | else | accepted, with its ballot |
    /// | by delta | its base is not the committed configuration | rejected: committed mismatch |
    /// | by delta | the delta can't be applied, or does not yield its target | rejected: delta |
    /// | by delta | else | as the same request with the resulting text |
    /// | enter joint, commit | the text is empty, and the configuration is not accepted here | rejected: document |
    /// | enter joint | another configuration is chosen | rejected: already chosen |
    /// | enter joint | else | accepted and chosen: the floor rises by one level |
    /// | commit | the number is below the committed one, or another configuration has it | rejected: committed mismatch |
    /// | commit | else | committed: the floor rises; what was accepted up to that number is discarded |
    ///
    /// A node that starts without its stored state may have voted before the loss, and these votes are unknown. It
    /// votes again only with `has_settled`, which the caller sets once the node is up for longer than any change takes.
    /// While nothing is committed at the node, it may vote at once.
    ///
    /// # Errors
    /// The reason why the state does not change, as in the table.
    pub fn apply(
        &self,
        request: &ConfigRequest,
        has_settled: bool,
    ) -> Result<Self, RequestRejection> {
        match request {
            ConfigRequest::Query { .. }
            | ConfigRequest::Fetch { .. }
            | ConfigRequest::RaiseFloor { .. } => Err(RequestRejection::Unchanged),
            ConfigRequest::ByDelta { step, delta, list } => {
                self.apply(&self.with_full_text(*step, delta, *list)?, has_settled)
            }
            ConfigRequest::Prepare {
                follows,
                ballot,
                list,
            } => {
                let state = self.with_list_revision(*list)?;
                self.check_predecessor(*follows)?;
                self.check_may_vote(has_settled)?;
                state.promise(*ballot)
            }
            ConfigRequest::Accept {
                follows,
                ballot,
                version,
                text,
                list,
            } => {
                let state = self.with_list_revision(*list)?;
                self.check_predecessor(*follows)?;
                self.check_may_vote(has_settled)?;
                state.accept(*ballot, *version, text)
            }
            ConfigRequest::EnterJoint {
                follows,
                version,
                text,
                list,
            } => {
                let state = self.with_list_revision(*list)?;
                self.check_predecessor(*follows)?;
                state.enter_joint(*version, text)
            }
            ConfigRequest::Commit {
                version,
                text,
                list,
            } => self.with_list_revision(*list)?.commit(*version, text),
        }
    }

    /// Phase 1 of a ballot: promises it.
    fn promise(mut self, ballot: Ballot) -> Result<Self, RequestRejection> {
        self.check_not_chosen()?;
        match ballot.cmp(&self.promised) {
            Ordering::Less => Err(RequestRejection::Preempted),
            Ordering::Equal => Err(RequestRejection::Unchanged),
            Ordering::Greater => {
                self.promised = ballot;
                Ok(self)
            }
        }
    }

    /// Phase 2 of a ballot: votes for a configuration.
    fn accept(
        mut self,
        ballot: Ballot,
        version: ConfigVersion,
        text: &str,
    ) -> Result<Self, RequestRejection> {
        self.check_not_chosen()?;
        if ballot < self.promised {
            return Err(RequestRejection::Preempted);
        }
        let document = ConfigDocument::verify(version, text)?;
        self.check_successor(version)?;
        self.promised = ballot;
        self.accepted = Some(AcceptedConfig {
            ballot,
            document,
            joint: false,
        });
        Ok(self)
    }

    /// Begins the joint phase of a configuration that was chosen: a majority accepted it with one ballot.
    fn enter_joint(mut self, version: ConfigVersion, text: &str) -> Result<Self, RequestRejection> {
        match self.joint().map(|joint| joint.document.version()) {
            Some(chosen) if chosen == version => return Err(RequestRejection::Unchanged),
            Some(chosen) => return Err(RequestRejection::AlreadyChosen(chosen)),
            None => {}
        }
        let document = self.requested_document(version, text)?;
        self.check_successor(version)?;
        let accepted = self.accepted.as_ref();
        self.accepted = Some(AcceptedConfig {
            ballot: accepted.map_or(self.promised, |accepted| accepted.ballot),
            document,
            joint: true,
        });
        Ok(self)
    }

    /// Commits a configuration: a majority of the voters has persisted it as joint, or has committed it or a later one.
    fn commit(mut self, version: ConfigVersion, text: &str) -> Result<Self, RequestRejection> {
        let committed = self.committed_version();
        if version == committed {
            return Err(RequestRejection::Unchanged);
        }
        if version.number <= committed.number {
            return Err(RequestRejection::CommittedMismatch(committed));
        }
        let document = self.requested_document(version, text)?;
        let is_first = self.committed.is_none();
        let was_accepted = self
            .accepted
            .as_ref()
            .is_some_and(|accepted| accepted.document == document);
        self.replaced_configs = self.replaced_configs.saturating_add(u32::from(!is_first));
        self.installed_by_catch_up = is_first && !was_accepted;
        self.committed = Some(document);
        // Promises hold only for the successor of one committed configuration.
        self.promised = Ballot::default();
        self.accepted = self
            .accepted
            .filter(|accepted| accepted.document.version().number > version.number);
        Ok(self)
    }

    /// This state with the node list revision of a request.
    fn with_list_revision(&self, revision: u64) -> Result<Self, RequestRejection> {
        if revision < self.list_revision {
            return Err(RequestRejection::StaleNodeList {
                sender: revision,
                known: self.list_revision,
            });
        }
        Ok(Self {
            list_revision: revision,
            ..self.clone()
        })
    }

    fn check_predecessor(&self, follows: ConfigVersion) -> Result<(), RequestRejection> {
        let committed = self.committed_version();
        if follows == committed {
            Ok(())
        } else {
            Err(RequestRejection::CommittedMismatch(committed))
        }
    }

    fn check_may_vote(&self, has_settled: bool) -> Result<(), RequestRejection> {
        if self.installed_by_catch_up && !has_settled {
            Err(RequestRejection::VotesUnknown)
        } else {
            Ok(())
        }
    }

    fn check_not_chosen(&self) -> Result<(), RequestRejection> {
        match self.joint() {
            Some(chosen) => Err(RequestRejection::AlreadyChosen(chosen.document.version())),
            None => Ok(()),
        }
    }

    /// Checks that the number is the one after the committed configuration's. Any number is valid if none is committed.
    fn check_successor(&self, next: ConfigVersion) -> Result<(), RequestRejection> {
        let committed = self.committed_version().number;
        if committed > 0 && next.number != committed + 1 {
            return Err(RequestRejection::NumberGap {
                requested: next.number,
                committed,
            });
        }
        Ok(())
    }

    /// The configuration of a request: that of its text, or the accepted one if the sender left out the text.
    fn requested_document(
        &self,
        version: ConfigVersion,
        text: &str,
    ) -> Result<ConfigDocument, DocumentError> {
        match self.accepted_document(version) {
            Some(document) if text.is_empty() => Ok(document.clone()),
            _ => ConfigDocument::verify(version, text),
        }
    }

    /// The request that carries the full text instead of a delta.
    fn with_full_text(
        &self,
        step: DeltaStep,
        delta: &Delta,
        list: u64,
    ) -> Result<ConfigRequest, RequestRejection> {
        let base = self.committed_document(delta.base);
        let base = base.ok_or(RequestRejection::CommittedMismatch(
            self.committed_version(),
        ))?;
        let target = delta::apply(base, delta)?;
        let (follows, version) = (delta.base, target.version());
        let text = target.text().to_owned();
        Ok(match step {
            DeltaStep::Accept { ballot } => ConfigRequest::Accept {
                follows,
                ballot,
                version,
                text,
                list,
            },
            DeltaStep::EnterJoint => ConfigRequest::EnterJoint {
                follows,
                version,
                text,
                list,
            },
            DeltaStep::Commit => ConfigRequest::Commit {
                version,
                text,
                list,
            },
        })
    }
}
