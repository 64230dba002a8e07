//! Seeded random runs of three nodes with one store. Store calls are executed and answered
//! in random order, some late or never, and nodes restart. No answer to a user may
//! contradict an earlier one.

mod common;

use common::stepped_node::{MemoryStore, SteppedNode, job_spec, submission_with_field};
use dillcleat_controller::records::{self, RecordedState};
use dillcleat_controller::{CallError, CallId, Config, MILLISECOND, Micros, SECOND};
use dillcleat_wire::store::{StoreRequest, StoreResponse, Value};
use dillcleat_wire::user::{JOBS_PATH, JobState};
use fastrand::Rng;
use std::collections::{HashMap, HashSet};

const SEEDS: std::ops::Range<u64> = 0..400;
const STEPS_PER_SEED: usize = 200;
const JOBS: [&str; 3] = ["req-1", "req-2", "req-3"];

/// The latest state of a job that an answer to a user has shown.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
enum Reported {
    #[default]
    Unknown,
    Open,
    Ended(JobState),
}

impl Reported {
    fn from_state(state: JobState) -> Reported {
        match state {
            JobState::Queued | JobState::Running => Reported::Open,
            ended => Reported::Ended(ended),
        }
    }

    /// Whether an answer may show this state after one that showed `before`.
    fn may_follow(self, before: Reported) -> bool {
        match before {
            Reported::Unknown => true,
            Reported::Open => self != Reported::Unknown,
            ended => self == ended,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestKind {
    Poll,
    Cancel,
    Submit,
    MalformedSubmit,
    /// A submission that depends on another job, whose reported state is given.
    SubmitDependent(Reported),
}

#[derive(Debug)]
struct Request {
    job: &'static str,
    kind: RequestKind,
    /// The job's reported state when the request was sent.
    before: Reported,
}

/// A call to the store that is under way.
#[derive(Debug)]
struct StoreCall {
    /// The calling node and its number of restarts.
    node: (usize, u32),
    id: CallId,
    call: StoreRequest,
    /// Present once the call is executed.
    reply: Option<StoreResponse>,
}

struct Simulation {
    rng: Rng,
    /// How many jobs a node's cache holds, if limited. Evicted jobs are read again.
    cache_capacity: Option<u8>,
    now: Micros,
    store: MemoryStore,
    /// The nodes, each with its number of restarts.
    nodes: Vec<(SteppedNode, u32)>,
    calls: Vec<StoreCall>,
    /// Calls that failed for the node and may still be executed.
    late_calls: Vec<StoreRequest>,
    /// Unanswered requests by node, number of restarts and request id.
    requests: HashMap<(usize, u32, u64), Request>,
    reported: HashMap<&'static str, Reported>,
    /// The state that each node has reported itself since its latest restart.
    reported_by_node: HashMap<(usize, u32, &'static str), Reported>,
    submitted: HashSet<&'static str>,
    created: HashSet<&'static str>,
}

fn config(cache_capacity: Option<u8>) -> Config {
    let mut config = common::config_with_team();
    (config.store_rps, config.store_write_rps) = (1e6, 1e6);
    if let Some(jobs) = cache_capacity {
        // The cache takes an eighth of the memory, and a job 200 bytes of the cache.
        config.memory_mb = 0.0016 * f64::from(jobs);
    }
    config
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let now = 1000 * SECOND;
        let cache_capacity = [None, Some(1), None, Some(2)][seed as usize % 4];
        Simulation {
            rng: Rng::with_seed(seed),
            cache_capacity,
            now,
            store: MemoryStore::default(),
            nodes: (0..3)
                .map(|_| (SteppedNode::ready(config(cache_capacity), now), 0))
                .collect(),
            calls: Vec::new(),
            late_calls: Vec::new(),
            requests: HashMap::new(),
            reported: HashMap::new(),
            reported_by_node: HashMap::new(),
            submitted: HashSet::new(),
            created: HashSet::new(),
        }
    }

    /// Sends a random request to node `n`.
    fn send_request(&mut self, n: usize) {
        let job = JOBS[self.rng.usize(..JOBS.len())];
        let before = self.reported.get(job).copied().unwrap_or_default();
        let (node, restarts) = &mut self.nodes[n];
        let (kind, request) = match self.rng.u32(..16) {
            0..7 => (RequestKind::Poll, node.poll(job)),
            7..10 => (RequestKind::Cancel, node.cancel(job)),
            10..13 => (RequestKind::Submit, node.submit(&job_spec(job))),
            13 | 14 => {
                let body = submission_with_field(job, "leaves", Some(Value::from(0)));
                (
                    RequestKind::MalformedSubmit,
                    node.request("POST", JOBS_PATH.into(), body),
                )
            }
            _ => {
                let other = JOBS[self.rng.usize(..JOBS.len())];
                let mut spec = job_spec(job);
                spec.depends_on = vec![other.into()];
                let reported = self.reported.get(other).copied().unwrap_or_default();
                (RequestKind::SubmitDependent(reported), node.submit(&spec))
            }
        };
        if matches!(kind, RequestKind::Submit | RequestKind::SubmitDependent(_)) {
            self.submitted.insert(job);
        }
        let sent = Request { job, kind, before };
        self.requests.insert((n, *restarts, request), sent);
    }

    /// Collects the calls that the nodes have sent, and checks their answers to users.
    fn collect_outputs(&mut self) {
        for n in 0..self.nodes.len() {
            let (node, restarts) = &mut self.nodes[n];
            let (node_and_restarts, restarts) = ((n, *restarts), *restarts);
            for (id, call) in std::mem::take(&mut node.pending_calls) {
                let node = node_and_restarts;
                let reply = None;
                self.calls.push(StoreCall {
                    node,
                    id,
                    call,
                    reply,
                });
            }
            for a in std::mem::take(&mut node.answers) {
                let request = self.requests.remove(&(n, restarts, a.request));
                let request = request.expect("answered once");
                self.check_answer((n, restarts), &request, a.status, a.state);
            }
        }
    }

    fn check_answer(
        &mut self,
        (n, restarts): (usize, u32),
        request: &Request,
        status: u16,
        state: Option<JobState>,
    ) {
        let job = request.job;
        let now = match (status, state) {
            (503, _) => return,
            (200 | 201, Some(state)) => Reported::from_state(state),
            (404, None) if matches!(request.kind, RequestKind::Poll | RequestKind::Cancel) => {
                Reported::Unknown
            }
            (400, None) if request.kind == RequestKind::MalformedSubmit => Reported::Unknown,
            // The job that it depends on was not accepted.
            (422, None) if request.kind == RequestKind::SubmitDependent(Reported::Unknown) => {
                Reported::Unknown
            }
            _ => panic!("{request:?}: {status} {state:?}"),
        };
        assert!(now.may_follow(request.before), "{request:?}: {now:?}");
        let own = self.reported_by_node.entry((n, restarts, job)).or_default();
        assert!(
            now.may_follow(*own),
            "{request:?} at a node that has reported {own:?}: {now:?}"
        );
        // A node need not remember that it reported a job as open, unless it accepted the
        // job itself.
        if (matches!(now, Reported::Ended(_)) || status == 201) && self.cache_capacity.is_none() {
            *own = now;
        }
        if now == Reported::Unknown {
            return;
        }
        assert!(self.submitted.contains(job), "{job}: never submitted");
        if let Reported::Ended(state) = now {
            let recorded = self
                .store
                .recorded_state(job)
                .and_then(RecordedState::ended);
            assert_eq!(recorded, Some(state), "{request:?}");
        }
        let ended = matches!(now, Reported::Ended(_));
        assert!(ended || request.kind != RequestKind::Cancel, "{request:?}");
        assert!(
            status == 200 || self.created.insert(job),
            "{job}: created twice"
        );
        let reported = self.reported.entry(job).or_default();
        if now.may_follow(*reported) {
            *reported = now;
        }
    }

    /// Delivers the reply of an executed call.
    fn deliver(&mut self, i: usize) {
        let call = self.calls.swap_remove(i);
        let (n, restarts) = call.node;
        let (node, now) = &mut self.nodes[n];
        let Some(reply) = call.reply else {
            unreachable!("the call was executed");
        };
        if restarts == *now {
            node.reply(call.id, Ok(reply));
        }
    }

    /// Fails a call for the node. If it is not executed yet, it may be executed later or
    /// never.
    fn fail_call(&mut self, i: usize) {
        let call = self.calls.swap_remove(i);
        if call.reply.is_none() && self.rng.bool() {
            self.late_calls.push(call.call);
        }
        let (n, restarts) = call.node;
        let (node, now) = &mut self.nodes[n];
        if restarts == *now {
            node.reply(call.id, Err(CallError::NoAnswer));
        }
    }

    fn execute(&mut self, i: usize) {
        let call = &mut self.calls[i];
        if call.reply.is_none() {
            call.reply = Some(self.store.execute(&call.call));
        }
    }

    /// Writes what a leader would write next for a random job.
    fn act_as_leader(&mut self) {
        let job = JOBS[self.rng.usize(..JOBS.len())];
        let described = self.store.rows.contains_key(&records::open_job_key(job));
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
            0..25 => self.send_request(n),
            25..40 => {
                self.now += self.rng.u64(..40) * MILLISECOND;
                self.nodes[n].0.now = self.now;
                self.nodes[n].0.tick();
            }
            40..43 => self.act_as_leader(),
            43..44 if self.rng.u32(..4) == 0 => {
                let restarts = self.nodes[n].1 + 1;
                self.nodes[n] = (
                    SteppedNode::new(config(self.cache_capacity), self.now),
                    restarts,
                );
            }
            44..46 if !self.late_calls.is_empty() => {
                let i = self.rng.usize(..self.late_calls.len());
                let late = self.late_calls.swap_remove(i);
                self.store.execute(&late);
            }
            kind if !self.calls.is_empty() => {
                let i = self.rng.usize(..self.calls.len());
                match kind {
                    46..50 => self.fail_call(i),
                    50..52 if self.calls[i].reply.is_none() => {
                        let rate_limited = self.rng.bool();
                        let errors = [StoreResponse::Unavailable, StoreResponse::RateLimited];
                        self.calls[i].reply = Some(errors[usize::from(rate_limited)].clone());
                    }
                    _ if self.calls[i].reply.is_some() => self.deliver(i),
                    _ => self.execute(i),
                }
            }
            _ => {}
        }
        self.collect_outputs();
    }

    /// Executes and answers all calls until every request has had time to be answered.
    fn finish(&mut self) {
        for _ in 0..200 {
            while !self.calls.is_empty() {
                self.execute(0);
                self.deliver(0);
                self.collect_outputs();
            }
            self.now += 20 * MILLISECOND;
            for (node, _) in &mut self.nodes {
                node.now = self.now;
                node.tick();
            }
            self.collect_outputs();
        }
        let current: Vec<u32> = self.nodes.iter().map(|(_, restarts)| *restarts).collect();
        let open = |(n, restarts, _): &&(usize, u32, u64)| current[*n] == *restarts;
        assert_eq!(self.requests.keys().find(open), None, "never answered");
    }
}

#[test]
fn later_answers_never_contradict_earlier_ones() {
    let mut ended_counts = [0, 0];
    for seed in SEEDS {
        let run = std::panic::catch_unwind(|| {
            let mut simulation = Simulation::new(seed);
            for _ in 0..STEPS_PER_SEED {
                simulation.step();
            }
            simulation.finish();
            simulation.reported
        });
        let reported = run.unwrap_or_else(|_| panic!("seed {seed}"));
        for (i, state) in [JobState::Done, JobState::Cancelled]
            .into_iter()
            .enumerate()
        {
            let ended = Reported::Ended(state);
            ended_counts[i] += reported.values().filter(|r| **r == ended).count();
        }
    }
    // Enough jobs have ended in each way.
    assert!(ended_counts.iter().all(|n| *n > 100), "{ended_counts:?}");
}
