//! Users who send invalid submissions and superfluous requests.

use super::*;
use serde_json::{Value, json};

const REQUIRED_FIELDS: [&str; 17] = [
    "ref",
    "lot",
    "desk",
    "binding",
    "urgency",
    "leaves",
    "vcpus",
    "accelerators",
    "ram_gb",
    "edition",
    "pull_gb",
    "same_place",
    "spread",
    "remainders",
    "reckon_s",
    "bookmark_s",
    "shelve_s",
];

/// Draws a field of a submission, an invalid value for it, and the expected status.
fn invalid_field(rng: &mut Rng) -> (&'static str, Value, u16) {
    let cases = [
        ("leaves", json!(0), 400),
        ("leaves", json!(100_001), 400),
        ("leaves", json!("2"), 400),
        ("vcpus", json!(-1.0), 400),
        ("binding", json!("both"), 400),
        ("urgency", json!("now"), 400),
        ("spread", json!(null), 400),
        ("ref", json!("job-1"), 400),
        ("desk", json!("nobody"), 422),
        ("vcpus", json!(17.0), 422),
        ("accelerators", json!(3.5), 422),
        ("ram_gb", json!(65.0), 422),
        ("formats", json!(["huge"]), 422),
        ("formats", json!([]), 422),
        ("room", json!("z"), 422),
        // Fits every machine of a type but exceeds the limit of its team.
        ("vcpus", json!(12.5), 422),
    ];
    cases[rng.usize(..cases.len())].clone()
}

impl Simulation {
    pub(super) fn irregular_request(&mut self) {
        if self.now >= self.irregular_requests_until {
            return;
        }
        self.irregular_requests += 1;
        let node = self.auxiliary_rng.usize(..self.nodes.len());
        let job = self.auxiliary_rng.usize(..self.users.len().max(1));
        let native = self.users.get(job).filter(|u| u.kube_job.is_none());
        let (open, done) = native.map_or((false, false), |u| {
            let open = u.accepted && u.final_state.is_none();
            (open, u.final_state == Some(JobState::Done))
        });
        match self.auxiliary_rng.u8(..3) {
            0 if open => {
                // Unchanged or with other content: a known job is recognised by its ID.
                let mut spec = self.users[job].spec.clone();
                match self.auxiliary_rng.u8(..4) {
                    0 => spec.team = "nobody".into(),
                    1 => spec.cpus = 999.0,
                    2 => spec.tasks += 1,
                    _ => {}
                }
                self.submit(node, Requester::ExtraSubmission { job }, &spec);
            }
            1 if done => self.cancel_job(job),
            _ => self.submit_invalid(node),
        }
        let next = self.now + self.auxiliary_rng.u64(SECOND / 5..2 * SECOND);
        self.schedule(next, Event::IrregularRequest);
    }

    /// Submits a job that cannot run or lacks a field, and polls it at another node.
    fn submit_invalid(&mut self, node: usize) {
        let id = format!("req-{}", 700_000 + self.irregular_requests);
        let spec = JobSpec {
            team: "bound".into(),
            ..JobSpec::plain(&id, JobKind::Batch, 2, 1.0)
        };
        let mut body = serde_json::to_value(spec).unwrap_or_default();
        let expected_status = match self.auxiliary_rng.bool() {
            true => {
                let field = REQUIRED_FIELDS[self.auxiliary_rng.usize(..REQUIRED_FIELDS.len())];
                if let Some(fields) = body.as_object_mut() {
                    fields.remove(field);
                }
                400
            }
            false => {
                let (field, value, status) = invalid_field(&mut self.auxiliary_rng);
                body[field] = value;
                status
            }
        };
        let body = dillcleat_wire::encode(&body);
        let requester = Requester::InvalidSubmission {
            id: id.clone(),
            expected_status,
        };
        self.send_request(node, requester, "POST", JOBS_PATH.into(), body);
        let other = self.auxiliary_rng.usize(..self.nodes.len());
        let path = poll_path(&id);
        self.send_request(
            other,
            Requester::UnknownJobPoll { id },
            "GET",
            path,
            Vec::new(),
        );
    }
}
