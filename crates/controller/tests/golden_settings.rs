//! The operators' settings file with every key, and the defaults. Deployed files depend on
//! them, so they must not change.

use dillcleat_controller::Tuning;

/// All values differ from their defaults and from each other.
const ALL_KEYS_TOML: &str = "
training_tasks = 11
training_share = 0.12
pass_s = 1.3
pass_gap_s = 0.14
first_guess_s = 15.5
lead_ttl_s = 1.6
idle_s = 17.5
fetch_s = 18.5
patience = 19.5
reserve_replicas = 20
spare_share = 0.21
late_share = 0.22
late_factor = 2.3
refused_pause_s = 24.5
starve_s = 25.5
delete_share = 0.26
again_s = 0.27
";

/// The settings in `ALL_KEYS_TOML`.
fn all_keys() -> Tuning {
    Tuning {
        training_tasks: 11,
        training_share: 0.12,
        pass_s: 1.3,
        pass_gap_s: 0.14,
        first_guess_s: 15.5,
        lead_ttl_s: 1.6,
        idle_s: 17.5,
        fetch_s: 18.5,
        patience: 19.5,
        reserve_replicas: 20,
        spare_share: 0.21,
        late_share: 0.22,
        late_factor: 2.3,
        refused_pause_s: 24.5,
        starve_s: 25.5,
        delete_share: 0.26,
        again_s: 0.27,
    }
}

fn defaults() -> Tuning {
    Tuning {
        training_tasks: 2,
        training_share: 0.3,
        pass_s: 1.0,
        pass_gap_s: 0.05,
        first_guess_s: 60.0,
        lead_ttl_s: 1.25,
        idle_s: 20.0,
        fetch_s: 4.0,
        patience: 1.0,
        reserve_replicas: 3,
        spare_share: 0.02,
        late_share: 0.95,
        late_factor: 1.5,
        refused_pause_s: 15.0,
        starve_s: 45.0,
        delete_share: 0.02,
        again_s: 0.06,
    }
}

#[test]
fn every_key_is_read() {
    assert_eq!(Tuning::parse(ALL_KEYS_TOML), Ok(all_keys()));
    let table: toml::Table = toml::from_str(ALL_KEYS_TOML).expect("a table");
    assert_eq!(Tuning::read(table), Ok(all_keys()));
}

#[test]
fn missing_key_has_its_default() {
    assert_eq!(Tuning::parse(""), Ok(defaults()));
    let one_key = Tuning {
        idle_s: 17.5,
        ..defaults()
    };
    assert_eq!(Tuning::parse("idle_s = 17.5"), Ok(one_key));
}

#[test]
fn unknown_key_is_rejected_with_a_list_of_all_keys() {
    let error = Tuning::parse("colour = 1")
        .expect_err("unknown")
        .to_string();
    assert!(error.contains("unknown field `colour`"), "{error}");
    let keys = ALL_KEYS_TOML
        .lines()
        .filter_map(|line| line.split_once(" = "));
    for (key, _) in keys {
        assert!(error.contains(&format!("`{key}`")), "{key}: {error}");
    }
}
