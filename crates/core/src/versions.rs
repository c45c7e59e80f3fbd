//! By which plan this placer acts: what nodes tell of plans goes to `reedring_plan`, and what that answers becomes
//! settings for the module, nodes that are held back, orders to nodes and lines for the staff.

use std::collections::{BTreeMap, VecDeque};

use reedring::{Event as ModuleEvent, Micros};
use reedring_node_protocol::{AcceptorReport, ConfigRequest, ConfigVersion, Message, VersionStamp};
use reedring_plan::{
    ActiveConfig, ChangePhase, ClusterView, Compactor, ConfigDocument, Delta, DispatchBlock,
    DocumentCache, LeaseState, LocalConfig, Membership, PeerState, ProposalBackoff, Proposer,
    QuorumContact, Usability, delta, dispatch_block, joint_bounds, lease_state, must_raise,
};
use reedring_settings::{Health, Settings};
use reedring_state::{self as state, Change};

use crate::core::Core;
use crate::event::{Event, FileStatus};
use crate::io::Output;
use crate::jobs::NodeNo;
use crate::timers::Timer;

/// Microseconds between two looks while a change is under way, or a node settles.
const BUSY_US: Micros = 100_000;
/// Microseconds between two questions to control machines while no majority of them is heard.
const QUORUM_RETRY_US: Micros = 500_000;
/// How often all voters are asked within a lease: the heartbeat.
const ASKS: u64 = 3;

/// Changes of the settings file that wait for the ones before them to be in force.
const MAX_QUEUED: usize = 64;

/// A plan of the settings file, and the settings with it.
struct FilePlan {
    plan: ConfigDocument,
    settings: Settings,
}

/// What a placer knows of plans. There is none where its file has no `[plan]`.
pub(crate) struct Versions {
    own: ConfigDocument,
    pinned: bool,
    lease_us: Micros,
    /// The settings of its file.
    file: Settings,
    /// Later plans of the file, in the order of their numbers, while the one before is not in force.
    queued: VecDeque<FilePlan>,
    build: u32,
    maker: Proposer,
    pace: ProposalBackoff,
    compactor: Compactor,
    /// The newest plan in force whose text is here: what orders and answers may leave out.
    base: Option<ConfigDocument>,
    /// A plan of which a delta was told that does not make it: it is asked for whole.
    whole: Option<ConfigVersion>,
    texts: DocumentCache,
    kin: BTreeMap<NodeNo, PeerState>,
    /// When each node told last, on a link that may have ended since.
    heard: BTreeMap<NodeNo, Micros>,
    /// A majority of the voters was heard before in this life.
    ever: bool,
    /// The newest plan in force that this life knows of, whatever nodes have forgotten.
    force: ConfigVersion,
    lease_state: LeaseState,
    /// What became of each plan's text: settings, or why it can't be acted by.
    plans: BTreeMap<ConfigVersion, Result<Settings, String>>,
    /// What operators were told last.
    last_event: Option<Event>,
    /// Something was told since the last look: it is looked at once a turn.
    dirty: bool,
    /// When the next look is due.
    due: Micros,
    asked: Micros,
}

/// What is held back by plans.
#[derive(Debug, Default)]
struct HeldByPlans {
    /// Some node is, for a reason that may end without a word of anybody.
    ends_by_time: bool,
    /// Cold learners that are to be told by what this placer acts.
    to_raise: Vec<NodeNo>,
}

/// A plan of the file, where there is one.
fn own_plan(settings: &Settings) -> Option<(ConfigDocument, bool, Micros)> {
    let plan = settings.plan.as_ref()?;
    let kept = settings.plan().ok().flatten()?;
    Some((kept, plan.pinned, plan.lease_us))
}

impl Versions {
    /// Of a placer that starts with these settings.
    pub fn new(settings: &Settings, life: u64) -> Option<Self> {
        let (own, pinned, lease_us) = own_plan(settings)?;
        let mut texts = DocumentCache::default();
        texts.add(&own);
        Some(Self {
            plans: BTreeMap::from([(own.version(), Ok(settings.clone()))]),
            own,
            pinned,
            lease_us,
            file: settings.clone(),
            queued: VecDeque::new(),
            build: crate::build(),
            maker: Proposer::new(life),
            pace: ProposalBackoff::default(),
            compactor: Compactor::default(),
            base: None,
            whole: None,
            texts,
            kin: BTreeMap::new(),
            heard: BTreeMap::new(),
            ever: false,
            force: ConfigVersion::default(),
            lease_state: LeaseState::Suspended(reedring_plan::SuspendReason::NoMajority),
            last_event: None,
            dirty: false,
            due: 0,
            asked: 0,
        })
    }

    /// Brings this plan of the file in from now on, in place of the one before.
    fn take_up(&mut self, FilePlan { plan, settings }: FilePlan) {
        self.texts.add(&plan);
        self.plans.insert(plan.version(), Ok(settings.clone()));
        (self.own, self.file) = (plan, settings);
        self.dirty = true;
    }

    /// The file says something else.
    ///
    /// | its plan | is |
    /// | --- | --- |
    /// | the one that was taken up last | left: nothing changed |
    /// | the one after it, which is not in force yet | queued, so that neither is lost |
    /// | else | taken up at once; those of its number and over it that wait are dropped |
    ///
    /// # Errors
    /// Why it can't be taken up.
    fn file_changed(&mut self, settings: &Settings) -> Result<(), String> {
        let plan = settings.plan().map_err(|problems| problems.to_string())?;
        let plan = plan.ok_or("plan: the table is gone; it is taken out by a restart")?;
        // Its own tables are those of the start.
        let settings = self
            .file
            .with_plan(plan.text(), "the settings file")
            .map_err(|all| all.to_string())?;
        let number = plan.version().number;
        self.queued
            .retain(|queued| queued.plan.version().number < number);
        let last = self
            .queued
            .back()
            .map_or(&self.own, |queued| &queued.plan)
            .version();
        if plan.version() == last {
            return Ok(());
        }
        let waits = last.number > self.force.number && number == last.number + 1;
        match (waits, self.queued.len()) {
            (true, MAX_QUEUED) => {
                return Err(format!(
                    "plan.number: {MAX_QUEUED} plans of the file wait, plan {number} does not fit"
                ));
            }
            (true, _) => self.queued.push_back(FilePlan { plan, settings }),
            (false, _) => {
                self.queued.clear();
                self.take_up(FilePlan { plan, settings });
            }
        }
        Ok(())
    }

    /// Takes up the next plan of the file that waits, once the one before is in force or another one is.
    fn next_of_file(&mut self) {
        if self.own.version().number <= self.force.number
            && let Some(next) = self.queued.pop_front()
        {
            self.take_up(next);
        }
    }

    /// Why nothing is taken, where that does not end by itself.
    pub fn shut_out(&self) -> Option<&'static str> {
        match self.lease_state {
            LeaseState::Suspended(why) if why.is_shut_out() => Some(why.word()),
            _ => None,
        }
    }

    /// What operators are told of the configuration in use.
    fn status(&self, rejected: Option<String>) -> Event {
        let (own, committed) = (self.own.version(), self.force);
        let behind = committed.number > 0 && own != committed && own.number <= committed.number;
        let superseded = (behind && self.shut_out().is_none()).then_some(own);
        let file = FileStatus {
            superseded,
            rejected,
        };
        match self.lease_state {
            LeaseState::Unmanaged => Event::ConfigurationUnsupported { file },
            LeaseState::Suspended(reason) if reason.is_shut_out() => {
                let detail = match self.plans.get(&committed) {
                    Some(Err(why)) => Some(why.replace('\n', "; ")),
                    _ => None,
                };
                Event::PlacerFenced {
                    reason,
                    committed,
                    own,
                    detail,
                    file,
                }
            }
            LeaseState::Suspended(reason) => Event::DispatchSuspended { reason, file },
            LeaseState::Active(ActiveConfig { force, next, .. }) => match next {
                Some(next) if force.number == 0 => Event::ConfigurationFirst {
                    config_version: next,
                    file,
                },
                Some(next) => Event::ConfigurationJoint {
                    config_version: next,
                    previous: force,
                    file,
                },
                None => Event::ConfigurationActive {
                    config_version: force,
                    file,
                },
            },
        }
    }

    /// By what it decides now, for a node that reads it.
    fn stamp(&self, list: u64) -> VersionStamp {
        let (version, joint) = match &self.lease_state {
            LeaseState::Active(acts) => acts.stamp(),
            _ => (self.own.version(), false),
        };
        VersionStamp {
            version,
            joint,
            list,
            build: self.build,
        }
    }

    /// When the lease is over unless more voters are heard: a majority of them was heard until then.
    fn lease_lapses(&self, fleet: &ClusterView) -> Option<Micros> {
        let mut heard: Vec<Micros> = fleet
            .voters()
            .filter_map(|(number, _)| self.heard.get(&number).copied())
            .collect();
        let last_of_majority = fleet
            .majority()
            .checked_sub(1)
            .filter(|last| *last < heard.len())?;
        let (_, since, _) =
            heard.select_nth_unstable_by(last_of_majority, |one, other| other.cmp(one));
        Some(since.saturating_add(self.lease_us))
    }

    /// Reads a plan's text as settings, once.
    fn read(&mut self, version: ConfigVersion) {
        if let Some(text) = self
            .texts
            .get(version)
            .filter(|_| !self.plans.contains_key(&version))
        {
            let read = self.file.with_plan(text, &format!("plan {version}"));
            self.plans
                .insert(version, read.map_err(|problems| problems.to_string()));
        }
    }

    /// The same orders without what their nodes have already.
    fn compact(&mut self, orders: Vec<(NodeNo, ConfigRequest)>) -> Vec<(NodeNo, ConfigRequest)> {
        if self.base.as_ref().map(ConfigDocument::version) != Some(self.force)
            && let Some(force) = self.texts.kept(self.force)
        {
            self.base = Some(force);
        }
        let (base, kin, whole) = (self.base.as_ref(), &self.kin, self.whole);
        let compact = |(node, order): (NodeNo, ConfigRequest)| {
            let in_full =
                matches!(order, ConfigRequest::Fetch { version, .. } if Some(version) == whole);
            match kin
                .get(&node)
                .and_then(PeerState::record)
                .filter(|_| !in_full)
            {
                Some(record) => (node, self.compactor.compact(order, record, base)),
                None => (node, order),
            }
        };
        orders.into_iter().map(compact).collect()
    }

    /// What can be done with a plan, after another or by itself.
    fn can(&self, version: ConfigVersion, force: ConfigVersion) -> Usability {
        match self.plans.get(&version) {
            None => Usability::Missing,
            Some(Err(_)) => Usability::Unusable,
            Some(Ok(new)) if version != force && force.number > 0 => match self.plans.get(&force) {
                Some(Ok(old)) if joint_bounds(&old.bounds(), &new.bounds()).is_err() => {
                    Usability::Unusable
                }
                _ => Usability::Usable,
            },
            Some(Ok(_)) => Usability::Usable,
        }
    }

    /// The settings by which to act, in the numbers of those in use.
    fn settings(&self, acts: &ActiveConfig, linked: u32, used: &Settings) -> Option<Settings> {
        let read = |version: ConfigVersion| self.plans.get(&version)?.as_ref().ok();
        let base = read(acts.next.unwrap_or(acts.force))?;
        let mut bounds = base.bounds();
        if let Some(old) = acts.next.and_then(|_| read(acts.force)) {
            bounds = joint_bounds(&old.bounds(), &bounds).ok()?;
        }
        if let Some(stricter) = acts
            .ahead
            .and_then(read)
            .and_then(|own| joint_bounds(&bounds, &own.bounds()).ok())
        {
            // Classes that only the own file has are not open yet, and none is closed for its sake.
            let open: BTreeMap<String, bool> = bounds
                .classes
                .iter()
                .map(|(name, class)| (name.clone(), class.open))
                .collect();
            bounds = stricter;
            bounds.classes.retain(|name, _| open.contains_key(name));
            bounds
                .classes
                .iter_mut()
                .for_each(|(name, class)| class.open = open[name]);
        }
        // A plan that names fewer placers than nodes hear is no leave to act for fewer.
        bounds.placers = bounds.placers.max(linked);
        Some(base.bound_by(&bounds).in_numbers_of(used))
    }

    /// The own plan, where it may be brought in now; else why not, where that is for the staff.
    fn proposes(
        &self,
        fleet: &ClusterView,
        force: ConfigVersion,
    ) -> Result<Option<&ConfigDocument>, String> {
        let (own, linked, learned) = (self.own.version(), fleet.linked(), fleet.learned());
        if own.number <= force.number {
            return Ok(None);
        }
        if force.number == 0 && own != learned && own.number <= learned.number {
            return Err(format!(
                "plan.number: learners know of plan {learned}, and no voter keeps it; plan {own} of the file is not \
                 the first one"
            ));
        }
        if force.number > 0 && own.number != force.number + 1 {
            let next = force.number + 1;
            let wait = format!("it waits for plan {next}, or is to be numbered so");
            return Err(format!(
                "plan.number: plan {own} of the file does not follow plan {force}: {wait}"
            ));
        }
        let placers = self.file.site.placers;
        if placers < linked {
            return Err(format!(
                "site.placers: plan {own} of the file is for {placers} placers, nodes hear {linked}"
            ));
        }
        let joint_form = match self.plans.get(&force) {
            Some(Ok(old)) => joint_bounds(&old.bounds(), &self.file.bounds()).map(drop),
            _ => Ok(()),
        };
        match joint_form {
            Ok(()) => Ok(Some(&self.own)),
            Err(wrong) => Err(format!(
                "plan {own} of the file can't follow plan {force}: {}",
                wrong.join("; ")
            )),
        }
    }
}

impl Core {
    /// What a node keeps of plans, from its greeting; none where it speaks version 1.
    pub(crate) fn node_greets(
        &mut self,
        now: Micros,
        number: NodeNo,
        record: Option<AcceptorReport>,
    ) {
        let Some(versions) = &mut self.versions else {
            return;
        };
        versions.pace.forget(number);
        match record {
            Some(record) => self.node_records(now, number, record),
            None => {
                versions.kin.insert(number, PeerState::Old);
                versions.heard.insert(number, now);
                versions.dirty = true;
            }
        }
    }

    /// What a node keeps of plans has changed, or was asked for.
    pub(crate) fn node_records(&mut self, now: Micros, number: NodeNo, record: AcceptorReport) {
        let Some(versions) = &mut self.versions else {
            return;
        };
        let before = versions.kin.insert(number, PeerState::Told(record));
        versions.heard.insert(number, now);
        // What only says that the node is there need not be thought over at once.
        let same = |old: &AcceptorReport| {
            AcceptorReport {
                floor_ms: record.floor_ms,
                ..*old
            } == record
        };
        versions.dirty |= !before
            .as_ref()
            .and_then(PeerState::record)
            .is_some_and(same);
        // It may make up a majority again, which is looked at soon, and once for all that are heard until then.
        let soon = now + BUSY_US;
        if matches!(versions.lease_state, LeaseState::Suspended(_)) && versions.due > soon {
            versions.due = soon;
            self.timers.set(soon, Timer::Plans);
        }
    }

    /// A node tells the text of a plan.
    pub(crate) fn plan_text(&mut self, number: NodeNo, version: ConfigVersion, text: &str) {
        let Some(versions) = &mut self.versions else {
            return;
        };
        if text.is_empty() {
            return;
        }
        match ConfigDocument::checked(version, text) {
            Ok(kept) => {
                versions.texts.add(&kept);
                versions.dirty = true;
            }
            Err(wrong) => {
                let (node, reason) = (self.node_name(number), wrong.to_string());
                self.log(Event::ConfigurationTextInvalid { node, reason });
            }
        }
    }

    /// The settings file says something else.
    pub(crate) fn settings_changed(&mut self, settings: &Settings) {
        let mut own = self.settings.own_changes(settings);
        if own != self.own_changes {
            self.own_changes.clone_from(&own);
            if self.versions.is_none() {
                own.retain(|name| *name != "plan");
            }
            if !own.is_empty() {
                self.log(Event::SettingsRestartRequired { tables: own });
            }
        }
        let Some(versions) = &mut self.versions else {
            return self.log(Event::SettingsChangeIgnored);
        };
        if let Err(why) = versions.file_changed(settings) {
            let reason = why.replace('\n', "; ");
            self.log(Event::SettingsChangeRejected { reason });
        }
    }

    /// A node tells what changed to a plan that was asked for.
    pub(crate) fn plan_delta(&mut self, number: NodeNo, delta: &Delta) {
        let Some(versions) = &mut self.versions else {
            return;
        };
        if versions.texts.get(delta.target).is_some() {
            return;
        }
        let Some(base) = versions.texts.kept(delta.base) else {
            return;
        };
        versions.dirty = true;
        match delta::apply(&base, delta) {
            Ok(kept) => versions.texts.add(&kept),
            Err(wrong) => {
                versions.whole = Some(delta.target);
                let (node, reason) = (self.node_name(number), wrong.to_string());
                self.log(Event::ConfigurationDeltaInvalid { node, reason });
            }
        }
    }

    /// By what an offer to this node is decided, where the node can read it.
    pub(crate) fn stamp_for(&self, number: NodeNo) -> Option<VersionStamp> {
        let versions = self
            .versions
            .as_ref()
            .filter(|versions| versions.lease_state != LeaseState::Unmanaged)?;
        let old = versions
            .kin
            .get(&number)
            .is_none_or(|kin| *kin == PeerState::Old);
        (!old).then(|| versions.stamp(self.list_revision))
    }

    /// The fleet as the list and the nodes tell of it.
    fn fleet(&self, versions: &Versions) -> ClusterView {
        let listed = || self.nodes.all.iter().filter(|(_, node)| node.listed);
        let there = listed().filter(|(_, node)| node.health() != Health::Gone);
        let kin = |number: &NodeNo| versions.kin.get(number).copied().unwrap_or_default();
        // Control machines that are gone leave fewer voters, and never every node as one.
        let control = listed()
            .filter(|(_, node)| node.entry.control)
            .map(|(number, _)| *number);
        ClusterView {
            list: self.list_revision,
            membership: Membership::of(control.collect()),
            nodes: there.map(|(number, _)| (*number, kin(number))).collect(),
        }
    }

    /// What plans are looked at by has changed.
    pub(crate) fn plans_changed(&mut self) {
        self.versions
            .iter_mut()
            .for_each(|versions| versions.dirty = true);
    }

    /// Looks at plans, where the time for that has come or something was told.
    pub(crate) fn plans_due(&mut self, now: Micros) {
        if self
            .versions
            .as_ref()
            .is_some_and(|versions| versions.dirty || versions.due <= now)
        {
            self.tend_plans(now);
        }
    }

    /// Looks at all that is known of plans, and does what follows.
    fn tend_plans(&mut self, now: Micros) {
        let Some(mut versions) = self.versions.take() else {
            return;
        };
        versions.dirty = false;
        let fleet = self.fleet(&versions);
        let lately = |number: NodeNo| {
            versions
                .heard
                .get(&number)
                .is_some_and(|at| now < at.saturating_add(versions.lease_us))
        };
        let heard = match fleet.quorum(lately) {
            true => QuorumContact::Recent,
            false if versions.ever => QuorumContact::Expired,
            false => QuorumContact::Never,
        };
        versions.ever |= heard == QuorumContact::Recent;
        versions.force = versions.force.max(fleet.force());
        versions.next_of_file();
        let force = versions.force;
        versions.read(force);
        let decided = fleet.decided(force);
        decided.into_iter().for_each(|next| versions.read(next));
        let own = LocalConfig {
            version: versions.own.version(),
            pinned: versions.pinned,
        };
        let before = versions.stamp(self.list_revision);
        let can = |version| versions.can(version, force);
        versions.lease_state = lease_state(own, &fleet, force, heard, can);
        if let LeaseState::Active(acts) = versions.lease_state {
            let settings = versions.settings(&acts, fleet.linked(), &self.settings);
            settings
                .into_iter()
                .for_each(|settings| self.retell(settings));
        }
        let proposes = versions.proposes(&fleet, force).map(|own| own.cloned());
        self.tell_standing(&mut versions, proposes.as_ref().err());
        let own = proposes
            .ok()
            .flatten()
            .filter(|_| heard == QuorumContact::Recent);
        let may_outbid = versions.pace.may_outbid(now, self.start.life, &fleet);
        let carries_on = versions.pace.may_carry_on(now, self.start.life, &fleet);
        let (step, mut orders) = if heard == QuorumContact::Recent {
            versions
                .maker
                .next(may_outbid, &fleet, force, own.as_ref(), &versions.texts)
        } else {
            (ChangePhase::Quiet, Vec::new())
        };
        if !carries_on {
            orders.retain(|(_, order)| {
                !matches!(
                    order,
                    ConfigRequest::EnterJoint { .. } | ConfigRequest::Commit { .. }
                )
            });
        }
        let stamp = versions.stamp(self.list_revision);
        // Control machines are few: without a majority of them they are asked until one is heard.
        let few = fleet.membership != Membership::All;
        let every = if heard != QuorumContact::Recent && few {
            QUORUM_RETRY_US
        } else {
            versions.lease_us / ASKS
        };
        let changed =
            (stamp.version, stamp.joint) != (before.version, before.joint) || versions.asked == 0;
        if changed || now >= versions.asked + every {
            // Voters hear by what this placer acts now, and it hears that they are there.
            versions.asked = now;
            orders.extend(
                fleet
                    .voters()
                    .map(|(node, _)| (node, ConfigRequest::Query { stamp })),
            );
            self.outputs.push_back(Output::Acts(stamp));
        }
        if changed {
            let (plan, digest) = (stamp.version.number, stamp.version.digest.to_string());
            self.keep
                .change(Change::ActiveConfig(state::ActiveConfigRow {
                    version_number: plan,
                    digest,
                    joint: stamp.joint,
                    node_list_revision: stamp.list,
                }));
        }
        let held = self.hold_by_plans(now, &versions);
        orders.extend(
            held.to_raise
                .iter()
                .map(|node| (*node, ConfigRequest::RaiseFloor { stamp })),
        );
        let orders = versions.compact(orders);
        let mut orders = versions.pace.due(now, orders);
        orders.retain(|(node, _)| {
            versions
                .kin
                .get(node)
                .is_some_and(|kin| kin.record().is_some())
        });
        // Without a majority nothing changes before some node is heard.
        let waits = matches!(versions.lease_state, LeaseState::Suspended(_))
            && heard == QuorumContact::Recent;
        let busy = step != ChangePhase::Quiet || held.ends_by_time || waits;
        versions.due = now + if busy { BUSY_US } else { every };
        // The lease is over on time, whenever the next look would have been.
        let lapse = versions.lease_lapses(&fleet).filter(|at| *at > now);
        versions.due = lapse.map_or(versions.due, |at| versions.due.min(at));
        let base = versions
            .base
            .as_ref()
            .map_or(force, ConfigDocument::version);
        versions.texts.forget_before(force.number.min(base.number));
        versions.plans.retain(|version, _| {
            version.number >= force.number || *version == versions.own.version()
        });
        self.timers.set(versions.due, Timer::Plans);
        self.versions = Some(versions);
        for (node, order) in orders {
            self.stage_send(now, node, Message::ConfigRequest(order));
        }
    }

    /// Holds back the nodes to which nothing may be sent by the plan acted by.
    fn hold_by_plans(&mut self, now: Micros, versions: &Versions) -> HeldByPlans {
        let window = self.settings.site.cold_window_us.unwrap_or(0) + self.settings.jitter_us();
        let mut all = HeldByPlans::default();
        let numbers: Vec<NodeNo> = self.nodes.all.keys().copied().collect();
        for number in numbers {
            let mut kin = versions.kin.get(&number).copied().unwrap_or_default();
            if let PeerState::Told(record) = &mut kin {
                let since = versions
                    .heard
                    .get(&number)
                    .map_or(0, |at| now.saturating_sub(*at));
                record.floor_ms = record.floor_ms.saturating_add(since / 1_000);
            }
            let cold = self.nodes.is_cold(number, now, &self.settings.site);
            let held = dispatch_block(&versions.lease_state, &kin, cold, window / 1_000);
            all.ends_by_time |= held.is_some_and(DispatchBlock::ends_by_time);
            if must_raise(held, &kin) {
                all.to_raise.push(number);
            }
            self.hold_by_plan(number, held);
        }
        all
    }

    /// Takes other settings in while the placer runs.
    fn retell(&mut self, settings: Settings) {
        if settings == self.settings {
            return;
        }
        self.nodes.name_kinds(
            settings
                .kinds
                .iter()
                .map(|kind| kind.name.clone())
                .collect(),
        );
        self.settings = settings;
        let hall = self
            .settings
            .hall
            .clone()
            .map(|hall| self.nodes.halls.number(&hall));
        self.events.push(ModuleEvent::SettingsChanged(Box::new(
            self.settings.module(hall),
        )));
        self.outputs
            .push_back(Output::Settings(Box::new(self.settings.clone())));
    }

    /// One event for operators each time that something else is so.
    fn tell_standing(&mut self, versions: &mut Versions, rejected: Option<&String>) {
        let event = versions.status(rejected.cloned());
        if versions.last_event.as_ref() != Some(&event) {
            versions.last_event = Some(event.clone());
            let shut_out = versions.shut_out().is_some();
            self.outputs.push_back(Output::ShutOut(shut_out));
            self.log(event);
        }
    }

    /// What operators see of a node's plans.
    pub(crate) fn plan_line(&self, number: NodeNo) -> Option<String> {
        let versions = self.versions.as_ref()?;
        let record = match versions.kin.get(&number)? {
            PeerState::Unmet => return None,
            PeerState::Old => return Some("keeps none".to_owned()),
            PeerState::Told(record) => record,
        };
        let votes = self
            .nodes
            .all
            .get(&number)
            .is_some_and(|node| node.entry.control);
        if record.learns {
            let floor = record.next.map_or("no plan yet".to_owned(), |next| {
                format!("plan {}", next.version)
            });
            let wrong = if votes {
                ", listed as control and votes for nothing"
            } else {
                ""
            };
            return Some(format!("learner, from {floor} on{wrong}"));
        }
        let mut line = record.force.to_string();
        if votes {
            line.push_str(", voter");
        }
        if let Some(next) = &record.next {
            let word = if next.joint { "joint with" } else { "offered" };
            line = format!("{line}, {word} {}", next.version);
        }
        if record.stuck {
            line.push_str(", can't keep more");
        }
        if record.behind > 0 {
            line = format!(
                "{line}, {} of {} placers behind",
                record.behind, record.linked
            );
        }
        Some(line)
    }
}
