//! Users who keep their connections to a node and poll at a fixed interval.

use super::*;

/// Time between two polls of a user.
const POLL_INTERVAL: Micros = 5 * SECOND;
/// How long a user waits for the answer to a poll.
const POLL_TIMEOUT: Micros = 2 * SECOND;
/// When the first of the jobs are submitted.
const SUBMITTED_FROM: Micros = 5 * SECOND;

impl Simulation {
    /// Adds the users of the scenario's regular polls, each with a job of one task.
    pub(super) fn add_regular_users(&mut self) {
        let Some(polls) = self.scenario.regular_polls else {
            return;
        };
        for _ in 0..polls.jobs {
            let rng = &mut self.auxiliary_rng;
            let at = rng.u64(SUBMITTED_FROM..polls.submitted_until);
            let cancels = rng.u8(..10) == 0;
            let cancel_at = cancels.then(|| at + rng.u64(..self.scenario.activity_end));
            let run_time = rng.u64(SECOND..4 * SECOND);
            let spec = JobSpec {
                class: "regular".into(),
                // At the team's limit most of the jobs wait.
                team: "bound".into(),
                ..JobSpec::plain(&self.next_job_id(), JobKind::Batch, 1, 1.0)
            };
            let user = User {
                is_regular: true,
                ..User::new(spec, cancel_at)
            };
            self.schedule_user(at, user, run_time);
        }
    }

    /// The node to which a user's next request is sent, unless that node is unreachable.
    pub(super) fn preferred_node(&mut self, job: usize) -> usize {
        match self.users[job].is_regular {
            true => job % self.nodes.len(),
            false => self.rng.usize(..self.nodes.len()),
        }
    }

    /// Whether the user no longer waits for the answer to a poll that was sent at `sent_at`.
    pub(super) fn is_poll_abandoned(&self, requester: &Requester, sent_at: Micros) -> bool {
        match requester {
            Requester::Poll { job } => {
                self.users[*job].is_regular && self.now > sent_at + POLL_TIMEOUT
            }
            _ => false,
        }
    }

    /// When a regular user polls again after a poll that was sent at `sent_at`.
    pub(super) fn next_regular_poll(&mut self, sent_at: Micros) -> Micros {
        let polls = self.scenario.regular_polls;
        let variation = polls.map_or(0, |polls| polls.variation);
        sent_at + POLL_INTERVAL - variation + self.auxiliary_rng.u64(..=2 * variation)
    }
}
