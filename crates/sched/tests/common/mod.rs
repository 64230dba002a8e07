//! Builders of jobs, machines and teams for tests.

// Each test crate uses only some of these items.
#![allow(dead_code)]

use dillcleat_sched::{
    AgeingState, CapacityIndex, Images, JobIndex, JobQueue, JobView, MachineIndex, MachineView,
    OrderedFloat, PlacementRequirements, QueueEntry, QueueRank, Resources, TeamAllowance,
};
use dillcleat_wire::user::{JobKind, JobSpec};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A waiting job with all properties that determine its position in the queue.
#[derive(Debug, Clone)]
pub struct Job {
    pub spec: JobSpec,
    pub image: Rc<str>,
    pub team: usize,
    pub training: u32,
    pub tiny: bool,
    pub initial_size: f64,
    pub virtual_size: f64,
    pub remaining: f64,
    pub ready_at_us: u64,
    pub at_risk_tasks: u32,
    pub starving: bool,
}

impl Job {
    pub fn new(spec: JobSpec, size: f64, training: u32) -> Job {
        Job {
            image: Rc::from(spec.image.as_str()),
            spec,
            team: 0,
            training,
            tiny: false,
            initial_size: size,
            virtual_size: size,
            remaining: 0.0,
            ready_at_us: 0,
            at_risk_tasks: 0,
            starving: false,
        }
    }

    pub fn view(&self) -> JobView<'_> {
        JobView {
            index: 0,
            id: &self.spec.id,
            spec: &self.spec,
            image: &self.image,
            team: self.team,
            waiting_tasks: self.spec.tasks,
            tasks_by_zone: BTreeMap::new(),
            training_tasks: self.training,
            at_risk_tasks: self.at_risk_tasks,
            starving: self.starving,
        }
    }

    /// The job's queue entry at a virtual time. Its virtual size does not age if `fixed`.
    pub fn queue_entry(&self, virtual_time: f64, fixed: bool) -> QueueEntry {
        let rank = |include_urgency: bool, size: f64, remaining: f64| QueueRank {
            service: Reverse(include_urgency && self.spec.kind == JobKind::Service),
            priority: Reverse(self.spec.priority),
            tiny: Reverse(include_urgency && self.tiny),
            size_key: OrderedFloat(size),
            remaining: OrderedFloat(remaining),
            ready_at_us: self.ready_at_us,
            id: Rc::from(self.spec.id.as_str()),
        };
        let (ageing, size, remaining) = if fixed {
            (AgeingState::Fixed, self.virtual_size, 0.0)
        } else if self.virtual_size <= 0.0 {
            (AgeingState::Aged, 0.0, self.remaining)
        } else {
            (AgeingState::Ageing, self.virtual_size + virtual_time, 0.0)
        };
        QueueEntry {
            team: self.team,
            requirements: Rc::new(
                PlacementRequirements::of(&self.spec).with_starving(self.starving),
            ),
            ageing,
            rank: rank(true, size, remaining),
            training: (self.training > 0).then(|| rank(false, self.initial_size, 0.0)),
        }
    }
}

pub fn job_queue(jobs: &[Job]) -> JobQueue {
    let mut queue = JobQueue::default();
    for (index, job) in jobs.iter().enumerate() {
        let fixed = job.spec.kind == JobKind::Service;
        queue.set(index as JobIndex, Some(job.queue_entry(0.0, fixed)));
    }
    queue
}

pub fn capacity_index(machines: &[MachineView]) -> CapacityIndex {
    let mut capacity = CapacityIndex::new();
    for (index, machine) in machines.iter().enumerate() {
        capacity.set(index as MachineIndex, Some(machine.clone()));
    }
    capacity
}

pub fn machine(zone: &str, cpus: f64, spot: bool) -> MachineView {
    MachineView {
        machine_type: "m".into(),
        zone: zone.into(),
        spot,
        free: Resources {
            cpus,
            gpus: 0.0,
            memory_gb: 64.0,
        },
        images: Images::default(),
        service_images: 0,
        failed_jobs: Vec::new(),
        cordoned: false,
        outbound_unreachable: false,
    }
}

pub fn one_team(cpus: f64) -> Vec<TeamAllowance> {
    vec![TeamAllowance {
        cpus_left: cpus,
        gpus_left: f64::INFINITY,
    }]
}
