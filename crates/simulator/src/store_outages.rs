//! Scenarios in which the leader alone loses the store before an outage.

use crate::scenario::{Fault, LEADER, Scenario};
use dillcleat_controller::{Micros, SECOND};
use fastrand::Rng;

/// Salt of the seed of [`Scenario::store_outages`].
const STORE_OUTAGES_SEED_SALT: u64 = 0x6a9;
/// Salt of the seed of [`Scenario::cancelled_pipelines`].
const CANCELLED_PIPELINES_SEED_SALT: u64 = 0x0e9a;

/// An outage of the store that begins while the leader alone is without it.
#[derive(Debug, Clone, Copy)]
struct IsolatedLeaderOutage {
    /// When the leader loses the store.
    isolated_at: Micros,
    /// When the store becomes unavailable to all nodes.
    start: Micros,
    /// When the store is available again.
    end: Micros,
}

impl IsolatedLeaderOutage {
    /// Draws an outage after an isolation at `isolated_at`, and adds both to the scenario.
    fn add(scenario: &mut Scenario, rng: &mut Rng, isolated_at: Micros) -> IsolatedLeaderOutage {
        // The isolation of the leader ends before or after the beginning of the outage.
        let time = rng.u64(SECOND..20 * SECOND);
        let leader_isolation = match rng.bool() {
            true => Fault::StoreRefusal { node: LEADER, time },
            false => Fault::StorePartition { node: LEADER, time },
        };
        let start = isolated_at + rng.u64(SECOND / 2..8 * SECOND);
        let outage = rng.u64(20 * SECOND..70 * SECOND);
        scenario.faults.push((isolated_at, leader_isolation));
        // This partition keeps the leader from learning from its peers that another node
        // was elected.
        if rng.bool() {
            let partition = Fault::PeerPartition {
                node: LEADER,
                time: time + outage,
            };
            scenario.faults.push((isolated_at, partition));
        }
        let store_outage = Fault::StoreOutage { time: outage };
        scenario.faults.push((start, store_outage));
        IsolatedLeaderOutage {
            isolated_at,
            start,
            end: start + outage,
        }
    }

    /// Draws the faults that overlap the outage.
    fn overlapping_faults(&self, rng: &mut Rng) -> Vec<(Micros, Fault)> {
        let mut faults = Vec::new();
        if rng.u8(..3) == 0 {
            let time = rng.u64(5 * SECOND..30 * SECOND);
            let machines = rng.usize(1..6);
            let fault = match rng.bool() {
                true => Fault::Hang { machines, time },
                false => Fault::InboundLoss { machines, time },
            };
            let earliest = self.isolated_at.saturating_sub(10 * SECOND);
            faults.push((rng.u64(earliest..self.start + 10 * SECOND), fault));
        }
        if rng.u8(..3) == 0 {
            let time = rng.u64(10 * SECOND..60 * SECOND);
            faults.push((self.start, Fault::CloudOutage { time }));
        }
        // One node may reach the store again later than the others.
        if rng.u8(..3) == 0 {
            let time = rng.u64(..10 * SECOND);
            let node = rng.usize(..3);
            faults.push((self.end - SECOND, Fault::StoreRefusal { node, time }));
        }
        if rng.u8(..4) == 0 {
            let nodes = vec![[LEADER, 0, 1, 2][rng.usize(..4)]];
            let down = SECOND / 5;
            let at = rng.u64(self.isolated_at..self.end);
            faults.push((at, Fault::Crash { nodes, down }));
        }
        faults
    }

    /// Draws cancellations of jobs that others need, in the last half second before the outage,
    /// when the leader is always isolated, and faults that overlap the outage.
    fn pipeline_faults(&self, rng: &mut Rng) -> Vec<(Micros, Fault)> {
        let jobs = rng.usize(2..12);
        let cancelled_at = self.start - rng.u64(SECOND / 4..SECOND / 2);
        let mut faults = vec![(cancelled_at, Fault::CancelNeededJobs { jobs })];
        if rng.bool() {
            let before = rng.u64(5 * SECOND..15 * SECOND);
            let time = before + 5 * SECOND;
            faults.push((self.start - before, Fault::CloudOutage { time }));
        }
        if rng.bool() {
            let time = rng.u64(10 * SECOND..60 * SECOND);
            faults.push((self.start, Fault::IrregularRequests { time }));
        }
        if rng.u8(..4) == 0 {
            let crash = Fault::AllNodesCrash {
                first_node: rng.usize(..3),
                first_down: rng.u64(SECOND / 10..SECOND),
                others_down: rng.u64(SECOND..10 * SECOND),
            };
            faults.push((self.end - rng.u64(..3 * SECOND), crash));
        }
        faults
    }
}

/// The scenario with its outages.
fn scenario_with_outages(seed: u64) -> (Scenario, Vec<IsolatedLeaderOutage>) {
    let mut rng = Rng::with_seed(seed.rotate_left(7) ^ STORE_OUTAGES_SEED_SALT);
    let mut scenario = Scenario::quiet(seed);
    let mut outages = Vec::new();
    let mut at = rng.u64(25 * SECOND..60 * SECOND);
    for _ in 0..2 {
        let outage = IsolatedLeaderOutage::add(&mut scenario, &mut rng, at);
        scenario.faults.extend(outage.overlapping_faults(&mut rng));
        at = outage.end + rng.u64(SECOND..15 * SECOND);
        outages.push(outage);
    }
    scenario.small_jobs = true;
    scenario.jobs = rng.usize(16..28);
    scenario.activity_end = at.max(scenario.activity_end);
    scenario.end = scenario.activity_end + 600 * SECOND;
    (scenario, outages)
}

impl Scenario {
    /// The store first refuses, or is partitioned from, the leader only, while other nodes
    /// confirm cancellations. Then it is unavailable to all nodes for 20 to 70 s, which may
    /// exceed the cancellation deadline. This happens twice.
    pub fn store_outages(seed: u64) -> Scenario {
        scenario_with_outages(seed).0
    }

    /// [`Scenario::store_outages`] with pipelines, of which users cancel jobs that others need
    /// while the leader alone is without the store, so that the leader learns of it only after
    /// the outage. The cloud may be out as well, so that jobs wait, users may repeat submissions
    /// meanwhile, and all nodes may restart at the end of the outage.
    pub fn cancelled_pipelines(seed: u64) -> Scenario {
        let (mut scenario, outages) = scenario_with_outages(seed);
        let mut rng = Rng::with_seed(seed.rotate_left(29) ^ CANCELLED_PIPELINES_SEED_SALT);
        scenario.pipelines = rng.usize(8..20);
        scenario.end += 600 * SECOND;
        for outage in outages {
            scenario.faults.extend(outage.pipeline_faults(&mut rng));
        }
        scenario
    }
}
