//! Three nodes, one store and users who ask at all of them: calls are carried out and
//! answered in any order, some late, some without an answer, and nodes start anew.

mod common;

use common::stepped_node::{MemoryStore, SteppedNode, job_spec, submission_with_field};
use dillcleat_controller::records::{self, RecordedState};
use dillcleat_controller::{CallError, CallId, Config, MILLISECOND, Micros, SECOND};
use dillcleat_wire::store::{StoreRequest, StoreResponse, Value};
use dillcleat_wire::user::{JOBS_PATH, JobState};
use fastrand::Rng;
use std::collections::{HashMap, HashSet};

const JOBS: [&str; 3] = ["req-1", "req-2", "req-3"];

/// The most that users have been told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
enum Known {
    #[default]
    Nothing,
    Accepted,
    Ended(JobState),
}

impl Known {
    fn of(state: JobState) -> Known {
        match state {
            JobState::Queued | JobState::Running => Known::Accepted,
            ended => Known::Ended(ended),
        }
    }

    /// Whether this may be told once `before` was.
    fn may_follow(self, before: Known) -> bool {
        match before {
            Known::Nothing => true,
            Known::Accepted => self != Known::Nothing,
            ended => self == ended,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Poll,
    Cancel,
    Submit,
    Bad,
    /// A submission that waits for this job, of which this much had been told.
    After(Known),
}

#[derive(Debug)]
struct Request {
    job: &'static str,
    kind: Kind,
    /// The most that had been told when it came in.
    before: Known,
}

/// A call on its way: of a node and which start of it, with the answer if it was carried
/// out.
#[derive(Debug)]
struct Call {
    node: (usize, u32),
    id: CallId,
    call: StoreRequest,
    reply: Option<StoreResponse>,
}

struct World {
    rng: Rng,
    /// Nodes have room for so few jobs only: what they once told they have to read again.
    room: Option<u8>,
    at: Micros,
    store: MemoryStore,
    nodes: Vec<(SteppedNode, u32)>,
    calls: Vec<Call>,
    /// Calls that were given up and may yet be carried out.
    late: Vec<StoreRequest>,
    requests: HashMap<(usize, u32, u64), Request>,
    told: HashMap<&'static str, Known>,
    /// The same of what each node has told by itself, from its start on.
    by_node: HashMap<(usize, u32, &'static str), Known>,
    submitted: HashSet<&'static str>,
    created: HashSet<&'static str>,
}

fn config(room: Option<u8>) -> Config {
    let mut config = common::config_with_team();
    (config.state_rps, config.state_write_rps) = (1e6, 1e6);
    if let Some(jobs) = room {
        // A job takes 200 bytes of an eighth of it.
        config.memory_mb = 0.0016 * f64::from(jobs);
    }
    config
}

impl World {
    fn new(seed: u64) -> World {
        let at = 1000 * SECOND;
        let room = [None, Some(1), None, Some(2)][seed as usize % 4];
        World {
            rng: Rng::with_seed(seed),
            room,
            at,
            store: MemoryStore::default(),
            nodes: (0..3)
                .map(|_| (SteppedNode::ready(config(room), at), 0))
                .collect(),
            calls: Vec::new(),
            late: Vec::new(),
            requests: HashMap::new(),
            told: HashMap::new(),
            by_node: HashMap::new(),
            submitted: HashSet::new(),
            created: HashSet::new(),
        }
    }

    fn ask(&mut self, n: usize) {
        let job = JOBS[self.rng.usize(..JOBS.len())];
        let before = self.told.get(job).copied().unwrap_or_default();
        let (node, start) = &mut self.nodes[n];
        let (kind, request) = match self.rng.u32(..16) {
            0..7 => (Kind::Poll, node.poll(job)),
            7..10 => (Kind::Cancel, node.cancel(job)),
            10..13 => (Kind::Submit, node.submit(&job_spec(job))),
            13 | 14 => {
                let body = submission_with_field(job, "leaves", Some(Value::from(0)));
                (Kind::Bad, node.request("POST", JOBS_PATH.into(), body))
            }
            _ => {
                let other = JOBS[self.rng.usize(..JOBS.len())];
                let mut spec = job_spec(job);
                spec.depends_on = vec![other.into()];
                let told = self.told.get(other).copied().unwrap_or_default();
                (Kind::After(told), node.submit(&spec))
            }
        };
        if matches!(kind, Kind::Submit | Kind::After(_)) {
            self.submitted.insert(job);
        }
        let asked = Request { job, kind, before };
        self.requests.insert((n, *start, request), asked);
    }

    /// What the nodes have just done: calls go out, answers are judged.
    fn gather(&mut self) {
        for n in 0..self.nodes.len() {
            let (node, start) = &mut self.nodes[n];
            let (node_and_start, start) = ((n, *start), *start);
            for (id, call) in std::mem::take(&mut node.pending_calls) {
                let node = node_and_start;
                let reply = None;
                self.calls.push(Call {
                    node,
                    id,
                    call,
                    reply,
                });
            }
            for a in std::mem::take(&mut node.answers) {
                let asked = self.requests.remove(&(n, start, a.request));
                let asked = asked.expect("answered once");
                self.judge((n, start), &asked, a.status, a.state);
            }
        }
    }

    fn judge(
        &mut self,
        (n, start): (usize, u32),
        asked: &Request,
        status: u16,
        state: Option<JobState>,
    ) {
        let job = asked.job;
        let now = match (status, state) {
            (503, _) => return,
            (200 | 201, Some(state)) => Known::of(state),
            (404, None) if matches!(asked.kind, Kind::Poll | Kind::Cancel) => Known::Nothing,
            (400, None) if asked.kind == Kind::Bad => Known::Nothing,
            // What it waits for was not accepted.
            (422, None) if asked.kind == Kind::After(Known::Nothing) => Known::Nothing,
            _ => panic!("{asked:?}: {status} {state:?}"),
        };
        assert!(now.may_follow(asked.before), "{asked:?}: {now:?}");
        let own = self.by_node.entry((n, start, job)).or_default();
        assert!(
            now.may_follow(*own),
            "{asked:?} at a node that told {own:?}: {now:?}"
        );
        // That a name is known is no promise of a node: it need not keep it in mind.
        if (matches!(now, Known::Ended(_)) || status == 201) && self.room.is_none() {
            *own = now;
        }
        if now == Known::Nothing {
            return;
        }
        assert!(self.submitted.contains(job), "{job}: invented");
        if let Known::Ended(state) = now {
            let mark = self
                .store
                .recorded_state(job)
                .and_then(RecordedState::ended);
            assert_eq!(mark, Some(state), "{asked:?}");
        }
        let ended = matches!(now, Known::Ended(_));
        assert!(ended || asked.kind != Kind::Cancel, "{asked:?}");
        assert!(
            status == 200 || self.created.insert(job),
            "{job}: created twice"
        );
        let told = self.told.entry(job).or_default();
        if now.may_follow(*told) {
            *told = now;
        }
    }

    fn deliver(&mut self, i: usize) {
        let call = self.calls.swap_remove(i);
        let (n, start) = call.node;
        let (node, now) = &mut self.nodes[n];
        let Some(reply) = call.reply else {
            unreachable!("it was carried out");
        };
        if start == *now {
            node.reply(call.id, Ok(reply));
        }
    }

    /// A call is given up: it was carried out, or will be late, or never.
    fn lose(&mut self, i: usize) {
        let call = self.calls.swap_remove(i);
        if call.reply.is_none() && self.rng.bool() {
            self.late.push(call.call);
        }
        let (n, start) = call.node;
        let (node, now) = &mut self.nodes[n];
        if start == *now {
            node.reply(call.id, Err(CallError::NoAnswer));
        }
    }

    fn carry_out(&mut self, i: usize) {
        let call = &mut self.calls[i];
        if call.reply.is_none() {
            call.reply = Some(self.store.execute(&call.call));
        }
    }

    /// What a leader does with a job.
    fn lead(&mut self) {
        let job = JOBS[self.rng.usize(..JOBS.len())];
        let described = self.store.rows.contains_key(&records::open_key(job));
        match self.store.recorded_state(job) {
            None if described => {
                self.store.mark_done(job);
            }
            Some(RecordedState::Cancelled) => self.store.remove_cancelled(job),
            _ => {}
        }
    }

    fn step(&mut self) {
        let n = self.rng.usize(..self.nodes.len());
        match self.rng.u32(..100) {
            0..25 => self.ask(n),
            25..40 => {
                self.at += self.rng.u64(..40) * MILLISECOND;
                self.nodes[n].0.now = self.at;
                self.nodes[n].0.tick();
            }
            40..43 => self.lead(),
            43..44 if self.rng.u32(..4) == 0 => {
                let start = self.nodes[n].1 + 1;
                self.nodes[n] = (SteppedNode::new(config(self.room), self.at), start);
            }
            44..46 if !self.late.is_empty() => {
                let late = self.late.swap_remove(self.rng.usize(..self.late.len()));
                self.store.execute(&late);
            }
            kind if !self.calls.is_empty() => {
                let i = self.rng.usize(..self.calls.len());
                match kind {
                    46..50 => self.lose(i),
                    50..52 if self.calls[i].reply.is_none() => {
                        let busy = self.rng.bool();
                        let refused = [StoreResponse::Unavailable, StoreResponse::RateLimited];
                        self.calls[i].reply = Some(refused[usize::from(busy)].clone());
                    }
                    _ if self.calls[i].reply.is_some() => self.deliver(i),
                    _ => self.carry_out(i),
                }
            }
            _ => {}
        }
        self.gather();
    }

    /// Everything that is under way comes to its end.
    fn finish(&mut self) {
        for _ in 0..200 {
            while !self.calls.is_empty() {
                self.carry_out(0);
                self.deliver(0);
                self.gather();
            }
            self.at += 20 * MILLISECOND;
            for (node, _) in &mut self.nodes {
                node.now = self.at;
                node.tick();
            }
            self.gather();
        }
        let starts: Vec<u32> = self.nodes.iter().map(|(_, start)| *start).collect();
        let open = |(n, start, _): &&(usize, u32, u64)| starts[*n] == *start;
        assert_eq!(self.requests.keys().find(open), None, "never answered");
    }
}

#[test]
fn nothing_that_was_told_is_taken_back() {
    let mut ends = [0, 0];
    for seed in 0..400 {
        let run = std::panic::catch_unwind(|| {
            let mut world = World::new(seed);
            for _ in 0..200 {
                world.step();
            }
            world.finish();
            world.told
        });
        let told = run.unwrap_or_else(|_| panic!("seed {seed}"));
        for (i, state) in [JobState::Done, JobState::Cancelled]
            .into_iter()
            .enumerate()
        {
            ends[i] += told.values().filter(|k| **k == Known::Ended(state)).count();
        }
    }
    // The days were of some use.
    assert!(ends.iter().all(|n| *n > 100), "{ends:?}");
}
