//! Health of a follower without requests.

mod common;

use dillcleat_controller::records::{self, LeaderRecord, MachineTypesRecord, TermRecord};
use dillcleat_controller::{Input, MILLISECOND, Micros, Output, RequestId, SECOND, Timestamp};
use dillcleat_peer_protocol::Message;
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::store::{
    KeyValue, LeaseId, RangePage, StoreRequest, StoreResponse, WatchBatch, encode_value,
};

/// The load balancer sends requests to nodes whose `/up` returns 200. A watch that is held for
/// a long time must not make an idle follower unhealthy.
#[test]
fn idle_follower_stays_healthy() {
    let row = |key: &str, value| KeyValue {
        key: key.into(),
        value,
        version: 1,
        lease: None,
    };
    let leader = LeaderRecord {
        member: "n1".into(),
        lease: LeaseId(7),
        term: 1,
    };
    let types = MachineTypesRecord {
        types: Vec::<MachineType>::new(),
    };
    let rows = vec![
        row(records::LEADER_KEY, encode_value(&leader)),
        row(records::TERM_KEY, encode_value(&TermRecord { term: 1 })),
        row(records::MACHINE_TYPES_KEY, encode_value(&types)),
    ];
    let mut node = common::single_zone_node();
    let start = 1000 * SECOND;
    let mut watch: Option<(Micros, Input)> = None;
    for at in (start..start + 60 * SECOND).step_by(50 * MILLISECOND as usize) {
        let peer_heartbeat = Input::Peer {
            from: "n1".into(),
            message: Message::Heartbeat {
                term: 1,
                is_leader: true,
                store_reachable: true,
                workers_reachable: true,
                requests_per_s: 0,
            },
        };
        let health_check = Input::Request {
            id: RequestId(at),
            method: "GET".into(),
            target: "/up".into(),
            body: Vec::new(),
        };
        let mut inputs = vec![Input::Tick, peer_heartbeat];
        if at > start {
            inputs.insert(0, health_check);
        }
        if watch.as_ref().is_some_and(|(due, _)| at >= *due) {
            inputs.extend(watch.take().map(|(_, input)| input));
        }
        while let Some(input) = inputs.pop() {
            let now = Timestamp {
                monotonic: at,
                wall: at,
            };
            for output in node.handle(now, input) {
                match output {
                    Output::Answer { answer, .. } => assert_eq!(answer.status, 200, "at {at}"),
                    Output::Store { id, call, .. } => match call {
                        StoreRequest::List { .. } => inputs.push(Input::Store {
                            id,
                            reply: Ok(StoreResponse::RangePage(RangePage {
                                rows: rows.clone(),
                                more: false,
                                revision: 1,
                            })),
                        }),
                        // Nothing changes, so a watch returns at the end of its hold time.
                        StoreRequest::Watch { hold_ms, .. } => {
                            let reply = Ok(StoreResponse::WatchBatch(WatchBatch {
                                revision: 1,
                                events: Vec::new(),
                            }));
                            let due = at + hold_ms * MILLISECOND;
                            watch = Some((due, Input::Store { id, reply }));
                        }
                        other => panic!("unexpected call of a follower: {other:?}"),
                    },
                    _ => {}
                }
            }
        }
    }
}
