//! Checks whether a job can ever run on this cluster.

use crate::config::Config;
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::{JobKind, JobSpec};

/// The tolerated rounding error when a demand is compared with a quota.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Why a job can never run on this cluster. The text is sent to the user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unschedulable {
    /// The settings do not contain the team.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type that the job allows can run one of its tasks.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
    /// A single task exceeds the team's quota.
    #[error("the job needs more than its team's limit")]
    OverTeamLimit,
    /// `single_zone` and `spread` are both set on a job of several tasks.
    #[error("one zone and a spread over zones exclude each other")]
    ZoneConflict,
}

/// Checks whether the job could run on this cluster if all machines were free.
pub fn check_schedulable(
    config: &Config,
    types: &[MachineType],
    spec: &JobSpec,
) -> Result<(), Unschedulable> {
    let team = config.team(&spec.team).ok_or(Unschedulable::UnknownTeam)?;
    if !types.iter().any(|machine_type| fits(machine_type, spec)) {
        return Err(Unschedulable::NoMachineType);
    }
    let team = &config.teams[team];
    // All replicas of a service must run at once. A batch job can run one task at a time.
    let tasks_at_once = match spec.kind {
        JobKind::Batch => 1.0,
        JobKind::Service => f64::from(spec.tasks),
    };
    // A quota of 0 means unlimited.
    let exceeds = |demand: f64, quota: f64| {
        quota > 0.0 && demand * tasks_at_once > quota + ROUNDING_TOLERANCE
    };
    if exceeds(spec.cpus, team.cpus_max) || exceeds(spec.gpus, team.gpus_max) {
        return Err(Unschedulable::OverTeamLimit);
    }
    if spec.single_zone && spec.spread && spec.tasks > 1 {
        return Err(Unschedulable::ZoneConflict);
    }
    Ok(())
}

/// Whether the job allows this machine type and one of its tasks fits on such a machine.
fn fits(machine_type: &MachineType, spec: &JobSpec) -> bool {
    let type_allowed = spec
        .types
        .as_ref()
        .is_none_or(|names| names.contains(&machine_type.name));
    let zone_allowed = spec
        .zone
        .as_ref()
        .is_none_or(|zone| machine_type.zones.contains(zone));
    type_allowed
        && zone_allowed
        && machine_type.cpus >= spec.cpus
        && machine_type.gpus >= spec.gpus
        && machine_type.memory_gb >= spec.memory_gb
}
