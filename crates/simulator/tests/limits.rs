//! What the door refuses, and what it turns away first.

use dillcleat_controller::{Config, RequestId, SECOND};
use dillcleat_kube::{ApiRequest, ApiResponse};
use dillcleat_simulator::objects::{TOKEN, rules_for};
use dillcleat_simulator::simulation::config;
use dillcleat_simulator::single_node::{Ev, SingleNode, ask};
use dillcleat_simulator::store::SimulatedStore;
use serde_json::{Value, json};

const JOBS: &str = "/apis/batch/v1/namespaces/free/jobs";

fn alone(config: Config, objects: usize, watches: usize) -> SingleNode {
    let state = SimulatedStore::new(config.max_value_bytes, config.max_txn_ops);
    let mut alone = SingleNode::new(config, rules_for(objects, watches), state);
    alone.until(10 * SECOND);
    alone
}

fn one() -> Config {
    Config {
        zone: "a".into(),
        peers: Vec::new(),
        peers_in_other_zones: Vec::new(),
        ..config(0, 1, 1)
    }
}

fn job(name: &str) -> Value {
    json!({"metadata": {"name": name, "labels": {"app": name}}, "spec": {"completions": 2,
        "template": {"spec": {"restartPolicy": "Never", "containers": [{"name": "main", "image": "i",
            "resources": {"requests": {"cpu": "1", "memory": "1G"}}}]}}}})
}

/// What is answered: status, reason and message. A watch that opens has none.
fn said(reply: Option<ApiResponse>) -> (u16, String) {
    let Some(reply) = reply else {
        return (0, String::new());
    };
    let body: Value = serde_json::from_slice(&reply.body).expect("JSON");
    if matches!(reply.status, 429 | 503) {
        assert_eq!(reply.retry_after, Some(1), "{body}");
    }
    if reply.status >= 400 {
        assert_eq!(
            (&body["kind"], &body["code"]),
            (&json!("Status"), &json!(reply.status))
        );
    }
    let message = format!("{} {}", body["reason"], body["message"]);
    (reply.status, message)
}

fn expect(alone: &mut SingleNode, ask: ApiRequest, status: u16, what: &str) {
    let target = format!("{} {}", ask.method, ask.target);
    let (code, message) = said(alone.asked(ask));
    assert_eq!(code, status, "{target}: {message}");
    assert!(message.contains(what), "{target}: {message}");
}

#[test]
fn what_cannot_be_taken_is_refused_with_its_cause() {
    let mut door = alone(one(), 3, 1);
    let create = |body: &Value| ask("POST", JOBS, body);
    expect(&mut door, create(&job("a")), 201, "");
    // Who asks.
    let from = |bearer: Option<&str>, ask: ApiRequest| ApiRequest {
        bearer: bearer.map(str::to_string),
        ..ask
    };
    let reader = format!("{TOKEN}-r");
    expect(
        &mut door,
        from(None, create(&job("b"))),
        401,
        "Unauthorized",
    );
    expect(
        &mut door,
        from(Some("x"), create(&job("b"))),
        401,
        "Unauthorized",
    );
    expect(
        &mut door,
        from(Some(&reader), create(&job("b"))),
        403,
        "reader may not create",
    );
    expect(
        &mut door,
        from(Some(&reader), ask("GET", JOBS, &Value::Null)),
        200,
        "",
    );
    // Bodies.
    let raw = |body: Vec<u8>, media: &str| ApiRequest {
        body,
        content_type: Some(media.into()),
        ..create(&Value::Null)
    };
    let json = "application/json";
    expect(&mut door, raw(vec![b' '; 65_537], json), 413, "65536 bytes");
    expect(&mut door, raw(b"{\"a\":".to_vec(), json), 400, "BadRequest");
    let deep = format!("{}{}", "[".repeat(40), "]".repeat(40));
    expect(
        &mut door,
        raw(deep.into_bytes(), json),
        400,
        "deeper than 24",
    );
    let wide = json!({"a": vec![1; 2_001]}).to_string();
    expect(
        &mut door,
        raw(wide.into_bytes(), json),
        400,
        "more than 2000 values",
    );
    let mut bomb = "a0: &a0 [x, x, x, x, x, x, x, x, x]\n".to_string();
    for i in 1..10 {
        let more = vec![format!("*a{}", i - 1); 9].join(", ");
        bomb += &format!("a{i}: &a{i} [{more}]\n");
    }
    expect(
        &mut door,
        raw(bomb.into_bytes(), "application/yaml"),
        400,
        "not YAML",
    );
    expect(
        &mut door,
        raw(b"{}".to_vec(), "text/plain"),
        415,
        "text/plain",
    );
    let protobuf = ApiRequest {
        accept: Some("application/vnd.kubernetes.protobuf".into()),
        ..ask("GET", JOBS, &Value::Null)
    };
    expect(&mut door, protobuf, 415, "only JSON");
    // Objects.
    let mut large = job("large");
    large["metadata"]["annotations"] = json!({"note": "x".repeat(2_000)});
    expect(&mut door, create(&large), 422, "are stored of one object");
    let mut odd = job("odd");
    odd["spec"]["template"]["spec"]["hostNetwork"] = json!(true);
    odd["spec"]["template"]["spec"]["containers"][0]["resources"]["limits"] = json!({"cpu": "2"});
    let (code, message) = said(door.asked(create(&odd)));
    assert_eq!(code, 422);
    for path in [
        "spec.template.spec.hostNetwork",
        "containers[0].resources.limits[cpu]",
    ] {
        assert!(message.contains(path), "{message}");
    }
    let mut wide = job("wide");
    wide["spec"]["template"]["spec"]["containers"][0]["resources"]["requests"]["cpu"] =
        json!("999");
    expect(
        &mut door,
        create(&wide),
        422,
        "fits no allowed machine type",
    );
    // Queries.
    let get = |query: &str| ask("GET", &format!("{JOBS}?{query}"), &Value::Null);
    expect(&mut door, get("labelSelector=a%3D%3D%3Db"), 400, "column");
    expect(&mut door, get("colour=1"), 400, "colour");
    expect(&mut door, get("continue=x"), 400, "continue");
    expect(
        &mut door,
        get("watch=1&resourceVersion=0&sendInitialEvents=true"),
        400,
        "list, then watch",
    );
    expect(
        &mut door,
        ask("DELETE", JOBS, &Value::Null),
        405,
        "MethodNotAllowed",
    );
    expect(
        &mut door,
        ask("GET", "/apis/apps/v1/deployments", &Value::Null),
        404,
        "NotFound",
    );
    let elsewhere = "/apis/batch/v1/namespaces/nobody/jobs";
    expect(&mut door, ask("POST", elsewhere, &job("b")), 404, "nobody");
    // Numbers.
    expect(&mut door, get("watch=1"), 0, "");
    expect(&mut door, get("watch=1"), 429, "TooManyRequests");
    expect(&mut door, create(&job("b")), 201, "");
    expect(&mut door, create(&job("c")), 201, "");
    expect(&mut door, create(&job("d")), 403, "there are 3 objects");
    expect(&mut door, create(&job("a")), 403, "there are 3 objects");
}

#[test]
fn lists_are_pages_and_names_are_used_once() {
    let mut door = alone(one(), 100, 1);
    for i in 0..7 {
        expect(
            &mut door,
            ask("POST", JOBS, &job(&format!("j{i}"))),
            201,
            "",
        );
    }
    let (mut seen, mut after) = (Vec::new(), String::new());
    loop {
        let target = format!("{JOBS}?limit=3&continue={after}");
        let reply = door
            .asked(ask("GET", &target, &Value::Null))
            .expect("a list");
        let page: Value = serde_json::from_slice(&reply.body).expect("JSON");
        let items = page["items"].as_array().expect("items");
        assert!(items.len() <= 3);
        seen.extend(items.iter().map(|j| j["metadata"]["name"].to_string()));
        after = page["metadata"]["continue"]
            .as_str()
            .unwrap_or_default()
            .to_string();
        if after.is_empty() {
            break;
        }
    }
    let all: Vec<String> = (0..7).map(|i| format!("\"j{i}\"")).collect();
    assert_eq!(seen, all);
    // Once, but in a class that allows repeats.
    let own = format!("{JOBS}/j0");
    expect(&mut door, ask("DELETE", &own, &Value::Null), 200, "");
    expect(&mut door, ask("GET", &own, &Value::Null), 404, "NotFound");
    expect(
        &mut door,
        ask("POST", JOBS, &job("j0")),
        409,
        "it was there as",
    );
    let mut again = job("again");
    again["metadata"]["annotations"] = json!({"dillcleat/class": "again"});
    let own = format!("{JOBS}/again");
    let mut uids = Vec::new();
    for _ in 0..2 {
        let reply = door.asked(ask("POST", JOBS, &again)).expect("an answer");
        let made: Value = serde_json::from_slice(&reply.body).expect("JSON");
        assert_eq!(reply.status, 201, "{made}");
        uids.push(made["metadata"]["uid"].to_string());
        expect(&mut door, ask("DELETE", &own, &Value::Null), 200, "");
    }
    assert_ne!(uids[0], uids[1]);
}

/// In a flood reads are turned away before creates, and creates before deletes.
#[test]
fn what_is_turned_away_first() {
    let limits = Config {
        store_rps: 40.0,
        store_write_rps: 10.0,
        ..one()
    };
    let mut door = alone(limits, 1_000, 1);
    for i in 0..3 {
        expect(
            &mut door,
            ask("POST", JOBS, &job(&format!("old{i}"))),
            201,
            "",
        );
    }
    let mut next = 0;
    let flood =
        |door: &mut SingleNode, n: u64, make: &dyn Fn(u64) -> ApiRequest| -> (usize, usize) {
            for _ in 0..n {
                next += 1;
                door.at(door.now, Ev::Ask(RequestId(next), make(next)));
            }
            door.until(door.now + SECOND / 2);
            let all = std::mem::take(&mut door.answers);
            let good = all.iter().filter(|(_, r)| r.status < 300).count();
            let away = all
                .iter()
                .filter(|(_, r)| r.status == 429 && r.retry_after == Some(1));
            (good, away.count())
        };
    let mut flood = flood;
    // More creates than there are changes for: what is too much is told so at once.
    let (made, away) = flood(&mut door, 60, &|i| {
        ask("POST", JOBS, &job(&format!("new{i}")))
    });
    assert!(made >= 1 && away >= 40, "{made} made, {away} turned away");
    // With nothing left for creates a delete still goes through.
    let own = format!("{JOBS}/old0");
    let (deleted, _) = flood(&mut door, 1, &|_| ask("DELETE", &own, &Value::Null));
    assert_eq!(deleted, 1);
    // However many read, a look serves them all.
    door.until(door.now + 3 * SECOND);
    let calls = door.calls;
    let (read, _) = flood(&mut door, 500, &|_| ask("GET", JOBS, &Value::Null));
    assert_eq!(read, 500);
    assert!(door.calls - calls < 25, "{} calls", door.calls - calls);
}
