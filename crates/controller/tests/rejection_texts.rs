//! Error texts of rejected jobs and settings, which are shown to users and operators.

mod common;

use common::stepped_node::job_spec;
use common::{config_with_team, machine_type};
use dillcleat_controller::admission::check_schedulable;
use dillcleat_controller::{Tuning, TuningError};
use dillcleat_wire::user::JobSpec;

/// The error text for a job of a team with a quota of 4 CPUs, on machines of 8 CPUs; None if
/// the job is accepted.
fn rejection_text(change: fn(&mut JobSpec)) -> Option<String> {
    let mut config = config_with_team();
    for team in &mut config.teams {
        team.cpus_max = 4.0;
    }
    let mut spec = job_spec("req-1");
    change(&mut spec);
    let checked = check_schedulable(&config, &[machine_type(8.0)], &spec);
    checked.err().map(|error| error.to_string())
}

#[test]
fn job_that_can_never_run_is_rejected_with_the_reason() {
    assert_eq!(rejection_text(|_| {}), None);
    let unknown_team = rejection_text(|spec| spec.team = "nobody".into());
    assert_eq!(unknown_team.as_deref(), Some("unknown team"));
    let no_machine = rejection_text(|spec| spec.gpus = 1.0);
    assert_eq!(
        no_machine.as_deref(),
        Some("a task fits no allowed machine type")
    );
    let over_limit = rejection_text(|spec| spec.cpus = 4.5);
    assert_eq!(
        over_limit.as_deref(),
        Some("the job needs more than its team's limit")
    );
    let conflicting_zones = rejection_text(|spec| (spec.single_zone, spec.spread) = (true, true));
    assert_eq!(
        conflicting_zones.as_deref(),
        Some("one zone and a spread over zones exclude each other")
    );
}

#[test]
fn setting_out_of_range_is_rejected_with_the_range() {
    let error = Tuning::parse("training_share = 1.5").expect_err("greater than 1");
    assert!(matches!(error, TuningError::OutOfRange { .. }));
    assert_eq!(
        error.to_string(),
        "training_share: must be from 0 to 1, is 1.5"
    );
    for value in ["nan", "inf", "-1.0"] {
        let text = format!("lead_ttl_s = {value}");
        assert!(Tuning::parse(&text).is_err(), "{text}");
    }
}

#[test]
fn error_for_malformed_settings_is_one_line() {
    let error = Tuning::parse("idle_s = 'long'\n").expect_err("not a number");
    assert!(matches!(error, TuningError::Malformed(_)));
    assert!(!error.to_string().contains('\n'), "{error}");
}
