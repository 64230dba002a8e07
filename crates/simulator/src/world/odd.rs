//! Users that ask oddly.

use super::*;
use serde_json::{Value, json};

/// Every field of a submission that has to be there.
const FIELDS: [&str; 17] = [
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

/// What is wrong with a submission, by field, and the answer to it.
fn wrong(rng: &mut Rng) -> (&'static str, Value, u16) {
    let all = [
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
        // On all machines of a type, and over the limit of its team.
        ("vcpus", json!(12.5), 422),
    ];
    all[rng.usize(..all.len())].clone()
}

impl World {
    pub(super) fn odd(&mut self) {
        if self.now >= self.odd_until {
            return;
        }
        self.odd_requests += 1;
        let node = self.side.usize(..self.nodes.len());
        let some = self.side.usize(..self.users.len().max(1));
        let known = self.users.get(some).filter(|u| u.object.is_none());
        let (open, done) = known.map_or((false, false), |u| {
            let open = u.accepted && u.ended.is_none();
            (open, u.ended == Some(JobState::Done))
        });
        match self.side.u8(..3) {
            0 if open => {
                // As it was, or with other content: a known job is answered as known.
                let mut spec = self.users[some].spec.clone();
                match self.side.u8(..4) {
                    0 => spec.team = "nobody".into(),
                    1 => spec.cpus = 999.0,
                    2 => spec.tasks += 1,
                    _ => {}
                }
                self.submit(node, Asker::Again { job: some }, &spec);
            }
            1 if done => self.call_off(some),
            _ => self.submit_wrong(node),
        }
        let next = self.now + self.side.u64(SECOND / 5..2 * SECOND);
        self.at(next, Ev::Odd);
    }

    /// Submits what can't run or lacks a field, and asks for it elsewhere.
    fn submit_wrong(&mut self, node: usize) {
        let id = format!("req-{}", 700_000 + self.odd_requests);
        let spec = JobSpec {
            team: "bound".into(),
            ..JobSpec::plain(&id, JobKind::Batch, 2, 1.0)
        };
        let mut body = serde_json::to_value(spec).unwrap_or_default();
        let status = match self.side.bool() {
            true => {
                let field = FIELDS[self.side.usize(..FIELDS.len())];
                if let Some(fields) = body.as_object_mut() {
                    fields.remove(field);
                }
                400
            }
            false => {
                let (field, value, status) = wrong(&mut self.side);
                body[field] = value;
                status
            }
        };
        let body = dillcleat_wire::encode(&body);
        let asker = Asker::Refused {
            id: id.clone(),
            status,
        };
        self.ask(node, asker, "POST", JOBS_PATH.into(), body);
        let other = self.side.usize(..self.nodes.len());
        let path = poll_path(&id);
        self.ask(other, Asker::Stranger { id }, "GET", path, Vec::new());
    }
}
