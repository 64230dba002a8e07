//! Cancellations that exceed the store's limit of writes per second.

mod common;

use common::stepped_node::{MemoryStore, SteppedNode, UserAnswer, job_spec};
use dillcleat_controller::records::RecordedState;
use dillcleat_controller::{Config, Input, MILLISECOND, Micros, SECOND};
use dillcleat_wire::store::{StoreRequest, StoreResponse};
use dillcleat_wire::user::JobState;

const START: Micros = 1000 * SECOND;
/// The time after which a user stops waiting for an answer.
const USER_TIMEOUT: Micros = 5 * SECOND;
const WRITES_PER_S: f64 = 30.0;
/// The part of the store's limit that the users of all three nodes may use.
const USERS_FRACTION: f64 = 0.7;

/// A node with open jobs, and the store that contains them.
struct Fixture {
    node: SteppedNode,
    store: MemoryStore,
    jobs: Vec<String>,
    /// The number of cancellations that the node has sent.
    sent: usize,
}

impl Fixture {
    fn new(jobs: usize) -> Fixture {
        let config = Config {
            store_write_rps: WRITES_PER_S,
            current_store_write_rps: WRITES_PER_S,
            ..common::config_with_team()
        };
        let mut fixture = Fixture {
            node: SteppedNode::with_machine_types(config, START),
            store: MemoryStore::default(),
            jobs: (0..jobs)
                .map(|job| format!("req-{:06}", 100 + job))
                .collect(),
            sent: 0,
        };
        for id in fixture.jobs.clone() {
            fixture.submit_until_accepted(&id);
        }
        // The budget of writes is full again.
        for _ in 0..40 {
            fixture.step(|_| false);
        }
        fixture
    }

    fn submit_until_accepted(&mut self, id: &str) {
        loop {
            self.node.submit(&job_spec(id));
            while self.node.answers.is_empty() {
                self.step(|_| false);
            }
            if self.node.answers.remove(0).status == 201 {
                return;
            }
            self.node.now += SECOND;
        }
    }

    /// Advances the time by one tick and answers the calls. Cancellations are refused as over the
    /// limit if `refuse` says so for their number.
    fn step(&mut self, refuse: impl Fn(usize) -> bool) {
        self.node.now += 50 * MILLISECOND;
        self.node.tick();
        for (id, call) in std::mem::take(&mut self.node.pending_calls) {
            let cancels = matches!(&call, StoreRequest::Transaction(txn) if txn.then.len() == 2);
            self.sent += usize::from(cancels);
            let reply = match cancels && refuse(self.sent) {
                true => StoreResponse::RateLimited,
                false => self.store.execute(&call),
            };
            let reply = Ok(reply);
            self.node.handle(Input::Store { id, reply });
        }
    }

    /// Cancels a job and lets time pass until the user is answered. Cancellations are refused as
    /// over the limit if `refuse` says so for their number.
    fn cancel_and_await_answer(&mut self, id: &str, refuse: impl Fn(usize) -> bool) {
        self.node.cancel(id);
        let asked_at = self.node.now;
        while self.node.answers.is_empty() {
            self.step(&refuse);
        }
        assert!(self.node.now < asked_at + USER_TIMEOUT);
    }

    fn is_cancelled(&self, id: &str) -> bool {
        self.store.recorded_state(id) == Some(RecordedState::Cancelled)
    }
}

/// Guards against a cancellation that others keep from being stored by the writes of single keys,
/// so that it is refused each time that its user asks.
#[test]
fn rate_limited_cancellation_is_sent_again_while_its_user_waits() {
    let mut fixture = Fixture::new(1);
    let id = fixture.jobs[0].clone();
    fixture.cancel_and_await_answer(&id, |sent| sent < 8);
    assert_eq!(fixture.sent, 8);
    let [UserAnswer { status, state, .. }] = &fixture.node.answers[..] else {
        panic!("{:?}", fixture.node.answers);
    };
    assert_eq!((*status, *state), (200, Some(JobState::Cancelled)));
    assert!(fixture.is_cancelled(&id));
}

/// The user is told in time that the cancellation was not stored.
#[test]
fn cancellation_that_is_always_rate_limited_is_refused_in_time() {
    let mut fixture = Fixture::new(1);
    let id = fixture.jobs[0].clone();
    fixture.cancel_and_await_answer(&id, |_| true);
    assert_eq!(fixture.node.answers[0].status, 503);
    assert!(!fixture.is_cancelled(&id));
}

/// Cancellations are charged to the budget of the users' writes, so that many of them leave the rest
/// of the store's limit to the leader.
#[test]
fn many_cancellations_leave_writes_to_the_leader() {
    const JOBS: usize = 60;
    let mut fixture = Fixture::new(JOBS);
    for id in fixture.jobs.clone() {
        fixture.node.cancel(&id);
    }
    let asked_at = fixture.node.now;
    while fixture.node.answers.len() < JOBS {
        fixture.step(|_| false);
    }
    let time = fixture.node.now - asked_at;
    assert!(time < USER_TIMEOUT);
    let users_per_s = WRITES_PER_S * USERS_FRACTION;
    // At most the budget of all nodes, and one second's worth of it at once.
    let limit = users_per_s * (1.0 + time as f64 / SECOND as f64);
    let written = fixture.sent as f64 * 2.0;
    assert!(written <= limit, "{written} keys, at most {limit}");
    let cancelled = fixture.jobs.iter().filter(|id| fixture.is_cancelled(id));
    assert!(cancelled.count() >= 10);
}
