//! A fleet that a new leader takes up, at sizes that a test can play: what is
//! counted holds at any, what takes time is measured by the example `grown`.

use dillcleat_controller::SECOND;
use dillcleat_simulator::{Fleet, FleetMeasurements, FleetSettings};

fn play(setting: FleetSettings) -> FleetMeasurements {
    let mut fleet = Fleet::new(setting);
    fleet.run();
    let m = fleet.into_measured();
    assert_eq!(m.malformed, [""; 0]);
    m
}

fn setting(machines: u32, waiting: u32) -> FleetSettings {
    FleetSettings {
        waiting,
        warm_up: 3 * SECOND,
        measured: 10 * SECOND,
        ..FleetSettings::of(machines)
    }
}

/// Every pass once looked at every waiting job.
#[test]
fn a_pass_looks_at_what_it_can_place_however_much_waits() {
    let jobs_of_a_pass = |waiting| {
        let m = play(setting(100, waiting));
        assert!(m.starts > 50, "{} starts", m.starts);
        m.counts.cycle_jobs_examined as f64 / m.counts.cycles as f64
    };
    let (few, many) = (jobs_of_a_pass(1_000), jobs_of_a_pass(30_000));
    assert!(many < few * 2.0 + 5.0, "{few} jobs a pass, then {many}");
}

/// Orders to ten thousand machines once went out in one turn, and their answers
/// stood before the reports on which leases live.
#[test]
fn a_new_leader_reaches_every_machine_with_few_orders_at_a_time() {
    let m = play(setting(600, 2_000));
    assert!(m.most_orders <= Fleet::MAX_ORDERS, "{}", m.most_orders);
    // By orders, long before each would report by itself.
    let heard = m.all_heard.expect("every machine is answered in the term");
    assert!(heard <= 6 * SECOND, "{heard} us");
    assert!(m.first_launch.is_some_and(|at| at < SECOND));
    assert_eq!(m.leases_lost, 0);
}

/// Reports that nobody answered for two of their intervals come all at once.
#[test]
fn no_lease_ends_for_want_of_an_answer_when_a_whole_fleet_reports_at_once() {
    let silence = Some((4 * SECOND, 12 * SECOND));
    let m = play(FleetSettings {
        silence,
        measured: 30 * SECOND,
        ..setting(400, 1_000)
    });
    assert_eq!(m.leases_lost, 0);
    // All of the silence is lost of a lease, and a report's time at the most.
    assert!(m.least_left > 2 * SECOND, "{} us left", m.least_left);
    assert!(m.starts > 100, "{} starts", m.starts);
}

/// A leader that takes up its fleet at the state service's limits keeps to them.
#[test]
fn a_leader_keeps_to_the_limits_of_the_state_service() {
    let m = play(FleetSettings {
        state_rps: 60.0,
        state_write_rps: 25.0,
        measured: 20 * SECOND,
        ..setting(200, 2_000)
    });
    assert!(m.starts > 100, "{} starts", m.starts);
    assert_eq!(m.leases_lost, 0);
}
