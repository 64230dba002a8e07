//! Creates and removes this node's leader as leadership changes, and handles the events
//! that the leader reports to the node.

use super::Node;
use crate::calls::Context;
use crate::election::{BetterCandidate, LeadershipChange};
use crate::leader::{Leader, LeaderEvent, VersionedMachineTypes};
use crate::leadership_guard::LeadershipProof;
use crate::{JobEvent, Micros, Output, SECOND, Timestamp, micros, seconds};
use dillcleat_wire::user::JobState;

/// A gap of this length between two inputs means that the process was paused, since ticks
/// arrive twenty times a second.
const MIN_PROCESS_PAUSE: Micros = SECOND;

impl Node {
    /// After a pause of the process of at least `lead_ttl_s`, steps down or reads the election
    /// state again. After a shorter one, excludes the pause from the times without heartbeats
    /// that the leader measures. A leader that resumed with its outdated state would find every
    /// worker unresponsive and could delete machines that already belong to its successor. One
    /// that resumed after half a minute requested the deletion of 840 (docs/incidents, inc-e9a6).
    pub(super) fn handle_process_pause(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let pause = now.monotonic.saturating_sub(self.last_input_at);
        let first_input = self.last_input_at == 0;
        self.last_input_at = now.monotonic;
        if first_input || pause < MIN_PROCESS_PAUSE {
            return;
        }
        log::info!("process was paused paused_s={}", seconds(pause));
        if pause >= micros(self.config.tuning.lead_ttl_s) {
            let mut ctx = Context::new(now, &self.config, out, &mut self.calls);
            let change = self.election.handle_long_pause(&mut ctx);
            self.apply_leadership_change(now, out, change);
        } else if let Some(leader) = &mut self.leader {
            leader.exclude_pause(pause, now.monotonic);
        }
    }

    pub(super) fn apply_leadership_change(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        change: Option<LeadershipChange>,
    ) {
        match change {
            Some(LeadershipChange::Elected { term, term_version }) => {
                self.start_leading(now, out, term, term_version);
            }
            Some(LeadershipChange::SteppedDown) => self.stop_leading(now),
            None => {}
        }
    }

    fn start_leading(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        term: u64,
        term_version: u64,
    ) {
        let types = VersionedMachineTypes {
            types: self.election.shared_machine_types(),
            version: self.election.machine_types_version(),
        };
        let inherited = self.received_estimates.inherit(term, now.monotonic);
        let mut ctx = Context::new(now, &self.config, out, &mut self.calls);
        let mut leader = Leader::new(&mut ctx, term, term_version, types, inherited);
        leader.leadership_proof.proved_at = self.election.proved_at();
        if let Some(last_contact_at) = self.unresponsive_zones.take_recent(now.monotonic) {
            leader.set_zones_unresponsive_before_term(last_contact_at);
        }
        self.leader = Some(leader);
        self.admission.progress.begin_term(now.monotonic);
        self.next_peer_heartbeat_at = now.monotonic;
    }

    /// Removes the leader. Its estimates are kept, since this node may be the next to be
    /// elected.
    fn stop_leading(&mut self, now: Timestamp) {
        if let Some(estimates) = self.leader.take().and_then(|l| l.all_estimates()) {
            self.received_estimates
                .receive(&self.config, estimates, now.monotonic);
        }
    }

    pub(super) fn handle_leader_events(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut change = None;
        for event in leader.take_events() {
            let mut ctx = Context::new(now, &self.config, out, &mut self.calls);
            match event {
                LeaderEvent::JobEnded(job, record) => {
                    self.admission.record_end(&job, record);
                    let state = record.state.ended().unwrap_or(JobState::Done);
                    out.push(Output::JobEvent(JobEvent::Ended { job, state }));
                }
                // Not cached here: the leader has only observed this cancellation.
                LeaderEvent::JobCancelled(job) => {
                    let state = JobState::Cancelled;
                    out.push(Output::JobEvent(JobEvent::Ended { job, state }));
                }
                LeaderEvent::TaskFailed { job, task, attempt } => {
                    out.push(Output::JobEvent(JobEvent::TaskFailed {
                        job,
                        task,
                        attempt,
                    }));
                }
                LeaderEvent::MachineTypes(types) => self.election.set_machine_types(types),
                LeaderEvent::StepDown => {
                    let stepped_down = self.election.step_down(
                        &mut ctx,
                        "leader state can no longer be kept consistent with the store",
                        0,
                    );
                    change = stepped_down.or(change);
                }
                LeaderEvent::TokensExhausted => {
                    let reason = "the term has no unused fencing tokens left";
                    let stepped_down = self.election.step_down(&mut ctx, reason, 0);
                    change = stepped_down.or(change);
                }
                LeaderEvent::HigherTerm(term) => {
                    let stepped_down = self.election.observe_term(&mut ctx, term);
                    change = stepped_down.or(change);
                }
            }
        }
        self.apply_leadership_change(now, out, change);
    }

    /// The leader, if it is another node: according to the store, unless a peer reports that
    /// it leads in a later term. A stored leader that reports in its heartbeats that it does
    /// not lead is ignored, so that nodes without contact to the store do not redirect workers
    /// to a former leader.
    pub(super) fn other_leader(&self, now: Timestamp) -> Option<&str> {
        let stored = self.election.known_leader();
        let term = stored.map_or(0, |leader| leader.term);
        if let Some(name) = self.peers.leader_after(term, now.monotonic) {
            return Some(name);
        }
        let stored = stored.filter(|leader| leader.member != self.config.member)?;
        let stepped_down = self
            .peers
            .has_stepped_down(&stored.member, term, now.monotonic);
        (!stepped_down).then_some(stored.member.as_str())
    }

    /// The current proof of this node's leadership.
    pub(super) fn leadership_proof(&self, now: Timestamp) -> LeadershipProof {
        let reachable = |name: &String| self.peers.is_reachable(name, now.monotonic);
        let peers_in_other_zones = &self.config.peers_in_other_zones;
        LeadershipProof {
            proved_at: self.election.proved_at(),
            isolated: !peers_in_other_zones.is_empty()
                && !peers_in_other_zones.iter().any(reachable),
        }
    }

    pub(super) fn better_candidate(&self, now: Timestamp) -> BetterCandidate {
        if self.reachability.workers_reachable(now.monotonic) {
            BetterCandidate::NotNeeded
        } else if self.peers.has_better_candidate(now.monotonic) {
            BetterCandidate::Peer
        } else {
            BetterCandidate::Unknown
        }
    }
}
