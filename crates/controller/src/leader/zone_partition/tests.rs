//! Tests of the deletion of machines in partitioned zones.

use super::*;
use crate::machines::TaskSlot;
use dillcleat_wire::user::{JobKind, JobSpec};

fn machine(kind: JobKind, tasks: u32, cpus: f64) -> Machine {
    let mut machine = Machine::new("m", "t", "z", false, 1, 0);
    let spec = JobSpec::plain("req-1", kind, tasks, cpus);
    for i in 0..tasks {
        let slot = TaskSlot::new(1, 1, 0, &spec, true);
        let key = (Rc::from("req-1"), i);
        machine.add_task(key, slot, (&Rc::from("i"), 1.0), 50.0);
    }
    machine
}

/// Guards against the deletion of partitioned machines whose replicas could not run
/// elsewhere.
#[test]
fn spare_capacity_is_taken_only_for_tasks_that_fit() {
    let mut spare = SpareCapacity {
        replica_cpus: 5.0,
        array_cpus: 4.0,
    };
    let replicas = machine(JobKind::Service, 2, 2.0);
    let array = machine(JobKind::Batch, 1, 3.0);
    let empty = machine(JobKind::Batch, 0, 0.0);
    assert!(spare.take_for(&replicas));
    assert!(
        !spare.take_for(&replicas),
        "only one CPU is left for replicas"
    );
    assert!(spare.take_for(&array));
    assert!(!spare.take_for(&array));
    assert!(spare.take_for(&empty), "an empty machine needs no capacity");
    spare.reserve_for(&array);
    assert!(!spare.take_for(&machine(JobKind::Batch, 1, 0.5)));
    assert!(spare.take_for(&empty));
}
