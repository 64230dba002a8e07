//! Whether a job could ever run on this deployment.

use crate::config::Config;
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::user::{JobKind, JobSpec};

/// Rounding error that is tolerated when a demand is compared with a limit.
const TOLERANCE: f64 = 1e-9;

/// Why a job can never run here. The text is sent to the user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unschedulable {
    /// The team is not in the settings.
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

/// Whether the job could run here if it had all machines for itself.
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
    // All replicas of a service run at once; a batch job can run a task at a time.
    let tasks_at_once = match spec.kind {
        JobKind::Batch => 1.0,
        JobKind::Service => f64::from(spec.tasks),
    };
    // A limit of 0 means that there is none.
    let exceeds =
        |demand: f64, limit: f64| limit > 0.0 && demand * tasks_at_once > limit + TOLERANCE;
    if exceeds(spec.cpus, team.cpus_max) || exceeds(spec.gpus, team.gpus_max) {
        return Err(Unschedulable::OverTeamLimit);
    }
    if spec.single_zone && spec.spread && spec.tasks > 1 {
        return Err(Unschedulable::ZoneConflict);
    }
    Ok(())
}

/// Whether one task of the job fits a machine of this type that the job allows.
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
