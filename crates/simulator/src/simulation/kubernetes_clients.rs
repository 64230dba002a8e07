//! Clients of the Kubernetes API: users who create Jobs, and one client that watches all
//! Jobs.

use super::*;
use crate::objects::{JobRequest, TOKEN};
use crate::rules::Rule;
use dillcleat_kube::record::Record;
use serde_json::Value;

const API_WATCH_CHECK_INTERVAL: Micros = 5 * SECOND;
/// A watch that receives neither an event nor a bookmark for this long is reopened at another
/// node.
const API_WATCH_IDLE_TIMEOUT: Micros = 60 * SECOND;

impl Simulation {
    /// In scenarios with Kubernetes ids, gives a batch job the id of a Kubernetes Job. Returns
    /// the Job if it is created through the API.
    pub(super) fn kube_job(&mut self, job: usize, spec: &mut JobSpec) -> Option<KubernetesJob> {
        let kubernetes_only = match self.scenario.form {
            _ if spec.kind != JobKind::Batch => return None,
            SubmissionForm::Native => return None,
            SubmissionForm::NativeWithKubernetesIds | SubmissionForm::KubernetesCreateOnly => false,
            SubmissionForm::Kubernetes => true,
            SubmissionForm::Mixed if job.is_multiple_of(2) => true,
            SubmissionForm::Mixed => return None,
        };
        let kube_job = KubernetesJob::new(job, spec, kubernetes_only, &mut self.auxiliary_rng);
        Some(kube_job).filter(|_| self.scenario.form != SubmissionForm::NativeWithKubernetesIds)
    }

    fn send_api_request(
        &mut self,
        node: usize,
        requester: Requester,
        method: &str,
        target: String,
        body: Vec<u8>,
    ) {
        self.last_request_id += 1;
        let request = self.last_request_id;
        let auxiliary = matches!(requester, Requester::ApiWatch);
        self.pending_requests.insert(request, (requester, self.now));
        let epoch = self.nodes[node].epoch;
        if auxiliary {
            self.watcher.opened(request, node, epoch, self.now);
        } else {
            self.schedule(
                self.now + REQUEST_TIMEOUT,
                Event::RequestTimeout { request },
            );
        }
        let at = self.now + self.network_delay_from(auxiliary) / 4;
        let patch = "application/merge-patch+json".to_string();
        let api_request = Box::new(ApiRequest {
            method: method.into(),
            target,
            bearer: Some(TOKEN.into()),
            content_type: (method == "PATCH").then_some(patch),
            body,
            accept: None,
        });
        let event = Event::ApiRequest {
            node,
            epoch,
            request,
            api_request,
        };
        self.schedule(at, event);
    }

    /// Sends the next API request of a job's user. Returns false if the request is to be
    /// sent by the native protocol instead.
    pub(super) fn api_client_request(&mut self, node: usize, job: usize) -> bool {
        let now = self.now;
        let u = &mut self.users[job];
        let Some(kube_job) = &mut u.kube_job else {
            return false;
        };
        if u.stage == UserState::Submitting {
            kube_job.first_try = *u.first_submitted_at.get_or_insert(now);
            kube_job.tries += 1;
            let (path, body) = (kube_job.path(), kube_job.manifest.to_string());
            let spec = u.spec.clone();
            self.checker.submitted(&spec);
            let operation = JobRequest::Create;
            let requester = Requester::ApiClient { job, operation };
            self.send_api_request(node, requester, "POST", path, body.into_bytes());
            return true;
        }
        if !kube_job.kubernetes_only {
            return false;
        }
        let (path, own) = (kube_job.path(), kube_job.own_path());
        let resume = kube_job
            .resume_after
            .filter(|_| !kube_job.resumed && !kube_job.deleted);
        let resume = resume
            .zip(kube_job.created)
            .is_some_and(|(after, at)| now >= at + after);
        let (operation, method, target, body) = if resume {
            let body = "{\"spec\":{\"suspend\":false}}".to_string();
            (JobRequest::Resume, "PATCH", own, body)
        } else if !kube_job.deleted && u.cancel_at.is_some_and(|at| now >= at) {
            kube_job.delete_tries += 1;
            let id = u.spec.id.clone();
            self.checker.cancel_requested(&id);
            (JobRequest::Delete, "DELETE", own, String::new())
        } else if u.answer_count % 4 == 3 {
            (
                JobRequest::Again,
                "POST",
                path,
                kube_job.manifest.to_string(),
            )
        } else {
            (JobRequest::Get, "GET", own, String::new())
        };
        let requester = Requester::ApiClient { job, operation };
        self.send_api_request(node, requester, method, target, body.into_bytes());
        true
    }

    pub(super) fn api_client_answer(
        &mut self,
        job: usize,
        operation: JobRequest,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        self.answer_digest.update(now.to_be_bytes());
        self.answer_digest
            .update(format!("{job} {operation:?} {status}"));
        let shown: Value = serde_json::from_slice(body).unwrap_or_default();
        let u = &mut self.users[job];
        u.answer_count += 1;
        let id = u.spec.id.clone();
        let Some(kube_job) = &mut u.kube_job else {
            return;
        };
        let name = kube_job.name.to_string();
        let mut error = None;
        let mut shown_state = None;
        let mut delay = 5 * SECOND;
        if !matches!(status, 0 | 429 | 503) && u.stage != UserState::Submitting {
            // Records that the poll was answered. The content is checked below.
            self.checker.poll_answered(&id, 200, None, now, now);
        }
        match (operation, status) {
            (_, 0 | 429 | 503) => {
                let gave_up = u
                    .first_submitted_at
                    .is_some_and(|at| now > at + SUBMISSION_RETRY_TIME);
                if u.stage == UserState::Submitting && gave_up {
                    return;
                }
                delay = SECOND;
                if u.stage != UserState::Submitting {
                    self.checker.poll_answered(&id, status, None, now, now);
                }
            }
            // A conflict counts as success if an earlier attempt may have created the Job.
            (JobRequest::Create, 201) | (JobRequest::Create, 409)
                if status == 201 || kube_job.tries > 1 =>
            {
                u.accepted = true;
                u.stage = UserState::Polling;
                kube_job.created = Some(now);
                delay = 4 * SECOND;
                self.checker.submission_answered(&id, 201, None, now, now);
            }
            (JobRequest::Again, 409) => {}
            (JobRequest::Get, 200) => match kube_job.check_object(&shown, now) {
                Ok(state) => shown_state = state,
                Err(e) => error = Some(e),
            },
            (JobRequest::Resume, 200) => kube_job.resumed = true,
            (JobRequest::Resume, 409) => {}
            (JobRequest::Delete, 200) => kube_job.deleted = true,
            (JobRequest::Delete, 404) if kube_job.delete_tries > 1 || kube_job.may_expire() => {
                kube_job.deleted = true;
            }
            (JobRequest::Get | JobRequest::Resume, 404) if kube_job.deleted => {}
            (JobRequest::Get | JobRequest::Resume, 404) if kube_job.may_expire() => {
                kube_job.deleted = true;
                if u.final_state.is_none() && (kube_job.may_fail() || self.checker.is_complete(&id))
                {
                    u.final_state = Some(JobState::Done);
                    u.stage = UserState::Ended;
                }
            }
            // An earlier attempt to delete the Job was executed.
            (JobRequest::Get | JobRequest::Resume, 404) if kube_job.delete_tries > 0 => {
                kube_job.deleted = true
            }
            _ => {
                error = Some(format!(
                    "{name}: {operation:?} was answered {status} {shown}"
                ))
            }
        }
        if let Some(state) = shown_state {
            u.final_state = Some(state);
            u.stage = UserState::Ended;
            // A Job ended by its deadline or backoff limit counts as cancelled by its user.
            if state == JobState::Cancelled {
                self.checker.cancel_requested(&id);
            }
            self.checker.poll_answered(&id, 200, Some(state), now, now);
        } else if kube_job.deleted && operation == JobRequest::Delete && u.final_state.is_none() {
            u.final_state = Some(JobState::Cancelled);
            u.stage = UserState::Ended;
            self.checker
                .poll_answered(&id, 200, Some(JobState::Cancelled), now, now);
        }
        if let Some(error) = error {
            self.checker
                .report_violation(Rule::KubernetesApi, now, error);
        }
        if u.stage == UserState::Ended && !matches!(status, 0 | 429 | 503) {
            delay = delay.max(15 * SECOND);
        }
        self.schedule_user_request(now + delay, job);
    }

    pub(super) fn check_api_watch(&mut self) {
        let now = self.now;
        let alive = self.watcher.open.is_some_and(|(_, node, epoch)| {
            let host = &self.nodes[node];
            host.node.is_some() && host.epoch == epoch
        });
        if !alive || now > self.watcher.last_event_at + API_WATCH_IDLE_TIMEOUT {
            let node = self.auxiliary_rng.usize(..self.nodes.len());
            if self.nodes[node].node.is_some() {
                let path = self.watcher.path();
                self.send_api_request(node, Requester::ApiWatch, "GET", path, Vec::new());
            }
        }
        self.schedule(now + API_WATCH_CHECK_INTERVAL, Event::CheckApiWatch);
    }

    fn is_open_api_watch(&self, request: u64) -> bool {
        self.watcher.open.is_some_and(|(open, ..)| open == request)
    }

    pub(super) fn api_watch_line(&mut self, request: u64, bytes: &[u8]) {
        if !self.is_open_api_watch(request) {
            return;
        }
        self.watcher.last_event_at = self.now;
        let line: Value = serde_json::from_slice(bytes).unwrap_or_default();
        if let Err(what) = self.watcher.check_event(&line) {
            self.checker
                .report_violation(Rule::KubernetesApi, self.now, what);
        }
    }

    pub(super) fn api_watch_ended(&mut self, request: u64) {
        if self.is_open_api_watch(request) {
            self.watcher.open = None;
        }
    }

    pub(super) fn api_watch_refused(&mut self, status: u16) {
        if status == 410 {
            self.watcher.restart();
        }
        self.watcher.open = None;
        if !matches!(status, 410 | 429 | 503) {
            let what = format!("a watch request was answered {status}");
            self.checker
                .report_violation(Rule::KubernetesApi, self.now, what);
        }
    }

    /// Checks, at the end of a run, that the stored objects show the end of their jobs
    /// and that the watch has shown every object.
    pub(super) fn check_stored_objects(&mut self, end: Micros) {
        if !self.scenario.form.uses_kubernetes() {
            return;
        }
        let mut stored = BTreeMap::new();
        for key in self.store.keys(dillcleat_kube::record::OBJECTS) {
            let Some((record, version)) = self.store.read::<Record>(&key) else {
                self.checker.report_violation(
                    Rule::KubernetesApi,
                    end,
                    format!("{key}: the record cannot be decoded"),
                );
                continue;
            };
            let job = record.state.job.clone().unwrap_or_default();
            let state_key = dillcleat_controller::records::job_state_key(&job);
            let ended = !self.store.keys(&state_key).is_empty();
            if ended && record.state.end.is_none() {
                let what = format!("{key}: the end of {job} is not shown");
                self.checker
                    .report_violation(Rule::KubernetesApi, end, what);
            }
            let name = key.trim_start_matches("k/o/jobs/").to_string();
            stored.insert(name, version);
        }
        if self.watcher.open.is_some() && self.watcher.known_versions() != stored {
            let what = format!(
                "the watch showed {:?}, the store holds {stored:?}",
                self.watcher.known_versions()
            );
            self.checker
                .report_violation(Rule::KubernetesApi, end, what);
        }
    }
}
