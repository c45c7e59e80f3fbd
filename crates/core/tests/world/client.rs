//! The client: the calls that it makes, and what it is answered.

use rand_core::Rng;
use reedring_core::Input;
use reedring_drmaa::JobSpec;
use reedring_drmaa::rpc::{Answer, Call, CallKey, Range, Response};

use super::{MS, World};

impl World {
    pub(super) fn init(&mut self) {
        let call = Call::Init {
            session: self.session.clone(),
        };
        self.input(Input::Call {
            conn: 1,
            id: 0,
            call,
        });
    }

    pub fn call(&mut self, make: impl FnOnce(CallKey) -> Call) -> u64 {
        self.last_call += 1;
        let number = self.last_call;
        self.sent_to.insert(number, self.life);
        // As the client library has it: what is answered can be forgotten.
        let settled = self.open.keys().next().copied().unwrap_or(number);
        let key = CallKey {
            session: self.session.clone(),
            call: number,
            settled,
            sent_to: self.life,
        };
        let call = make(key);
        self.open.insert(number, call.clone());
        self.input(Input::Call {
            conn: 1,
            id: number,
            call,
        });
        number
    }

    pub fn submit(&mut self, class: &str, count: u64, life_ms: u64) -> u64 {
        self.submit_with(class, count, life_ms, "")
    }

    pub fn submit_with(&mut self, class: &str, count: u64, life_ms: u64, more: &str) -> u64 {
        self.submit_as(class, &format!("{class}-svc"), count, life_ms, more)
    }

    pub fn submit_as(
        &mut self,
        class: &str,
        service: &str,
        count: u64,
        life_ms: u64,
        more: &str,
    ) -> u64 {
        let native =
            format!("class={class} service={service} life={life_ms}ms cores=0.5 memory=1 {more}");
        let job = JobSpec {
            command: "work".to_owned(),
            native,
            ..JobSpec::default()
        };
        let range = Range {
            first: 1,
            last: count,
            step: 1,
        };
        self.call(|key| Call::RunBulkJobs {
            key,
            job: Box::new(job),
            range,
        })
    }

    /// A few jobs of one class, drawn, and a wait for any.
    pub fn submit_drawn(&mut self) {
        let class = ["safe", "keyed", "unsafe"][self.draw.next_u32() as usize % 3];
        let (count, life) = (
            1 + u64::from(self.draw.next_u32() % 6),
            20 + u64::from(self.draw.next_u32() % 400),
        );
        self.submit(class, count, life);
        self.wait_any();
    }

    /// Keeps one call open that waits for any job.
    pub fn wait_any(&mut self) {
        if !self
            .open
            .values()
            .any(|call| matches!(call, Call::Wait { .. }))
        {
            self.call(|key| Call::Wait {
                key,
                job: None,
                timeout_s: -1,
            });
        }
    }

    /// Runs for so many hundredths of a second, waiting for any job all the while.
    pub fn wait_for(&mut self, hundredths: u64) {
        for _ in 0..hundredths {
            self.wait_any();
            self.run_for(10 * MS);
        }
    }

    pub(super) fn answered(&mut self, response: Response) {
        let Some(id) = response.id.filter(|id| *id != 0) else {
            return;
        };
        let Some(call) = self.open.remove(&id) else {
            return self.errors.push(format!("call {id} was answered twice"));
        };
        match (response.result, response.error) {
            (Some(Answer::Submitted(submitted)), None) => {
                if submitted.warning.is_some() {
                    self.warned.extend(submitted.jobs.iter().cloned());
                }
                self.taken.extend(submitted.jobs);
            }
            (Some(Answer::Ended(info)), None) => {
                self.told_at.entry(info.job.clone()).or_insert(self.now);
                let infos = self.told.entry(info.job.clone()).or_default();
                // A successor may hear of an end once more that the life before it told: the client library
                // passes it by, and it must be the same.
                let again = self.life > 1;
                match infos.first().filter(|first| again && first.end == info.end) {
                    Some(_) => {}
                    None => infos.push(info),
                }
            }
            (Some(_), None) => {}
            // A wait that finds no job is made again when there are some.
            (None, Some(_)) if matches!(call, Call::Wait { .. }) => {}
            (_, error) => self.errors.push(format!("{call:?}: {error:?}")),
        }
    }
}
