//! Requests beyond the regular ones: polls of all nodes, and cancellations on acceptance, on
//! completion or of several jobs together.

use super::*;

const SHORT_JOBS_PER_SECOND: u64 = 4;

impl Simulation {
    /// If this is the first answer that reports the acceptance or the end of a job, returns
    /// the job and whether the answer reports its acceptance.
    pub(super) fn first_result(
        &self,
        requester: &Requester,
        status: u16,
        state: Option<JobState>,
    ) -> Option<(usize, bool)> {
        let (Requester::Submission { job }
        | Requester::Poll { job }
        | Requester::Cancel { job }
        | Requester::ExtraPoll { job }
        | Requester::ExtraSubmission { job }
        | Requester::ExtraCancel { job }) = requester
        else {
            return None;
        };
        let u = &self.users[*job];
        let ended = matches!(state, Some(JobState::Done | JobState::Cancelled));
        let accepted = !u.accepted && matches!(status, 200 | 201);
        let native = u.kube_job.is_none() && !self.is_comparison_run();
        (native && (accepted || (ended && u.final_state.is_none()))).then_some((*job, accepted))
    }

    /// Sends the extra requests that follow the first answer about acceptance or end.
    pub(super) fn react_to_result(&mut self, job: usize, accepted: bool) {
        if self.now < self.extra_requests_until {
            self.send_extra_requests(job);
        }
        if accepted
            && self.users[job].final_state.is_none()
            && self.is_affected(self.cancel_on_acceptance)
        {
            let at = self.now + self.auxiliary_rng.u64(..5 * MILLISECOND);
            self.schedule(at, Event::CancelJob { job });
        }
    }

    /// Polls and resubmits a job at every node within milliseconds.
    fn send_extra_requests(&mut self, job: usize) {
        for node in 0..self.nodes.len() {
            for resubmit in [false, true] {
                let at = self.now + self.auxiliary_rng.u64(..5 * MILLISECOND);
                let event = Event::ExtraRequest {
                    job,
                    node,
                    resubmit,
                };
                self.schedule(at, event);
            }
        }
    }

    pub(super) fn extra_request(&mut self, job: usize, node: usize, resubmit: bool) {
        let spec = self.users[job].spec.clone();
        if resubmit {
            self.submit(node, Requester::ExtraSubmission { job }, &spec);
        } else {
            let path = poll_path(&spec.id);
            self.send_request(node, Requester::ExtraPoll { job }, "GET", path, Vec::new());
        }
    }

    pub(super) fn cancel_job(&mut self, job: usize) {
        let u = &mut self.users[job];
        if u.final_state.is_none() {
            // If the request fails, the user cancels with its next regular request.
            u.cancel_at = Some(u.cancel_at.map_or(self.now, |at| at.min(self.now)));
        }
        let id = u.spec.id.clone();
        self.checker.cancel_requested(&id);
        let node = self.auxiliary_rng.usize(..self.nodes.len());
        let requester = Requester::ExtraCancel { job };
        self.send_request(node, requester, "POST", cancel_path(&id), Vec::new());
    }

    /// Called when a task has completed. If it was the last one of its job, a
    /// cancellation, a poll and a repeated submission may arrive at about the same time.
    pub(super) fn task_done(&mut self, job_id: &str) {
        let native = |u: &User| u.kube_job.is_none() && u.spec.id == *job_id;
        if self.is_comparison_run()
            || !self.checker.is_complete(job_id)
            || !self.is_affected(self.cancel_on_completion)
        {
            return;
        }
        let Some(job) = self.users.iter().position(native) else {
            return;
        };
        // The delays cover the time from the end of the task on the machine until its heartbeat
        // is answered and the end is written to the store.
        let max_delay = [5, 100, 1500][self.auxiliary_rng.usize(..3)] * MILLISECOND;
        let at = self.now + self.auxiliary_rng.u64(..max_delay);
        if self.users[job].final_state.is_none() {
            self.schedule(at, Event::CancelJob { job });
        }
        for resubmit in [false, true] {
            let at = at + self.auxiliary_rng.u64(..20 * MILLISECOND);
            let node = self.auxiliary_rng.usize(..self.nodes.len());
            let event = Event::ExtraRequest {
                job,
                node,
                resubmit,
            };
            self.schedule(at, event);
        }
    }

    /// Cancels several jobs that will not end soon at about the same time and hangs up to
    /// eight of their machines.
    pub(crate) fn cancel_running_jobs(&mut self, jobs: usize, hang: Micros) {
        let will_run_on = |job: &usize| {
            let u = &self.users[*job];
            let (running, done) = self.checker.task_counts(&u.spec.id);
            let behaviour = self.task_behaviours.get(&u.spec.id);
            let long = u.spec.kind == JobKind::Service
                || u.spec.tasks > running + done
                || behaviour.is_some_and(|p| p.run_time > 10 * SECOND);
            let open = u.final_state.is_none() && u.cancel_at.is_none_or(|at| at > self.now);
            running > 0 && long && open && u.kube_job.is_none()
        };
        let mut cancelled: Vec<usize> = (0..self.users.len()).filter(will_run_on).collect();
        self.auxiliary_rng.shuffle(&mut cancelled);
        cancelled.truncate(jobs);
        let mut machines: Vec<String> = Vec::new();
        for job in cancelled {
            machines.extend(self.checker.machines_of(&self.users[job].spec.id));
            let at = self.now + self.auxiliary_rng.u64(..SECOND / 5);
            self.schedule(at, Event::CancelJob { job });
        }
        machines.sort();
        machines.dedup();
        self.auxiliary_rng.shuffle(&mut machines);
        for name in machines.iter().take(8) {
            if let Some(w) = self.workers.get_mut(name) {
                w.hung_until = w.hung_until.max(self.now + hang);
            }
        }
    }

    /// Cancels several unfinished jobs on which others depend, at about the same time.
    pub(crate) fn cancel_needed_jobs(&mut self, jobs: usize) {
        let is_open = |u: &User| u.accepted && u.final_state.is_none();
        let open_dependents = self.users.iter().filter(|u| is_open(u));
        let needed: BTreeSet<usize> = open_dependents
            .flat_map(|u| u.pipeline_stage.dependencies.iter().copied())
            .collect();
        let mut cancelled: Vec<usize> = needed
            .into_iter()
            .filter(|job| is_open(&self.users[*job]) && self.users[*job].kube_job.is_none())
            .collect();
        self.auxiliary_rng.shuffle(&mut cancelled);
        for job in cancelled.into_iter().take(jobs) {
            let at = self.now + self.auxiliary_rng.u64(..SECOND / 5);
            self.schedule(at, Event::CancelJob { job });
        }
    }

    /// Adds users who submit short jobs of one task, some of which they cancel.
    pub(super) fn add_short_jobs(&mut self) {
        let Some((from, time)) = self.scenario.single_task_stream else {
            return;
        };
        for n in 0..SHORT_JOBS_PER_SECOND * time / SECOND {
            let at = from + n * SECOND / SHORT_JOBS_PER_SECOND;
            let cancels = self.auxiliary_rng.u8(..4) == 0;
            let cancel_at = cancels.then(|| at + self.auxiliary_rng.u64(..8 * SECOND));
            let spec = JobSpec {
                class: "stream".into(),
                team: if n % 3 == 0 { "bound" } else { "free" }.into(),
                ..JobSpec::plain(&self.next_job_id(), JobKind::Batch, 1, 1.0)
            };
            let run_time = self.auxiliary_rng.u64(SECOND..8 * SECOND);
            self.schedule_user(at, User::new(spec, cancel_at), run_time);
        }
    }
}
