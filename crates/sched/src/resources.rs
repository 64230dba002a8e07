//! Amounts of machines.

use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::JobSpec;
use std::cmp::Ordering;

/// Differences below it are rounding.
pub const ROUNDING_TOLERANCE: f64 = 1e-6;

/// An amount in whole millionths, for sums that are kept up to date by adding
/// and taking away for weeks: those of floats would drift.
pub fn to_millionths(amount: f64) -> i64 {
    // A cast from a float saturates, and NaN becomes 0.
    (amount * 1e6).round() as i64
}

/// The amount of so many millionths.
pub fn from_millionths(units: i64) -> f64 {
    units as f64 / 1e6
}

/// A float with a total order, for keys.
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

/// An amount of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl Resources {
    pub fn of_type(t: &MachineType) -> Resources {
        Resources {
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.memory_gb,
        }
    }

    pub fn of_task(s: &JobSpec) -> Resources {
        Resources {
            cpus: s.cpus,
            gpus: s.gpus,
            memory_gb: s.memory_gb,
        }
    }

    pub fn fits(&self, need: &Resources) -> bool {
        self.cpus + ROUNDING_TOLERANCE >= need.cpus
            && self.gpus + ROUNDING_TOLERANCE >= need.gpus
            && self.memory_gb + ROUNDING_TOLERANCE >= need.memory_gb
    }

    pub fn subtract(&mut self, need: &Resources) {
        self.cpus -= need.cpus;
        self.gpus -= need.gpus;
        self.memory_gb -= need.memory_gb;
    }

    pub fn add(&mut self, room: &Resources) {
        self.cpus += room.cpus;
        self.gpus += room.gpus;
        self.memory_gb += room.memory_gb;
    }

    /// How many times `need` fits.
    pub fn count_fitting(&self, need: &Resources) -> u32 {
        let of = |have: f64, need: f64| {
            if need > ROUNDING_TOLERANCE {
                ((have + ROUNDING_TOLERANCE) / need) as u32
            } else {
                u32::MAX
            }
        };
        of(self.cpus, need.cpus)
            .min(of(self.gpus, need.gpus))
            .min(of(self.memory_gb, need.memory_gb))
    }
}
