//! Users that press: they look closely, and call off at once, at the end, or many
//! together.

use super::*;

impl World {
    /// The job of which an answer tells its user for the first time that it is accepted
    /// or has ended, and whether it is accepted.
    pub(super) fn news(
        &self,
        asker: &Asker,
        status: u16,
        state: Option<JobState>,
    ) -> Option<(usize, bool)> {
        let (Asker::Submission { job }
        | Asker::Poll { job }
        | Asker::Cancel { job }
        | Asker::Look { job }
        | Asker::Again { job }
        | Asker::CallOff { job }) = asker
        else {
            return None;
        };
        let u = &self.users[*job];
        let ended = matches!(state, Some(JobState::Done | JobState::Cancelled));
        let accepted = !u.accepted && matches!(status, 200 | 201);
        let native = u.object.is_none() && !self.compared();
        (native && (accepted || (ended && u.ended.is_none()))).then_some((*job, accepted))
    }

    /// What the user of a job does right after such an answer.
    pub(super) fn presses(&mut self, job: usize, accepted: bool) {
        if self.now < self.close_looks_until {
            self.looks(job);
        }
        if accepted && self.users[job].ended.is_none() && self.befalls(self.cancels_at_once) {
            let at = self.now + self.side.u64(..5 * MILLISECOND);
            self.at(at, Ev::CallOff { job });
        }
    }

    /// A job's user asks every node within milliseconds, and submits again at each.
    fn looks(&mut self, job: usize) {
        for node in 0..self.nodes.len() {
            for again in [false, true] {
                let at = self.now + self.side.u64(..5 * MILLISECOND);
                self.at(at, Ev::Look { job, node, again });
            }
        }
    }

    pub(super) fn look(&mut self, job: usize, node: usize, again: bool) {
        let spec = self.users[job].spec.clone();
        if again {
            self.submit(node, Asker::Again { job }, &spec);
        } else {
            let path = poll_path(&spec.id);
            self.ask(node, Asker::Look { job }, "GET", path, Vec::new());
        }
    }

    pub(super) fn call_off(&mut self, job: usize) {
        let u = &mut self.users[job];
        if u.ended.is_none() {
            // Without an answer the user cancels when it would have asked next.
            u.cancel_at = Some(u.cancel_at.map_or(self.now, |at| at.min(self.now)));
        }
        let id = u.spec.id.clone();
        self.checker.asks_to_cancel(&id);
        let node = self.side.usize(..self.nodes.len());
        let asker = Asker::CallOff { job };
        self.ask(node, asker, "POST", cancel_path(&id), Vec::new());
    }

    /// A task has completed: if it was its job's last, whoever presses meets that.
    pub(super) fn task_done(&mut self, id: &str) {
        let native = |u: &User| u.object.is_none() && u.spec.id == *id;
        if self.compared() || !self.checker.complete(id) || !self.befalls(self.cancels_at_end) {
            return;
        }
        let Some(job) = self.users.iter().position(native) else {
            return;
        };
        // From the end on the machine to the answer to its report, and the write after.
        let within = [5, 100, 1500][self.side.usize(..3)] * MILLISECOND;
        let at = self.now + self.side.u64(..within);
        if self.users[job].ended.is_none() {
            self.at(at, Ev::CallOff { job });
        }
        for again in [false, true] {
            let at = at + self.side.u64(..20 * MILLISECOND);
            let node = self.side.usize(..self.nodes.len());
            self.at(at, Ev::Look { job, node, again });
        }
    }

    /// Some jobs that run and have long to go are called off together, and up to eight of
    /// their machines hang.
    pub(crate) fn cancels_now(&mut self, jobs: usize, hang: Micros) {
        let runs = |job: &usize| {
            let u = &self.users[*job];
            let (on, done) = self.checker.tasks(&u.spec.id);
            let play = self.plays.get(&u.spec.id);
            let long = u.spec.kind == JobKind::Service
                || u.spec.tasks > on + done
                || play.is_some_and(|p| p.run > 10 * SECOND);
            let open = u.ended.is_none() && u.cancel_at.is_none_or(|at| at > self.now);
            on > 0 && long && open && u.object.is_none()
        };
        let mut some: Vec<usize> = (0..self.users.len()).filter(runs).collect();
        self.side.shuffle(&mut some);
        some.truncate(jobs);
        let mut machines: Vec<String> = Vec::new();
        for job in some {
            machines.extend(self.checker.machines(&self.users[job].spec.id));
            let at = self.now + self.side.u64(..SECOND / 5);
            self.at(at, Ev::CallOff { job });
        }
        machines.sort();
        machines.dedup();
        self.side.shuffle(&mut machines);
        for name in machines.iter().take(8) {
            if let Some(w) = self.workers.get_mut(name) {
                w.hung_until = w.hung_until.max(self.now + hang);
            }
        }
    }

    /// Users of jobs of one task that come four a second.
    pub(super) fn add_stream(&mut self) {
        let Some((from, time)) = self.scenario.stream else {
            return;
        };
        for n in 0..4 * time / SECOND {
            let job = self.users.len();
            let at = from + n * SECOND / 4;
            let cancels = self.side.u8(..4) == 0;
            let cancel_at = cancels.then(|| at + self.side.u64(..8 * SECOND));
            let id = format!("req-{:06}", 1000 + job * 7);
            let spec = JobSpec {
                class: "stream".into(),
                team: if n % 3 == 0 { "bound" } else { "free" }.into(),
                ..JobSpec::plain(&id, JobKind::Batch, 1, 1.0)
            };
            let play = Play {
                run: self.side.u64(SECOND..8 * SECOND),
                fails: false,
                spec: spec.clone(),
            };
            self.plays.insert(id, play);
            self.users.push(User::new(spec, cancel_at));
            self.at(at, Ev::User { job });
        }
    }
}
