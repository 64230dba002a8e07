//! A new leader takes over a running fleet of a size that a test can simulate. The example
//! `scaling` measures larger fleets.

use dillcleat_controller::SECOND;
use dillcleat_simulator::{Fleet, FleetMeasurements, FleetSettings};

fn run(settings: FleetSettings) -> FleetMeasurements {
    let mut fleet = Fleet::new(settings);
    fleet.run();
    let m = fleet.into_measurements();
    assert_eq!(m.protocol_errors, [""; 0], "requests over a limit");
    m
}

fn settings(machines: u32, waiting: u32) -> FleetSettings {
    FleetSettings {
        waiting_tasks: waiting,
        warm_up: 3 * SECOND,
        measurement: 10 * SECOND,
        ..FleetSettings::for_machines(machines)
    }
}

/// Guards against scheduling passes that visit every waiting job.
#[test]
fn scheduling_pass_cost_is_independent_of_waiting_jobs() {
    let jobs_per_pass = |waiting| {
        let m = run(settings(100, waiting));
        assert!(m.launches > 50, "{} launches", m.launches);
        m.scheduler_counters.cycle_jobs_examined as f64 / m.scheduler_counters.cycles as f64
    };
    let (few, many) = (jobs_per_pass(1_000), jobs_per_pass(30_000));
    assert!(many < few * 2.0 + 5.0, "{few} jobs per pass, then {many}");
}

/// Guards against commands to all machines at once, whose answers would delay the
/// heartbeats that renew leases.
#[test]
fn new_leader_answers_all_machines_with_bounded_commands_in_flight() {
    let m = run(settings(600, 2_000));
    assert!(
        m.peak_commands_in_flight <= Fleet::MAX_COMMANDS_IN_FLIGHT,
        "{} commands in flight",
        m.peak_commands_in_flight
    );
    // Within about one heartbeat interval of the election.
    let all_answered = m
        .all_machines_answered
        .expect("a heartbeat of every machine is answered in the term");
    assert!(
        all_answered <= 6 * SECOND,
        "heartbeats of all machines answered after {all_answered} us"
    );
    assert!(m.first_launch.is_some_and(|at| at < SECOND));
    assert_eq!(m.expired_leases, 0);
}

/// Guards against leases that expire because the whole fleet sends heartbeats at once after
/// two intervals without replies.
#[test]
fn heartbeat_burst_after_an_outage_expires_no_lease() {
    let network_outage = Some((4 * SECOND, 12 * SECOND));
    let m = run(FleetSettings {
        network_outage,
        measurement: 30 * SECOND,
        ..settings(400, 1_000)
    });
    assert_eq!(m.expired_leases, 0);
    // A lease loses at most the outage and one heartbeat interval.
    assert!(
        m.min_lease_remaining > 2 * SECOND,
        "{} us left of a lease",
        m.min_lease_remaining
    );
    assert!(m.launches > 100, "{} launches", m.launches);
}

/// Guards against lost leases while a new leader takes over a fleet at the store's limits.
#[test]
fn new_leader_loses_no_lease_at_low_store_limits() {
    let m = run(FleetSettings {
        store_rps: 60.0,
        store_write_rps: 25.0,
        measurement: 20 * SECOND,
        ..settings(200, 2_000)
    });
    assert!(m.launches > 100, "{} launches", m.launches);
    assert_eq!(m.expired_leases, 0);
}
