//! Copies of requests that were carried out and answered, which arrive once more.

use super::workers::{CommandReception, machine_at};
use super::{Event, Simulation};
use dillcleat_controller::{Input, MILLISECOND, Micros, SECOND};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::{CloudRequest, CloudResponse};
use dillcleat_wire::store::{StoreRequest, StoreResponse};
use dillcleat_wire::worker::CommandBatch;
use std::ops::Range;

/// The maximum number of copies of a request.
const MAX_COPIES: u32 = 3;
/// The ranges from which the delay of a copy is drawn: shorter than a heartbeat interval, up to
/// several worker leases, and minutes.
const COPY_DELAYS: [Range<Micros>; 3] = [
    10 * MILLISECOND..2 * SECOND,
    2 * SECOND..45 * SECOND,
    45 * SECOND..200 * SECOND,
];

/// The boot time of machines that a copy of a scale-out starts.
const COPIED_SCALE_OUT_BOOT_TIME: Micros = 10 * SECOND;

/// A request of which a copy may arrive.
#[derive(Debug, Clone)]
pub(crate) enum RequestCopy {
    Commands {
        addr: String,
        commands: Box<CommandBatch>,
    },
    Store(StoreRequest),
    Cloud(CloudRequest),
    Peer {
        from: String,
        to: usize,
        message: Message,
    },
}

/// Whether a copy of a call to the cloud may have an effect: the call was carried out, or refused
/// for lack of capacity.
pub(super) fn can_be_copied_to_cloud(answer: &CloudResponse) -> bool {
    matches!(
        answer,
        CloudResponse::ScaledOut(_) | CloudResponse::NoCapacity | CloudResponse::Deleted
    )
}

/// Whether a copy of a call to the store may have an effect: the call changes the store and was
/// carried out.
pub(super) fn can_be_copied(call: &StoreRequest, answer: &StoreResponse) -> bool {
    let is_change = matches!(
        call,
        StoreRequest::Transaction(_)
            | StoreRequest::GrantLease { .. }
            | StoreRequest::RenewLease { .. }
            | StoreRequest::RevokeLease { .. }
    );
    is_change
        && !matches!(
            answer,
            StoreResponse::RateLimited | StoreResponse::Unavailable
        )
}

impl Simulation {
    /// Schedules copies of a request that was carried out, if the fault affects it.
    pub(super) fn schedule_copies(&mut self, copy: RequestCopy) {
        if !self.is_affected(self.late_copies) {
            return;
        }
        for _ in 0..self.auxiliary_rng.u32(1..=MAX_COPIES) {
            let range = self.auxiliary_rng.usize(..COPY_DELAYS.len());
            let delay = self.auxiliary_rng.u64(COPY_DELAYS[range].clone());
            let copy = Box::new(copy.clone());
            self.schedule(self.now + delay, Event::RequestCopy(copy));
        }
    }

    /// Delivers a copy of a request. Nobody receives the answer.
    pub(super) fn deliver_copy(&mut self, copy: RequestCopy) {
        match copy {
            RequestCopy::Commands { addr, commands } => self.deliver_commands_copy(addr, commands),
            RequestCopy::Store(call) => {
                self.store.call(&call, self.now);
                self.send_changed_watches();
            }
            RequestCopy::Cloud(call) => self.deliver_cloud_copy(&call),
            RequestCopy::Peer { from, to, message } => {
                let epoch = self.nodes[to].epoch;
                self.schedule_input(self.now, to, epoch, Input::Peer { from, message });
            }
        }
    }

    /// A copy of a scale-out that found no capacity may start machines of which no controller
    /// knows.
    fn deliver_cloud_copy(&mut self, call: &CloudRequest) {
        let boot_time = |_: &str| Some(COPIED_SCALE_OUT_BOOT_TIME);
        let (_, started, deleted) = self.cloud.call(call, self.now, boot_time);
        for machine in started {
            let at = self.now + COPIED_SCALE_OUT_BOOT_TIME;
            self.schedule(at, Event::MachineBooted { machine });
        }
        for machine in deleted {
            self.remove_machine(&machine);
        }
    }

    fn deliver_commands_copy(&mut self, addr: String, commands: Box<CommandBatch>) {
        let machine = machine_at(&addr).to_string();
        match self.receive_commands(&machine, &commands) {
            CommandReception::Lost => {}
            CommandReception::HeldUntil(at) => {
                let copy = Box::new(RequestCopy::Commands { addr, commands });
                self.schedule(at, Event::RequestCopy(copy));
            }
            CommandReception::Handled { events, .. } => {
                self.record_worker_events(&machine, events);
            }
        }
    }
}
