//! The configuration of the nodes, the store and the cloud in a scenario.

use super::ZONES;
use crate::scenario::Scenario;
use dillcleat_controller::config::{DeadlineObjective, StartObjective};
use dillcleat_controller::{Config, SECOND, Tuning};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::settings::Team;

/// The store's limits until a scenario lowers them to [`REDUCED_STORE_LIMITS`]. Both limits are
/// so small that a few dozen placed tasks do not fit in one value.
pub(super) const INITIAL_STORE_LIMITS: StoreLimits = StoreLimits {
    max_value_bytes: 2048,
    max_txn_ops: 48,
};
pub(super) const REDUCED_STORE_LIMITS: StoreLimits = StoreLimits {
    max_value_bytes: 700,
    max_txn_ops: 12,
};
/// Tasks per chunk of the version that an upgrade replaces.
pub(super) const PREVIOUS_TASKS_PER_CHUNK: u32 = 80;

/// Limits that the store announces.
pub(super) struct StoreLimits {
    pub max_value_bytes: usize,
    pub max_txn_ops: usize,
}

/// The machine types that the cloud offers.
pub(super) fn machine_types(with_accelerators: bool) -> Vec<MachineType> {
    let machine_type = |name: &str, cpus: f64, price: f64, boot_s: f64| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price: Some(price / 3.0),
        boot_s,
        zones: ZONES.iter().map(|z| z.to_string()).collect(),
    };
    let mut types = vec![
        machine_type("small", 4.0, 0.3, 5.0),
        machine_type("large", 16.0, 1.0, 12.0),
    ];
    if with_accelerators {
        types.push(MachineType {
            gpus: 2.0,
            ..machine_type("fast", 8.0, 2.0, 8.0)
        });
    }
    types
}

/// The configuration of a node in a scenario.
pub(super) fn scenario_config(scenario: &Scenario, node: usize) -> Config {
    let mut config = base_config(node, scenario.nodes, scenario.scale);
    if scenario.large_site {
        config = large_site_config(config, scenario.scale);
    }
    if let Some(rate) = scenario.lowered_write_rate {
        config.current_store_write_rps = rate.before_per_s;
        config.store_write_rps = rate.after_per_s;
        config.max_txn_ops = INITIAL_STORE_LIMITS.max_txn_ops;
        if scenario.limits_lowered_at.is_some() {
            config.max_value_bytes = REDUCED_STORE_LIMITS.max_value_bytes;
            config.max_txn_ops = REDUCED_STORE_LIMITS.max_txn_ops;
            // Chunks that exceed the lowered limit.
            config.tasks_per_chunk = PREVIOUS_TASKS_PER_CHUNK;
        }
    }
    if scenario.regular_polls.is_some() {
        config.max_txn_ops = INITIAL_STORE_LIMITS.max_txn_ops;
    }
    if scenario.tight_quotas {
        let scale = f64::from(scenario.scale);
        for team in &mut config.teams {
            team.cpus_max = if team.cpus_max > 0.0 { 12.0 } else { 24.0 } * scale;
            team.gpus_max = 3.0 * scale;
        }
    }
    config
}

/// Sets the limits of the store, the cloud and a controller to those of the largest
/// supported deployment. Each team with a limit may use a third of the fleet.
fn large_site_config(mut config: Config, scale: u32) -> Config {
    let max_value_bytes = 16 * 1024;
    for team in config.teams.iter_mut().filter(|t| t.cpus_max > 0.0) {
        team.cpus_max = 160.0 * f64::from(scale);
    }
    Config {
        store_rps: 500.0,
        store_write_rps: 200.0,
        current_store_write_rps: 200.0,
        max_value_bytes,
        current_max_value_bytes: max_value_bytes,
        tasks_per_chunk: dillcleat_controller::config::tasks_per_chunk(max_value_bytes),
        max_txn_ops: 48,
        cloud_rps: 4.0,
        memory_mb: 188.0,
        max_commands_in_flight: 686,
        ..config
    }
}

/// A node's configuration, similar to that of a deployment but with limits so low that
/// every run reaches them.
pub fn base_config(member: usize, nodes: usize, scale: u32) -> Config {
    let name = |i: usize| format!("node-{i}");
    let team = |name: &str, max: f64| Team {
        name: name.into(),
        cpus: 0.0,
        cpus_max: max,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    Config {
        member: name(member),
        zone: ZONES[member % 3].into(),
        peers: (0..nodes).filter(|i| *i != member).map(name).collect(),
        peers_in_other_zones: (0..nodes)
            .filter(|i| i % 3 != member % 3)
            .map(name)
            .collect(),
        teams: vec![team("bound", 12.0 * f64::from(scale)), team("free", 0.0)],
        heartbeat_interval: 2 * SECOND,
        worker_lease: 14 * SECOND,
        cancel_time_limit: 44 * SECOND,
        clock_error: SECOND / 4,
        store_rps: 200.0,
        store_write_rps: 80.0,
        max_value_bytes: 2048,
        current_max_value_bytes: 2048,
        current_store_write_rps: 80.0,
        // Low, so that most job arrays have several chunks.
        tasks_per_chunk: 25,
        max_txn_ops: 12,
        cloud_rps: 2.0,
        cloud_list_lag: 4 * SECOND,
        memory_mb: 72.0,
        // Low, so that every run reaches the limit.
        max_commands_in_flight: 4,
        start_objectives: vec![StartObjective {
            class: "web".into(),
            within: SECOND,
        }],
        deadline_objectives: vec![DeadlineObjective {
            class: "merge".into(),
            share: 0.98,
            max_multiple: 1.5,
        }],
        tuning: Tuning::default(),
    }
}
