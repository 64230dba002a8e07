//! Users of pipelines: jobs that wait for other jobs.

use super::*;

/// What a user of a pipeline goes by, beside what every user does.
#[derive(Debug, Clone, Default)]
pub(super) struct Stands {
    /// The users of the jobs that this one waits for.
    pub needs: Vec<usize>,
    /// It is submitted when those are over, instead of when they are accepted.
    pub late: bool,
}

impl World {
    /// Chains, forks and joins, some on jobs of other users; some stages are cancelled.
    pub(super) fn add_pipelines(&mut self) {
        let mut rng = Rng::with_seed(self.scenario.seed.rotate_left(17) ^ 0x91e5);
        let others = self.users.len();
        for _ in 0..self.scenario.pipelines {
            let start = rng.u64(self.scenario.pipelines_from..self.scenario.busy * 3 / 5);
            let first = self.users.len();
            let stages = rng.usize(2..6);
            for stage in 0..stages {
                let mut needs: Vec<usize> = match stage {
                    0 => Vec::new(),
                    // The one before, or any: a chain, a fork or a join.
                    _ if rng.bool() => vec![first + stage - 1],
                    _ => (first..first + stage).filter(|_| rng.bool()).collect(),
                };
                if others > 0 && rng.u8(..6) == 0 {
                    let other = rng.usize(..others);
                    if self.users[other].spec.kind == JobKind::Batch {
                        needs.push(other);
                    }
                }
                let stands = Stands {
                    needs,
                    late: stage + 1 == stages && rng.u8(..4) == 0,
                };
                let cancel = rng.u8(..7) == 0;
                let cancel = cancel.then(|| rng.u64(start..self.scenario.busy));
                let tasks = rng.u32(1..12);
                self.add_stage(&mut rng, start, tasks, stands, cancel);
            }
        }
        if let Some(herd) = self.scenario.herd {
            // Many wait for one, which is cancelled while they do.
            let from = self.scenario.pipelines_from;
            let root = self.users.len();
            let cancel = Some(self.scenario.busy * 3 / 4);
            let stands = Stands::default();
            self.add_stage(&mut rng, from, 400, stands, cancel);
            for _ in 0..herd {
                let stands = Stands {
                    needs: vec![root],
                    late: false,
                };
                let at = rng.u64(from..self.scenario.busy * 2 / 3);
                self.add_stage(&mut rng, at, 1, stands, None);
            }
        }
    }

    fn add_stage(
        &mut self,
        rng: &mut Rng,
        at: Micros,
        tasks: u32,
        stands: Stands,
        cancel_at: Option<Micros>,
    ) {
        let job = self.users.len();
        let spec = JobSpec {
            class: "stage".into(),
            team: if rng.bool() { "bound" } else { "free" }.into(),
            priority: [Priority::BestEffort, Priority::Normal, Priority::High][rng.usize(..3)],
            spot: rng.bool(),
            depends_on: stands
                .needs
                .iter()
                .map(|n| self.users[*n].spec.id.clone())
                .collect(),
            image: format!("img-{}", rng.u8(..4)),
            ..JobSpec::plain(
                &format!("req-{:06}", 1000 + job * 7),
                JobKind::Batch,
                tasks,
                1.0,
            )
        };
        let play = Play {
            run: rng.u64(2 * SECOND..15 * SECOND),
            fails: false,
            spec: spec.clone(),
        };
        self.plays.insert(spec.id.clone(), play);
        self.users.push(User {
            stands,
            ..User::new(spec, cancel_at)
        });
        self.at(at, Ev::User { job });
    }

    /// Whether the user's job may be handed in: those that it waits for are accepted,
    /// or over.
    pub(super) fn may_hand_in(&self, job: usize) -> bool {
        let stands = &self.users[job].stands;
        stands.needs.iter().all(|need| {
            let u = &self.users[*need];
            u.accepted && (!stands.late || u.ended.is_some())
        })
    }
}
