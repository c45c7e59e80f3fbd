//! A core takes up what a former life of its placer promised.
//!
//! Jobs come back under their numbers. What was placed is told to the module at once, as adopted. What was
//! being placed waits for the nodes that were asked, and is then decided by `decide::recovered`.

use std::sync::Arc;

use reedring::{
    AttemptId, Belief, Beliefs, Effect, Event as ModuleEvent, Micros, Outcome as Fate, TaskKey,
};
use reedring_node_protocol as wire;
use reedring_settings::Settings;
use reedring_state::{self as state, AgedBeliefs, LedgerSnapshot};

use crate::ask::Ask;
use crate::core::{Core, Start};
use crate::decide::{self, ANSWER_MARGIN_US, Known, Recovered};
use crate::event::Event;
use crate::jobs::{Attempt, Ending, Job, JobName, JobNo, NodeNo, Outcome, Phase};
use crate::keep::Restored;
use crate::timers::Timer;

impl Core {
    /// A core that keeps what it promises, and takes up what was promised before.
    pub fn with_state(settings: Settings, start: Start, restored: Restored) -> Self {
        let mut core = Self::new(settings, start);
        core.start_keeping(restored.lost);
        core.restore(start.now, restored.image);
        let AgedBeliefs {
            nodes,
            fleet: beliefs,
        } = restored.learned;
        if beliefs != Beliefs::default() {
            core.events.push(ModuleEvent::BeliefsRestored(beliefs));
        }
        for known in nodes {
            let spent =
                core.recall
                    .entry(known.node.clone())
                    .or_insert_with(|| state::NodeBeliefs {
                        belief: Belief {
                            machine: known.belief.machine,
                            ..Belief::default()
                        },
                        ..known.clone()
                    });
            // The ledger's count of offers to cold nodes is exact; the file's may be older.
            let cold_offers = std::mem::take(&mut spent.belief.cold_offers);
            spent.incarnation = known.incarnation;
            spent.belief = known.belief;
            if !cold_offers.is_empty() {
                spent.belief.cold_offers = cold_offers;
            }
        }
        core
    }

    fn restore(&mut self, now: Micros, image: LedgerSnapshot) {
        self.covered = image
            .incarnations
            .iter()
            .map(|record| record.incarnation)
            .filter(|life| image.is_complete_for(*life))
            .collect();
        // Every offer to a cold node was durable before it left, if nothing is missing.
        self.budgets_known = !image.incarnations.is_empty() && !image.incomplete;
        for (number, session) in &image.sessions {
            self.sessions
                .restore(*number, session, image.responses.get(number), now);
        }
        for node in &image.draining_nodes {
            let number = self.nodes.remember(node);
            if let Some(node) = self.nodes.all.get_mut(&number) {
                node.drained = true;
            }
            self.log(Event::NodeStillDrained { node: node.clone() });
        }
        for (node, times) in &image.warm_up_offers {
            let machine = reedring::names::machine_id(node);
            let window = self.settings.site.cold_window_us.unwrap_or(0);
            let ago =
                |at: &u64| decide::former_offer(now.saturating_sub(self.at_unix(*at)), window);
            let cold_offers = times.iter().map(ago).collect();
            let belief = Belief {
                machine,
                cold_offers,
                ..Belief::default()
            };
            self.recall.insert(
                node.clone(),
                state::NodeBeliefs {
                    node: node.clone(),
                    incarnation: None,
                    belief,
                },
            );
        }
        let mut asks = std::collections::BTreeMap::new();
        let (mut live, mut open) = (0_usize, 0_usize);
        for (number, row) in &image.jobs {
            let call = (row.session, row.call);
            let ask = asks.entry(call).or_insert_with(|| {
                let kept = image
                    .templates
                    .get(&call.0)
                    .and_then(|templates| templates.get(&call.1));
                Ask::restore(kept, &self.settings)
            });
            live += usize::from(!matches!(row.phase, state::Phase::Ended(_)));
            open += usize::from(matches!(row.phase, state::Phase::Pending { .. }));
            self.restore_job(now, *number, row, ask, image.incomplete);
        }
        if !image.incarnations.is_empty() {
            self.log(Event::StateLoaded {
                sessions: image.sessions.len(),
                jobs: image.jobs.len(),
                unfinished: live,
                unplaced: open,
                incomplete: image.incomplete,
            });
        }
    }

    fn restore_job(
        &mut self,
        now: Micros,
        number: JobNo,
        row: &state::Job,
        ask: &Result<Arc<Ask>, (Arc<Ask>, String)>,
        holes: bool,
    ) {
        let Some(session) = self.sessions.get(row.session) else {
            return;
        };
        let name = JobName {
            session: Arc::clone(&session.name),
            call: row.call,
            index: row.index,
        };
        let (ask, unusable) = match ask {
            Ok(ask) => (Arc::clone(ask), None),
            Err((ask, why)) => (Arc::clone(ask), Some(why)),
        };
        let mut job = Job::new(
            name,
            row.session,
            ask,
            TaskKey(row.idempotency_key),
            self.at_unix(row.submitted_at),
        );
        let at = |unix: Option<u64>| unix.map(|unix| self.at_unix(unix));
        (job.placed, job.started, job.ended) =
            (at(row.placed_at), at(row.started_at), at(row.ended_at));
        (job.outcome, job.again, job.tries) = (row.outcome, row.lost_before, row.attempt_count);
        (job.may_have_run, job.broken) = (row.may_have_run, row.violated_clauses.clone());
        (job.kept, job.end_kept) = (Some(0), row.ended_at.map(|_| 0));
        let (effect, life_key) = (self.effect(&job), (job.name.call, job.name.index));
        let over = matches!(row.phase, state::Phase::Ended(_));
        self.ledger.restore(number, job);
        if let Some(session) = self.sessions.get_mut(row.session) {
            session.jobs.insert(life_key, number);
            if over {
                session.over.insert(number);
            }
        }
        if let Some(node) = &row.last_node {
            let node = self.nodes.remember(node);
            if let Some(job) = self.ledger.jobs.get_mut(&number) {
                let id = AttemptId {
                    request: reedring::RequestId(0),
                    number: 0,
                };
                job.tried(id, node, now);
                job.fate(id, "before a restart");
                job.tries = row.attempt_count;
            }
        }
        let copies: Vec<(AttemptId, Known)> = if unusable.is_none() {
            row.open_attempts
                .iter()
                .map(|attempt| self.restore_attempt(now, number, attempt))
                .collect()
        } else {
            Vec::new()
        };
        let holder = copies
            .iter()
            .find(|(_, known)| *known == Known::Accepted)
            .map(|(id, _)| *id);
        let (mut phase, mut recovers) = (Phase::Delayed, None);
        match (&row.phase, holder) {
            (state::Phase::Held, _) => phase = Phase::Held,
            (state::Phase::Delayed { until }, _) => {
                let at = self.at_unix(*until);
                self.set_until(number, at);
                self.timers.set(at.max(now), Timer::Ask(number));
            }
            (state::Phase::Pending { deadline: until }, _) => recovers = Some(self.at_unix(*until)),
            (state::Phase::Placed, Some(id)) => phase = Phase::Placed(id),
            (state::Phase::Running, Some(id)) => phase = Phase::Running(id),
            (state::Phase::Suspended, Some(id)) => phase = Phase::Suspended(id),
            // A row that says so without a copy can't be; the job is looked for like one that was asked for.
            (state::Phase::Placed | state::Phase::Running | state::Phase::Suspended, None) => {
                recovers = Some(now);
            }
            (state::Phase::Ending(ending), _) => phase = Phase::Ending(ending.clone()),
            (state::Phase::Ended(ending), _) => phase = Phase::Ended(ending.clone()),
        }
        // What was decided while nothing could be kept is not in the rows.
        let doubt = holes && effect != Effect::Safe && holder.is_none();
        if doubt && matches!(phase, Phase::Held | Phase::Delayed) {
            recovers = recovers.or(Some(now));
            phase = Phase::Delayed;
            if let Some(job) = self.ledger.job_mut(number) {
                job.may_have_run = true;
            }
        }
        let runs = matches!(phase, Phase::Running(_) | Phase::Suspended(_));
        if let Some(job) = self.ledger.jobs.get_mut(&number) {
            job.phase = phase;
            job.recovering = recovers.is_some();
        }
        if let Some(why) = unusable.filter(|_| !over) {
            let reason =
                format!("failed: the placer's settings no longer know what it asks for: {why}");
            self.told(number, Outcome::Failed);
            return self.end_job(now, number, Ending::aborted(reason));
        }
        if let Some(until) = recovers {
            self.set_until(number, until);
            // The truth is waited for as long as the owner waits; an owner that gave up waits a little longer.
            let decide_at = until.saturating_sub(ANSWER_MARGIN_US);
            let decide_at = if decide_at > now {
                decide_at
            } else {
                self.settle_until
            };
            self.timers.set(
                decide_at,
                Timer::Recover {
                    job: number,
                    last: true,
                },
            );
            self.timers.set(
                now,
                Timer::Recover {
                    job: number,
                    last: false,
                },
            );
        }
        if let Some(id) = holder {
            self.restored_copies.push((number, id));
            if let Some((task, machine)) = self
                .module_task(number, id.request)
                .zip(self.ledger.attempts.get(&id).map(|a| a.machine))
            {
                self.events.push(ModuleEvent::Adopted { task, machine });
            }
            if runs {
                self.limit_run(number);
            }
        }
        if over && !self.sweeping {
            self.sweeping = true;
            self.timers.set(now + 1_000_000, Timer::Sweep);
        }
    }

    fn set_until(&mut self, number: JobNo, until: Micros) {
        if let Some(job) = self.ledger.jobs.get_mut(&number) {
            job.until = until;
        }
    }

    fn restore_attempt(
        &mut self,
        now: Micros,
        job: JobNo,
        row: &state::Attempt,
    ) -> (AttemptId, Known) {
        let node: NodeNo = self.nodes.remember(&row.node);
        let id = AttemptId {
            request: self.ledger.new_request(),
            number: 0,
        };
        let known = match row.state {
            state::AttemptState::Offered => Known::Out,
            state::AttemptState::Accepted => Known::Accepted,
            state::AttemptState::Stopping => Known::Stopping,
        };
        let topics = self
            .ledger
            .jobs
            .get(&job)
            .map(|job| Arc::clone(&job.ask.topics))
            .unwrap_or_default();
        self.constrain.copy_comes(&topics, node);
        let attempt = Attempt {
            job,
            node,
            machine: reedring::names::machine_id(&row.node),
            wire: wire::AttemptId {
                life: row.incarnation,
                request: row.request,
                number: row.number,
            },
            sent: self.at_unix(row.sent_at),
            known,
            accepted: row.accepted,
            told: known == Known::Accepted,
            node_life: row.node_incarnation,
            topics,
        };
        self.ledger.open(self.start.life, id, attempt);
        if let Some(node) = self.nodes.all.get_mut(&node) {
            node.attempts.insert(id);
            // A node that was started anew since holds nothing of what it was given.
            node.life = node.life.max(row.node_incarnation);
        }
        match known {
            Known::Accepted => {
                let lost = self.settings.links.lost_after_us;
                self.timers
                    .set(now + lost, Timer::LinkLost { node, link: 0 });
            }
            Known::Stopping => {
                let wait = self.settings.links.stop_wait_us;
                self.timers
                    .set(self.settle_until.max(now + wait), Timer::StopWait(id));
            }
            Known::Out => {}
        }
        (id, known)
    }

    /// Every node that could hold a task of a former life has told, or the wait is over.
    pub(crate) fn all_told(&self, now: Micros) -> bool {
        now >= self.settle_until || self.constrain.has_list() && self.nodes.all_told()
    }

    /// Looks at a job that was being placed when the former life ended.
    pub(crate) fn recover(&mut self, now: Micros, number: JobNo, last: bool) {
        let Some(job) = self.ledger.jobs.get(&number).filter(|job| job.recovering) else {
            return;
        };
        let (effect, ran, until) = (self.effect(job), job.may_have_run, job.until);
        let overdue = until <= now.saturating_add(ANSWER_MARGIN_US);
        let told = self.all_told(now);
        let open = !job.copies.is_empty();
        match decide::recovered(effect, open, ran, told, overdue, last) {
            Recovered::Wait => {}
            Recovered::LetGo => {
                for id in job.copies.clone() {
                    self.unplaced(
                        now,
                        id,
                        Fate::Reset,
                        None,
                        Vec::new(),
                        "no word after a restart",
                    );
                }
                // The end of the last copy may have decided it.
                self.recover(now, number, true);
            }
            Recovered::Ask => {
                self.recovered(number);
                self.ask_until(now, number, Some(until));
            }
            Recovered::Refuse => {
                self.recovered(number);
                self.told(number, Outcome::Refused);
                let reason =
                    "refused: its time was over when the placer was back, and it never ran";
                self.end_job(now, number, Ending::aborted(reason));
            }
            Recovered::Fail => {
                self.recovered(number);
                self.told(number, Outcome::Failed);
                let reason =
                    "failed: the placer was started anew while it was placed, and it may have run";
                self.end_job(now, number, Ending::aborted(reason));
            }
        }
    }

    /// What became of a job of a former life is known.
    pub(crate) fn recovered(&mut self, number: JobNo) {
        if let Some(job) = self.ledger.job_mut(number) {
            job.recovering = false;
        }
    }

    /// Nodes have told: what waited for that goes on.
    pub(crate) fn recover_all(&mut self, now: Micros) {
        let waiting: Vec<JobNo> = self
            .ledger
            .jobs
            .iter()
            .filter(|(_, job)| job.recovering)
            .map(|(number, _)| *number)
            .collect();
        waiting
            .into_iter()
            .for_each(|number| self.recover(now, number, false));
        for (number, id) in std::mem::take(&mut self.restored_copies) {
            let stands = self
                .ledger
                .jobs
                .get(&number)
                .filter(|job| job.holder() == Some(id));
            let subject = stands.and_then(|job| job.ask.subject());
            let node = self.ledger.attempts.get(&id).map(|attempt| attempt.node);
            if let Some((subject, node)) = subject.zip(node) {
                self.constrain.stands(number, subject, node);
            }
        }
    }

    /// What a former life learned of a node, once its own life is known and the module knows the node.
    pub(crate) fn recall(&mut self, number: NodeNo) {
        let Some(node) = self
            .nodes
            .all
            .get(&number)
            .filter(|node| node.is_told() && node.life.is_some())
        else {
            return;
        };
        let Some(known) = self.recall.remove(&node.name) else {
            return;
        };
        // What was learned of another life of the node is void, but for the spent budget: it was another start
        // of the node that spent it, and to count it again does no harm.
        let belief = if known.incarnation.is_none() || known.incarnation == node.life {
            known.belief
        } else {
            Belief {
                machine: node.machine,
                cold_offers: known.belief.cold_offers,
                ..Belief::default()
            }
        };
        self.events.push(ModuleEvent::BeliefsRestored(Beliefs {
            machines: vec![belief],
            ..Beliefs::default()
        }));
    }
}
