//! Users ask more often than the node's budget allows, at regular intervals, and the node knows
//! none of their jobs: its process has just started.

mod common;

use common::stepped_node::{MemoryStore, SteppedNode, job_spec};
use dillcleat_controller::records::{self, JobStateRecord, RecordedState};
use dillcleat_controller::{MILLISECOND, Micros, SECOND};
use dillcleat_wire::user::{JobSpec, JobState};
use fastrand::Rng;
use std::collections::BTreeMap;

const START: Micros = 1000 * SECOND;
/// The time after which a job without an answer counts as forgotten.
const MAX_UNANSWERED: Micros = 75 * SECOND;
const POLL_INTERVAL: Micros = 5 * SECOND;
/// How long a user waits for the answer to a poll.
const POLL_TIMEOUT: Micros = 2 * SECOND;
/// How long a user waits for the answer to a submission or cancellation.
const CHANGE_TIMEOUT: Micros = 5 * SECOND;
/// How long after a refusal a user repeats a submission or cancellation.
const RETRY_PAUSE: Micros = SECOND;
/// For how long a user repeats a submission.
const SUBMISSION_RETRY_TIME: Micros = 60 * SECOND;
/// How long the store takes to answer.
const STEP: Micros = 10 * MILLISECOND;
const TICK_INTERVAL: Micros = 50 * MILLISECOND;

type Answered = (u16, Option<JobState>);

/// What a user requests, until it is answered.
#[derive(Debug, Clone)]
enum Action {
    /// Polls, also after the first answer.
    Poll,
    Submit(Box<JobSpec>),
    Cancel,
}

impl Action {
    fn timeout(&self) -> Micros {
        match self {
            Action::Poll => POLL_TIMEOUT,
            Action::Submit(_) | Action::Cancel => CHANGE_TIMEOUT,
        }
    }
}

/// A user with requests about one job.
struct User {
    job: String,
    action: Action,
    expected: Answered,
    request_at: Micros,
    /// When the user first sent the request.
    since: Option<Micros>,
    answered_at: Option<Micros>,
}

/// A node and the users that have their connections to it.
struct Fixture {
    node: SteppedNode,
    store: MemoryStore,
    users: Vec<User>,
    /// The requests without an answer, with their users and the time of sending.
    requests: BTreeMap<u64, (usize, Micros)>,
    rng: Rng,
    /// By how much the interval between two polls may differ from the usual one.
    variation: Micros,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture {
            node: SteppedNode::with_machine_types(common::config_with_team(), START),
            store: MemoryStore::default(),
            users: Vec::new(),
            requests: BTreeMap::new(),
            rng: Rng::with_seed(6),
            variation: 0,
        }
    }

    /// Stores an open job without the node.
    fn store_open_job(&mut self, spec: &JobSpec) {
        let job =
            self.node
                .node
                .build_open_record(spec.clone(), None, common::timestamp(self.node.now));
        self.store.put(records::open_job_key(&spec.id), &job);
    }

    fn store_end(&mut self, id: &str, state: RecordedState) {
        let record = JobStateRecord {
            state,
            task_count: 2,
        };
        self.store.put(records::job_state_key(id), &record);
    }

    /// Adds a user who first polls within the next interval.
    fn add_user(&mut self, job: &str, expected: Answered) {
        let request_at = self.node.now + self.rng.u64(..POLL_INTERVAL);
        self.users.push(User {
            job: job.into(),
            action: Action::Poll,
            expected,
            request_at,
            since: None,
            answered_at: None,
        });
    }

    /// Adds a user who submits this job within the next second.
    fn add_submission(&mut self, spec: JobSpec) {
        self.add_user(&spec.id, (201, Some(JobState::Queued)));
        self.set_last_action(Action::Submit(Box::new(spec)));
    }

    /// Adds a user who cancels this job within the next second.
    fn add_cancellation(&mut self, job: &str) {
        self.add_user(job, (200, Some(JobState::Cancelled)));
        self.set_last_action(Action::Cancel);
    }

    fn set_last_action(&mut self, action: Action) {
        let request_at = self.node.now + self.rng.u64(..SECOND);
        let user = self.users.last_mut().expect("a user was added");
        (user.action, user.request_at) = (action, request_at);
    }

    /// Users who poll this many open jobs.
    fn with_open_jobs(jobs: usize) -> Fixture {
        let mut fixture = Fixture::new();
        for number in 0..jobs {
            fixture.add_open_job(number);
        }
        fixture
    }

    fn add_open_job(&mut self, number: usize) {
        let id = job_id(number);
        self.store_open_job(&job_spec(&id));
        self.add_user(&id, (200, Some(JobState::Queued)));
    }

    fn step(&mut self) {
        self.node.now += STEP;
        if self.node.now.is_multiple_of(TICK_INTERVAL) {
            self.node.tick();
        }
        for _ in 0..self.node.pending_calls.len() {
            self.node.execute_next(&mut self.store);
        }
        let now = self.node.now;
        for index in 0..self.users.len() {
            let user = &mut self.users[index];
            if user.request_at > now {
                continue;
            }
            user.since.get_or_insert(now);
            let request = match &user.action {
                Action::Poll => {
                    let variation = self.rng.u64(..=2 * self.variation);
                    user.request_at += POLL_INTERVAL + variation - self.variation;
                    self.node.poll(&user.job)
                }
                Action::Submit(spec) => {
                    user.request_at = Micros::MAX;
                    self.node.submit(spec)
                }
                Action::Cancel => {
                    user.request_at = Micros::MAX;
                    self.node.cancel(&user.job)
                }
            };
            self.requests.insert(request, (index, now));
        }
        self.take_answers();
    }

    fn take_answers(&mut self) {
        for answer in std::mem::take(&mut self.node.answers) {
            let request = self.requests.remove(&answer.request);
            let (index, asked_at) = request.expect("one answer to each request");
            let user = &mut self.users[index];
            let is_late = self.node.now > asked_at + user.action.timeout();
            if answer.status == 503 || is_late {
                if !matches!(user.action, Action::Poll) {
                    user.request_at = self.node.now + RETRY_PAUSE;
                }
                continue;
            }
            assert_eq!((answer.status, answer.state), user.expected, "{}", user.job);
            user.answered_at.get_or_insert(self.node.now);
        }
    }

    /// Lets time pass and returns the longest time for which a user had no answer.
    fn longest_unanswered(&mut self, time: Micros) -> Micros {
        let until = self.node.now + time;
        while self.node.now < until {
            self.step();
        }
        let unanswered = |user: &User| {
            let since = user.since.unwrap_or(until);
            user.answered_at.unwrap_or(until) - since
        };
        self.users.iter().map(unanswered).max().unwrap_or(0)
    }

    /// Lets 90 s pass in which users submit 18 jobs a second. The budget is 18.7 writes a second.
    fn submit_at_the_write_budget(&mut self) {
        for second in 0..90 {
            for number in 0..18 {
                self.add_submission(job_spec(&job_id(10_000 + second * 18 + number)));
            }
            self.longest_unanswered(SECOND);
        }
    }

    fn assert_all_answered(&mut self, limit: Micros) {
        let longest = self.longest_unanswered(MAX_UNANSWERED + 2 * POLL_INTERVAL);
        assert!(longest <= limit, "a job had no answer for {longest} us");
    }
}

fn job_id(number: usize) -> String {
    format!("req-{:06}", 1000 + number)
}

/// Guards against open jobs that get only refusals after a restart, since their users always ask
/// when the budget of the moment is used up (review/6).
#[test]
fn every_open_job_is_answered_after_a_restart() {
    // From a few jobs more than the budget suffices for to several pages of a listing.
    for (jobs, variation) in [(300, 0), (1000, 0), (1000, 500 * MILLISECOND), (3000, 0)] {
        let mut fixture = Fixture::with_open_jobs(jobs);
        fixture.variation = variation;
        // docs/scale.md: an open job is answered at its first or second poll.
        fixture.assert_all_answered(POLL_INTERVAL + POLL_TIMEOUT);
    }
}

/// Guards against ended and unknown jobs that get only refusals while others are answered: unlike
/// an open job, they are not answered by a comparison with many others.
#[test]
fn ended_and_unknown_jobs_are_answered_after_a_restart() {
    let mut fixture = Fixture::new();
    for number in 0..1500 {
        let id = job_id(number);
        match number % 4 {
            0 => fixture.add_open_job(number),
            1 => {
                fixture.store_end(&id, RecordedState::Done);
                fixture.add_user(&id, (200, Some(JobState::Done)));
            }
            2 => {
                // The records of a cancelled job exist until its tasks are gone.
                fixture.store_open_job(&job_spec(&id));
                fixture.store_end(&id, RecordedState::Cancelled);
                fixture.add_user(&id, (200, Some(JobState::Cancelled)));
            }
            _ => fixture.add_user(&id, (404, None)),
        }
    }
    fixture.assert_all_answered(MAX_UNANSWERED);
}

/// Guards against ended jobs far apart in the store, of which a listing reads only one, that are
/// never reached.
#[test]
fn ended_jobs_among_many_others_are_answered_after_a_restart() {
    let mut fixture = Fixture::new();
    for number in 0..60_000 {
        fixture.store_end(&job_id(number), RecordedState::Done);
    }
    for number in (0..60_000).step_by(60) {
        fixture.add_user(&job_id(number), (200, Some(JobState::Done)));
    }
    fixture.assert_all_answered(MAX_UNANSWERED);
}

/// Guards against new users who take the budget from those who wait.
#[test]
fn jobs_are_answered_while_new_users_arrive() {
    let mut fixture = Fixture::with_open_jobs(600);
    for second in 0..40 {
        for number in 0..60 {
            fixture.add_open_job(10_000 + second * 60 + number);
        }
        fixture.longest_unanswered(SECOND);
    }
    fixture.assert_all_answered(MAX_UNANSWERED);
}

/// Guards against jobs that wait for the lookups of their ancestors for ever, since other polls
/// use up the budget.
#[test]
fn jobs_with_ancestors_are_answered_after_a_restart() {
    let mut fixture = Fixture::with_open_jobs(500);
    for number in 0..100 {
        let names = (0..20).map(|ancestor| job_id(20_000 + number * 20 + ancestor));
        let names: Vec<String> = names.collect();
        for name in &names {
            fixture.store_open_job(&job_spec(name));
        }
        let id = job_id(1000 + number);
        let spec = JobSpec {
            depends_on: names,
            ..job_spec(&id)
        };
        fixture.store_open_job(&spec);
        fixture.add_user(&id, (200, Some(JobState::Queued)));
    }
    fixture.assert_all_answered(MAX_UNANSWERED);
}

/// Guards against submissions that are refused for as long as their users repeat them, since
/// others always come when there is a write in the budget.
#[test]
fn submissions_are_accepted_while_the_write_budget_is_used_up() {
    let mut fixture = Fixture::new();
    for number in 0..100 {
        fixture.add_submission(job_spec(&job_id(number)));
    }
    fixture.submit_at_the_write_budget();
    fixture.assert_all_answered(SUBMISSION_RETRY_TIME);
}

/// Guards against cancellations of unknown jobs that wait for ever beside polls and submissions.
#[test]
fn cancellations_are_stored_while_the_budgets_are_used_up() {
    let mut fixture = Fixture::with_open_jobs(1000);
    for number in 2000..2100 {
        fixture.store_open_job(&job_spec(&job_id(number)));
        fixture.add_cancellation(&job_id(number));
    }
    fixture.submit_at_the_write_budget();
    // Cancellations write two keys, and they come before the submissions that follow them.
    fixture.assert_all_answered(SUBMISSION_RETRY_TIME);
}

/// Guards against a submission that is refused until the budget suffices for reading all of its
/// dependencies at once, which polls prevent.
#[test]
fn submissions_with_many_unknown_dependencies_are_accepted() {
    for dependencies in [40, 300] {
        let mut fixture = Fixture::with_open_jobs(1000);
        let names: Vec<String> = (5000..5000 + dependencies).map(job_id).collect();
        for name in &names {
            fixture.store_open_job(&job_spec(name));
        }
        fixture.longest_unanswered(POLL_INTERVAL);
        fixture.add_submission(JobSpec {
            depends_on: names,
            ..job_spec("req-9")
        });
        fixture.assert_all_answered(SUBMISSION_RETRY_TIME);
    }
}

/// Guards against repeated submissions that a node which doesn't know their jobs refuses.
#[test]
fn repeated_submissions_are_answered_after_a_restart() {
    let mut fixture = Fixture::new();
    for number in 0..400 {
        let spec = job_spec(&job_id(number));
        fixture.store_open_job(&spec);
        let mut unschedulable = spec.clone();
        unschedulable.cpus = 1000.0;
        // A job that exists is not rejected, whatever the repeated submission contains.
        fixture.add_submission(if number % 2 == 0 { spec } else { unschedulable });
        fixture.users[number].expected = (200, Some(JobState::Queued));
    }
    fixture.assert_all_answered(SUBMISSION_RETRY_TIME);
}
