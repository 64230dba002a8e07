//! Policies for the use of reserved capacity and of machines on which jobs failed.

use crate::views::{JobView, MachineView, PlacementRequirements};

/// The restrictions that apply to a job's tasks in addition to the job's own constraints.
#[derive(Debug, Clone, Copy)]
pub enum PlacementPolicy {
    /// Tasks may use neither the service headroom nor machines on which the job failed or that
    /// are cordoned.
    Standard {
        /// On-demand CPUs per zone that are reserved for services.
        service_headroom_cpus: f64,
    },
    /// Tasks may use the service headroom as well.
    IgnoreHeadroom,
    /// Tasks may use every machine.
    LastResort,
}

impl PlacementPolicy {
    /// The least restrictive policy that applies to jobs with these requirements.
    pub fn for_requirements(
        requirements: &PlacementRequirements,
        service_headroom_cpus: f64,
    ) -> PlacementPolicy {
        if requirements.starving() {
            PlacementPolicy::LastResort
        } else {
            PlacementPolicy::Standard {
                service_headroom_cpus,
            }
        }
    }
}

/// Whether the job must leave the service headroom free when it uses this machine: the machine is
/// an on-demand machine, and the job may run on spot machines and is not a service.
pub(crate) fn is_bound_by_headroom(job: &JobView, machine: &MachineView) -> bool {
    !machine.spot && job.spec.spot && !job.is_service()
}
