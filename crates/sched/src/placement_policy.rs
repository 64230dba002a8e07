//! Which capacity a job may use.

use crate::views::{JobView, MachineView, ResourceRequest};

/// What a job's tasks may use beside what its own rules allow.
#[derive(Debug, Clone, Copy)]
pub enum PlacementPolicy {
    /// Neither the service headroom nor machines on which it or others failed.
    Standard {
        /// On-demand CPUs per zone that are left to services.
        service_headroom_cpus: f64,
    },
    /// The service headroom as well.
    IgnoreHeadroom,
    /// Every machine, also where it or others failed.
    LastResort,
}

impl PlacementPolicy {
    /// The most that jobs with this request may use: starving ones go anywhere.
    pub fn for_request(request: &ResourceRequest, service_headroom_cpus: f64) -> PlacementPolicy {
        if request.starving() {
            PlacementPolicy::LastResort
        } else {
            PlacementPolicy::Standard {
                service_headroom_cpus,
            }
        }
    }
}

/// Whether the service headroom is withheld from the job: from work that may run on spot
/// machines, but never from services.
pub(crate) fn is_bound_by_headroom(job: &JobView, machine: &MachineView) -> bool {
    !machine.spot && job.spec.spot && !job.is_service()
}
