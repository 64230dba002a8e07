//! Users who hand in Kubernetes Jobs, and one who watches them.

use super::*;
use crate::objects::{TOKEN, What};
use crate::rules::Rule;
use dillcleat_kube::record::Record;
use serde_json::Value;

/// How often the watcher looks whether its watch goes on.
const REWATCH: Micros = 5 * SECOND;
/// After so long without a line, bookmarks included, it goes elsewhere.
const QUIET: Micros = 60 * SECOND;

impl Simulation {
    /// The Job that an array of the day is handed in as.
    pub(super) fn plan(&mut self, job: usize, spec: &mut JobSpec) -> Option<Plan> {
        let throughout = match self.scenario.form {
            _ if spec.kind != JobKind::Batch => return None,
            SubmissionForm::Native => return None,
            SubmissionForm::Twin | SubmissionForm::Shadow => false,
            SubmissionForm::Objects => true,
            SubmissionForm::Mixed if job.is_multiple_of(2) => true,
            SubmissionForm::Mixed => return None,
        };
        let plan = Plan::new(job, spec, throughout, &mut self.side);
        Some(plan).filter(|_| self.scenario.form != SubmissionForm::Twin)
    }

    fn ask_door(
        &mut self,
        node: usize,
        asker: Requester,
        method: &str,
        target: String,
        body: Vec<u8>,
    ) {
        self.next += 1;
        let request = self.next;
        let aside = matches!(asker, Requester::Watcher);
        self.asked.insert(request, (asker, self.now));
        let epoch = self.nodes[node].epoch;
        if aside {
            self.watcher.begins(request, node, epoch, self.now);
        } else {
            self.at(self.now + USER_TIMEOUT, Event::UserTimeout { request });
        }
        let at = self.now + self.delay_of(aside) / 4;
        let patch = "application/merge-patch+json".to_string();
        let ask = Box::new(ApiRequest {
            method: method.into(),
            target,
            bearer: Some(TOKEN.into()),
            content_type: (method == "PATCH").then_some(patch),
            body,
            accept: None,
        });
        let ev = Event::Ask {
            node,
            epoch,
            request,
            ask,
        };
        self.at(at, ev);
    }

    /// Does what the user of a Job does next; false if it goes by the users' protocol.
    pub(super) fn object_user(&mut self, node: usize, job: usize) -> bool {
        let now = self.now;
        let u = &mut self.users[job];
        let Some(plan) = &mut u.object else {
            return false;
        };
        if u.stage == Stage::Submitting {
            plan.first_try = *u.since.get_or_insert(now);
            plan.tries += 1;
            let (path, body) = (plan.path(), plan.manifest.to_string());
            let spec = u.spec.clone();
            self.checker.submits(&spec);
            let what = What::Create;
            let asker = Requester::Object { job, what };
            self.ask_door(node, asker, "POST", path, body.into_bytes());
            return true;
        }
        if !plan.throughout {
            return false;
        }
        let (path, own) = (plan.path(), plan.own_path());
        let resume = plan.resume_after.filter(|_| !plan.resumed && !plan.deleted);
        let resume = resume
            .zip(plan.created)
            .is_some_and(|(after, at)| now >= at + after);
        let (what, method, target, body) = if resume {
            let body = "{\"spec\":{\"suspend\":false}}".to_string();
            (What::Resume, "PATCH", own, body)
        } else if !plan.deleted && u.cancel_at.is_some_and(|at| now >= at) {
            plan.delete_tries += 1;
            let id = u.spec.id.clone();
            self.checker.asks_to_cancel(&id);
            (What::Delete, "DELETE", own, String::new())
        } else if u.again % 4 == 3 {
            (What::Again, "POST", path, plan.manifest.to_string())
        } else {
            (What::Get, "GET", own, String::new())
        };
        let asker = Requester::Object { job, what };
        self.ask_door(node, asker, method, target, body.into_bytes());
        true
    }

    pub(super) fn object_answer(&mut self, job: usize, what: What, status: u16, body: &[u8]) {
        let now = self.now;
        self.digest.update(now.to_be_bytes());
        self.digest.update(format!("{job} {what:?} {status}"));
        let shown: Value = serde_json::from_slice(body).unwrap_or_default();
        let u = &mut self.users[job];
        u.again += 1;
        let id = u.spec.id.clone();
        let Some(plan) = &mut u.object else {
            return;
        };
        let name = plan.name.to_string();
        let mut wrong = None;
        let mut told = None;
        let mut pause = 5 * SECOND;
        if !matches!(status, 0 | 429 | 503) && u.stage != Stage::Submitting {
            // It was answered; what, is looked at here.
            self.checker.answered_poll(&id, 200, None, now, now);
        }
        match (what, status) {
            (_, 0 | 429 | 503) => {
                let gave_up = u.since.is_some_and(|s| now > s + 60 * SECOND);
                if u.stage == Stage::Submitting && gave_up {
                    return;
                }
                pause = SECOND;
                if u.stage != Stage::Submitting {
                    self.checker.answered_poll(&id, status, None, now, now);
                }
            }
            // Taken as known when an earlier try may have got across.
            (What::Create, 201) | (What::Create, 409) if status == 201 || plan.tries > 1 => {
                u.accepted = true;
                u.stage = Stage::Polling;
                plan.created = Some(now);
                pause = 4 * SECOND;
                self.checker.answered_submission(&id, 201, None, now, now);
            }
            (What::Again, 409) => {}
            (What::Get, 200) => match plan.shown(&shown, now) {
                Ok(ended) => told = ended,
                Err(e) => wrong = Some(e),
            },
            (What::Resume, 200) => plan.resumed = true,
            (What::Resume, 409) => {}
            (What::Delete, 200) => plan.deleted = true,
            (What::Delete, 404) if plan.delete_tries > 1 || plan.may_expire() => {
                plan.deleted = true;
            }
            (What::Get | What::Resume, 404) if plan.deleted => {}
            (What::Get | What::Resume, 404) if plan.may_expire() => {
                plan.deleted = true;
                if u.ended.is_none() && (plan.may_fail() || self.checker.complete(&id)) {
                    u.ended = Some(JobState::Done);
                    u.stage = Stage::Over;
                }
            }
            // An earlier try to delete it was carried out.
            (What::Get | What::Resume, 404) if plan.delete_tries > 0 => plan.deleted = true,
            _ => wrong = Some(format!("{name}: {what:?} is answered {status} {shown}")),
        }
        if let Some(state) = told {
            u.ended = Some(state);
            u.stage = Stage::Over;
            // It was ended for a cause that was shown.
            if state == JobState::Cancelled {
                self.checker.asks_to_cancel(&id);
            }
            self.checker.answered_poll(&id, 200, Some(state), now, now);
        } else if plan.deleted && what == What::Delete && u.ended.is_none() {
            u.ended = Some(JobState::Cancelled);
            u.stage = Stage::Over;
            self.checker
                .answered_poll(&id, 200, Some(JobState::Cancelled), now, now);
        }
        if let Some(what) = wrong {
            self.checker.found(Rule::Object, now, what);
        }
        if u.stage == Stage::Over && !matches!(status, 0 | 429 | 503) {
            pause = pause.max(15 * SECOND);
        }
        self.user_again(now + pause, job);
    }

    pub(super) fn rewatch(&mut self) {
        let now = self.now;
        let lives = self.watcher.open.is_some_and(|(_, node, epoch)| {
            let host = &self.nodes[node];
            host.node.is_some() && host.epoch == epoch
        });
        if !lives || now > self.watcher.heard_at + QUIET {
            let node = self.side.usize(..self.nodes.len());
            if self.nodes[node].node.is_some() {
                let path = self.watcher.path();
                self.ask_door(node, Requester::Watcher, "GET", path, Vec::new());
            }
        }
        self.at(now + REWATCH, Event::Rewatch);
    }

    fn watches(&self, request: u64) -> bool {
        self.watcher.open.is_some_and(|(open, ..)| open == request)
    }

    pub(super) fn watched(&mut self, request: u64, bytes: &[u8]) {
        if !self.watches(request) {
            return;
        }
        self.watcher.heard_at = self.now;
        let line: Value = serde_json::from_slice(bytes).unwrap_or_default();
        if let Err(what) = self.watcher.line(&line) {
            self.checker.found(Rule::Object, self.now, what);
        }
    }

    pub(super) fn watch_ends(&mut self, request: u64) {
        if self.watches(request) {
            self.watcher.open = None;
        }
    }

    pub(super) fn watch_refused(&mut self, status: u16) {
        if status == 410 {
            self.watcher.forget();
        }
        self.watcher.open = None;
        if !matches!(status, 410 | 429 | 503) {
            let what = format!("a watch is answered {status}");
            self.checker.found(Rule::Object, self.now, what);
        }
    }

    /// What must hold when everything is quiet again.
    pub(super) fn finish_objects(&mut self, end: Micros) {
        if !self.scenario.form.objects() {
            return;
        }
        let mut kept = BTreeMap::new();
        for key in self.state.keys(dillcleat_kube::record::OBJECTS) {
            let Some((record, version)) = self.state.read::<Record>(&key) else {
                self.checker
                    .found(Rule::Object, end, format!("{key}: not an object"));
                continue;
            };
            let job = record.state.job.clone().unwrap_or_default();
            let mark = dillcleat_controller::records::job_state_key(&job);
            let ended = !self.state.keys(&mark).is_empty();
            if ended && record.state.end.is_none() {
                let what = format!("{key}: the end of {job} is not told");
                self.checker.found(Rule::Object, end, what);
            }
            let name = key.trim_start_matches("k/o/jobs/").to_string();
            kept.insert(name, version);
        }
        if self.watcher.open.is_some() && self.watcher.view() != kept {
            let what = format!("watched {:?}, there is {kept:?}", self.watcher.view());
            self.checker.found(Rule::Object, end, what);
        }
    }
}
