//! A flood of requests: refused at once, and no more calls than the budget.

use dillcleat_core::{Config, Input, Node, Now, Output, RequestId, SECOND, Tuning};
use dillcleat_wire::platform::Platform;

const SETTINGS: &str = r#"
member = "n0"
site = "a"
client_listen = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
siblings = [
    { member = "n1", site = "a", peer_addr = "127.0.0.1:3" },
    { member = "n2", site = "a", peer_addr = "127.0.0.1:4" },
]
[endpoints]
cloud = "127.0.0.1:5"
state = "127.0.0.1:6"
[cluster]
size = 3
zones = ["a"]
clock_error_ms = 250.0
[cluster.workers]
report_s = 2.0
lease_s = 14.0
cancel_s = 44.0
[cluster.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 48
[cluster.cloud]
rps = 2.0
list_lag_s = 4.0
[cluster.quota]
cpu_share = 0.1
mem_mb = 72.0
max_connections = 900
"#;

/// The leader shares the state service with the users' requests: without a
/// budget a flood of them could take the lease's renewals away from it.
#[test]
fn a_flood_is_refused_at_once_within_the_budget() {
    let platform = Platform::parse(SETTINGS).expect("good settings");
    let mut node = Node::new(Config::new(&platform, Tuning::default()));
    let now = Now {
        steady: 1000 * SECOND,
        wall: 1000 * SECOND,
    };
    let (mut calls, mut refused) = (0, 0);
    for i in 0..1000 {
        let input = Input::Request {
            id: RequestId(i),
            method: "GET".into(),
            target: format!("/v2/runs/req-{i}"),
            body: Vec::new(),
        };
        for output in node.handle(now, input) {
            match output {
                Output::State { .. } => calls += 1,
                Output::Answer { answer, .. } => {
                    assert_eq!((answer.status, answer.retry_after), (503, Some(1)));
                    refused += 1;
                }
                other => panic!("unexpected {other:?}"),
            }
        }
    }
    // Seven tenths of 200 calls a second, a third of it for this node.
    assert_eq!((calls, refused), (46, 954));
}
