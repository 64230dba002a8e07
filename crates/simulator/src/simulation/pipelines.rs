//! Users who submit pipelines of jobs that depend on each other.

use super::*;

/// Separates the seed of the pipelines from those of other generators.
const PIPELINE_SEED_SALT: u64 = 0x91e5;

/// How a user's job depends on other jobs of a pipeline.
#[derive(Debug, Clone, Default)]
pub(super) struct PipelineStage {
    /// Users (by index) of the jobs on which this job depends.
    pub dependencies: Vec<usize>,
    /// The job is submitted when its dependencies have ended, instead of when they have
    /// been accepted.
    pub submit_after_end: bool,
}

impl Simulation {
    /// Adds chains, forks and joins. Some depend on jobs of other users, and some stages
    /// are cancelled.
    pub(super) fn add_pipelines(&mut self) {
        let mut rng = Rng::with_seed(self.scenario.seed.rotate_left(17) ^ PIPELINE_SEED_SALT);
        let others = self.users.len();
        for _ in 0..self.scenario.pipelines {
            let start = rng.u64(self.scenario.pipelines_from..self.scenario.activity_end * 3 / 5);
            let first = self.users.len();
            let stages = rng.usize(2..6);
            for stage in 0..stages {
                let mut dependencies: Vec<usize> = match stage {
                    0 => Vec::new(),
                    // A dependency on the preceding stage alone extends a chain.
                    // Dependencies on random earlier stages make forks and joins.
                    _ if rng.bool() => vec![first + stage - 1],
                    _ => (first..first + stage).filter(|_| rng.bool()).collect(),
                };
                if others > 0 && rng.u8(..6) == 0 {
                    let other = rng.usize(..others);
                    if self.users[other].spec.kind == JobKind::Batch {
                        dependencies.push(other);
                    }
                }
                let pipeline_stage = PipelineStage {
                    dependencies,
                    submit_after_end: stage + 1 == stages && rng.u8(..4) == 0,
                };
                let cancel = rng.u8(..7) == 0;
                let cancel = cancel.then(|| rng.u64(start..self.scenario.activity_end));
                let tasks = rng.u32(1..12);
                self.add_stage(&mut rng, start, tasks, pipeline_stage, cancel);
            }
        }
        if let Some(dependents) = self.scenario.cancelled_dependents {
            // Many jobs depend on one job, which is cancelled while they wait.
            let from = self.scenario.pipelines_from;
            let root = self.users.len();
            let cancel = Some(self.scenario.activity_end * 3 / 4);
            let pipeline_stage = PipelineStage::default();
            self.add_stage(&mut rng, from, 400, pipeline_stage, cancel);
            for _ in 0..dependents {
                let pipeline_stage = PipelineStage {
                    dependencies: vec![root],
                    submit_after_end: false,
                };
                let at = rng.u64(from..self.scenario.activity_end * 2 / 3);
                self.add_stage(&mut rng, at, 1, pipeline_stage, None);
            }
        }
    }

    fn add_stage(
        &mut self,
        rng: &mut Rng,
        at: Micros,
        tasks: u32,
        pipeline_stage: PipelineStage,
        cancel_at: Option<Micros>,
    ) {
        let spec = JobSpec {
            class: "stage".into(),
            team: if rng.bool() { "bound" } else { "free" }.into(),
            priority: [Priority::BestEffort, Priority::Normal, Priority::High][rng.usize(..3)],
            spot: rng.bool(),
            depends_on: pipeline_stage
                .dependencies
                .iter()
                .map(|n| self.users[*n].spec.id.clone())
                .collect(),
            image: format!("img-{}", rng.u8(..4)),
            ..JobSpec::plain(&self.next_job_id(), JobKind::Batch, tasks, 1.0)
        };
        let user = User {
            pipeline_stage,
            ..User::new(spec, cancel_at)
        };
        self.schedule_user(at, user, rng.u64(2 * SECOND..15 * SECOND));
    }

    /// Whether a job may be submitted: its dependencies have been accepted or have ended.
    pub(super) fn dependencies_ready(&self, job: usize) -> bool {
        let pipeline_stage = &self.users[job].pipeline_stage;
        pipeline_stage.dependencies.iter().all(|dependency| {
            let u = &self.users[*dependency];
            u.accepted && (!pipeline_stage.submit_after_end || u.final_state.is_some())
        })
    }
}
