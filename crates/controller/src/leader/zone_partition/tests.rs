//! Which machines of a partitioned zone may be deleted.

use super::*;
use crate::machines::TaskSlot;
use dillcleat_wire::user::{JobKind, JobSpec};

fn machine(kind: JobKind, tasks: u32, cpus: f64) -> Machine {
    let mut machine = Machine::new("m", "t", "z", false, 0);
    let spec = JobSpec::plain("req-1", kind, tasks, cpus);
    for i in 0..tasks {
        let slot = TaskSlot::new(1, 1, 0, &spec, true);
        let key = (Rc::from("req-1"), i);
        machine.add_task(key, slot, (&Rc::from("i"), 1.0), 50.0);
    }
    machine
}

/// Machines behind a partition were once deleted with nowhere for their replicas to go,
/// and came back as none (zone, rosterwise-nz-fleet).
#[test]
fn machines_are_given_up_only_as_far_as_their_work_can_run_elsewhere() {
    let mut spare = SpareCapacity {
        replica_cpus: 5.0,
        array_cpus: 4.0,
    };
    let replicas = machine(JobKind::Service, 2, 2.0);
    let array = machine(JobKind::Batch, 1, 3.0);
    let empty = machine(JobKind::Batch, 0, 0.0);
    assert!(spare.take_for(&replicas));
    assert!(!spare.take_for(&replicas), "one CPU is left for replicas");
    assert!(spare.take_for(&array));
    assert!(!spare.take_for(&array));
    assert!(spare.take_for(&empty), "nothing on it needs capacity");
    spare.reserve_for(&array);
    assert!(!spare.take_for(&machine(JobKind::Batch, 1, 0.5)));
    assert!(spare.take_for(&empty));
}
