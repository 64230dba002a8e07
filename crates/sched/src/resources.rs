//! Amounts of CPUs, GPUs and memory, and exact sums of them.

use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::JobSpec;
use std::cmp::Ordering;

/// Amounts that differ by less than this are equal: the difference is a rounding error.
pub const ROUNDING_TOLERANCE: f64 = 1e-6;

const MILLIONTHS_PER_UNIT: f64 = 1e6;

/// Converts an amount to whole millionths (of a CPU, a GPU or a GB).
///
/// Long-lived running sums are kept in this unit, because rounding errors of floats would
/// accumulate. Amounts out of range saturate, and NaN becomes 0.
pub fn to_millionths(amount: f64) -> i64 {
    (amount * MILLIONTHS_PER_UNIT).round() as i64
}

/// Converts whole millionths back to an amount.
pub fn from_millionths(millionths: i64) -> f64 {
    millionths as f64 / MILLIONTHS_PER_UNIT
}

/// A float with a total order ([`f64::total_cmp`]), for use in ordered keys.
///
/// The `ordered-float` crate is not used because it treats -0.0 and 0.0 as equal, which would
/// change the order of jobs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderedFloat(pub f64);

impl Eq for OrderedFloat {}

impl PartialOrd for OrderedFloat {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for OrderedFloat {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The resources that a task requires, or the total or free resources of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// Number of CPUs, which may be fractional.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// All resources of a machine of the type.
    pub fn of_type(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// The resources that one task of the job requires.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// Whether these resources suffice for `need`.
    pub fn covers(&self, need: &Resources) -> bool {
        self.cpus + ROUNDING_TOLERANCE >= need.cpus
            && self.gpus + ROUNDING_TOLERANCE >= need.gpus
            && self.memory_gb + ROUNDING_TOLERANCE >= need.memory_gb
    }

    /// Subtracts `need`; the result may be negative.
    pub fn subtract(&mut self, need: &Resources) {
        self.cpus -= need.cpus;
        self.gpus -= need.gpus;
        self.memory_gb -= need.memory_gb;
    }

    /// Adds released resources.
    pub fn add(&mut self, released: &Resources) {
        self.cpus += released.cpus;
        self.gpus += released.gpus;
        self.memory_gb += released.memory_gb;
    }

    /// How many times `need` fits; [`u32::MAX`] if `need` is zero.
    pub fn max_tasks(&self, need: &Resources) -> u32 {
        let count = |available: f64, needed: f64| {
            if needed > ROUNDING_TOLERANCE {
                // A cast from a float saturates.
                ((available + ROUNDING_TOLERANCE) / needed) as u32
            } else {
                u32::MAX
            }
        };
        count(self.cpus, need.cpus)
            .min(count(self.gpus, need.gpus))
            .min(count(self.memory_gb, need.memory_gb))
    }
}
