//! The client: its calls and the replies that it receives.

use rand_core::Rng;
use reedring_core::Input;
use reedring_drmaa::JobSpec;
use reedring_drmaa::rpc::{Answer, Call, CallKey, Range, Response};

use super::{MS, World};

impl World {
    pub(super) fn init_session(&mut self) {
        let call = Call::Init {
            session: self.session.clone(),
        };
        self.input(Input::Call {
            conn: 1,
            id: 0,
            call,
        });
    }

    /// Makes a call and returns its number.
    pub fn call(&mut self, make: impl FnOnce(CallKey) -> Call) -> u64 {
        self.last_call += 1;
        let number = self.last_call;
        self.sent_to.insert(number, self.incarnation);
        // Like the client library, this acknowledges the replies to all calls before the first open one.
        let settled = self.open_calls.keys().next().copied().unwrap_or(number);
        let key = CallKey {
            session: self.session.clone(),
            call: number,
            settled,
            sent_to: self.incarnation,
        };
        let call = make(key);
        self.open_calls.insert(number, call.clone());
        self.input(Input::Call {
            conn: 1,
            id: number,
            call,
        });
        number
    }

    /// Submits `count` jobs of this class, whose tasks run for `life_ms` milliseconds, and returns the call's number.
    pub fn submit(&mut self, class: &str, count: u64, life_ms: u64) -> u64 {
        self.submit_with(class, count, life_ms, "")
    }

    /// Like `submit`, with `more` added to the native specification.
    pub fn submit_with(&mut self, class: &str, count: u64, life_ms: u64, more: &str) -> u64 {
        self.submit_as(class, &format!("{class}-svc"), count, life_ms, more)
    }

    /// Like `submit_with`, for this service.
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

    /// Submits one to six jobs of a random class, and waits for any job.
    pub fn submit_random(&mut self) {
        let class = ["safe", "keyed", "unsafe"][self.rng.next_u32() as usize % 3];
        let (count, life) = (
            1 + u64::from(self.rng.next_u32() % 6),
            20 + u64::from(self.rng.next_u32() % 400),
        );
        self.submit(class, count, life);
        self.wait_any();
    }

    /// Makes a call that waits for any job, unless one is open.
    pub fn wait_any(&mut self) {
        if !self
            .open_calls
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

    /// Runs for this many hundredths of a second, with a call open that waits for any job.
    pub fn wait_hundredths(&mut self, hundredths: u64) {
        for _ in 0..hundredths {
            self.wait_any();
            self.run_for(10 * MS);
        }
    }

    pub(super) fn handle_reply(&mut self, response: Response) {
        let Some(id) = response.id.filter(|id| *id != 0) else {
            return;
        };
        let Some(call) = self.open_calls.remove(&id) else {
            return self.errors.push(format!("call {id} has two replies"));
        };
        match (response.result, response.error) {
            (Some(Answer::Submitted(submitted)), None) => {
                if submitted.warning.is_some() {
                    self.warned.extend(submitted.jobs.iter().cloned());
                }
                self.accepted.extend(submitted.jobs);
            }
            (Some(Answer::Ended(info)), None) => {
                self.reported_at.entry(info.job.clone()).or_insert(self.now);
                let infos = self.reported.entry(info.job.clone()).or_default();
                // A restarted placer may report an end again that its former incarnation reported. The client library
                // ignores the repetition, which must be the same.
                let may_repeat = self.incarnation > 1;
                match infos
                    .first()
                    .filter(|first| may_repeat && first.end == info.end)
                {
                    Some(_) => {}
                    None => infos.push(info),
                }
            }
            (Some(_), None) => {}
            // A wait fails if the session has no jobs; `wait_any` makes it again.
            (None, Some(_)) if matches!(call, Call::Wait { .. }) => {}
            (_, error) => self.errors.push(format!("{call:?}: {error:?}")),
        }
    }
}
