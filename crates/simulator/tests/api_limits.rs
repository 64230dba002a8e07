//! Requests that the Kubernetes API rejects as invalid or for overload.

use dillcleat_controller::{Config, RequestId, SECOND};
use dillcleat_kube::{ApiRequest, ApiResponse};
use dillcleat_simulator::objects::{TOKEN, api_server_config_with_limits};
use dillcleat_simulator::simulation::base_config;
use dillcleat_simulator::single_node::{Event, SingleNode, api_request};
use dillcleat_simulator::store::SimulatedStore;
use serde_json::{Value, json};

const JOBS_PATH: &str = "/apis/batch/v1/namespaces/free/jobs";

fn single_node(config: Config, objects: usize, watches: usize) -> SingleNode {
    let store = SimulatedStore::new(config.max_value_bytes, config.max_txn_ops);
    let mut node = SingleNode::new(
        config,
        api_server_config_with_limits(objects, watches),
        store,
    );
    node.run_until(10 * SECOND);
    node
}

fn single_node_config() -> Config {
    Config {
        zone: "a".into(),
        peers: Vec::new(),
        peers_in_other_zones: Vec::new(),
        ..base_config(0, 1, 1)
    }
}

fn job(name: &str) -> Value {
    json!({"metadata": {"name": name, "labels": {"app": name}}, "spec": {"completions": 2,
        "template": {"spec": {"restartPolicy": "Never", "containers": [{"name": "main", "image": "i",
            "resources": {"requests": {"cpu": "1", "memory": "1G"}}}]}}}})
}

/// Status, reason and message of a reply. An open watch has no reply and gives 0.
fn status_and_message(reply: Option<ApiResponse>) -> (u16, String) {
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

fn expect(node: &mut SingleNode, request: ApiRequest, status: u16, text: &str) {
    let target = format!("{} {}", request.method, request.target);
    let (code, message) = status_and_message(node.request(request));
    assert_eq!(code, status, "{target}: {message}");
    assert!(message.contains(text), "{target}: {message}");
}

#[test]
fn invalid_requests_are_rejected_with_a_reason() {
    let mut node = single_node(single_node_config(), 3, 1);
    let create = |body: &Value| api_request("POST", JOBS_PATH, body);
    expect(&mut node, create(&job("a")), 201, "");
    // Requests without a valid token or without permission are rejected.
    let with_token = |bearer: Option<&str>, request: ApiRequest| ApiRequest {
        bearer: bearer.map(str::to_string),
        ..request
    };
    let reader = format!("{TOKEN}-r");
    expect(
        &mut node,
        with_token(None, create(&job("b"))),
        401,
        "Unauthorized",
    );
    expect(
        &mut node,
        with_token(Some("x"), create(&job("b"))),
        401,
        "Unauthorized",
    );
    expect(
        &mut node,
        with_token(Some(&reader), create(&job("b"))),
        403,
        "reader may not create",
    );
    expect(
        &mut node,
        with_token(Some(&reader), api_request("GET", JOBS_PATH, &Value::Null)),
        200,
        "",
    );
    // Requests with an invalid body or media type are rejected.
    let raw = |body: Vec<u8>, media: &str| ApiRequest {
        body,
        content_type: Some(media.into()),
        ..create(&Value::Null)
    };
    let json = "application/json";
    expect(&mut node, raw(vec![b' '; 65_537], json), 413, "65536 bytes");
    expect(&mut node, raw(b"{\"a\":".to_vec(), json), 400, "BadRequest");
    let deep = format!("{}{}", "[".repeat(40), "]".repeat(40));
    expect(
        &mut node,
        raw(deep.into_bytes(), json),
        400,
        "deeper than 24",
    );
    let wide = json!({"a": vec![1; 2_001]}).to_string();
    expect(
        &mut node,
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
        &mut node,
        raw(bomb.into_bytes(), "application/yaml"),
        400,
        "not YAML",
    );
    expect(
        &mut node,
        raw(b"{}".to_vec(), "text/plain"),
        415,
        "text/plain",
    );
    let protobuf = ApiRequest {
        accept: Some("application/vnd.kubernetes.protobuf".into()),
        ..api_request("GET", JOBS_PATH, &Value::Null)
    };
    expect(&mut node, protobuf, 415, "only JSON");
    // Objects that are too large, unsupported or unschedulable are rejected.
    let mut large = job("large");
    large["metadata"]["annotations"] = json!({"note": "x".repeat(2_000)});
    expect(&mut node, create(&large), 422, "are stored of one object");
    let mut unsupported = job("odd");
    unsupported["spec"]["template"]["spec"]["hostNetwork"] = json!(true);
    unsupported["spec"]["template"]["spec"]["containers"][0]["resources"]["limits"] =
        json!({"cpu": "2"});
    let (code, message) = status_and_message(node.request(create(&unsupported)));
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
        &mut node,
        create(&wide),
        422,
        "fits no allowed machine type",
    );
    // Invalid query parameters, methods, paths and namespaces are rejected.
    let get = |query: &str| api_request("GET", &format!("{JOBS_PATH}?{query}"), &Value::Null);
    expect(&mut node, get("labelSelector=a%3D%3D%3Db"), 400, "column");
    expect(&mut node, get("colour=1"), 400, "colour");
    expect(&mut node, get("continue=x"), 400, "continue");
    expect(
        &mut node,
        get("watch=1&resourceVersion=0&sendInitialEvents=true"),
        400,
        "list, then watch",
    );
    expect(
        &mut node,
        api_request("DELETE", JOBS_PATH, &Value::Null),
        405,
        "MethodNotAllowed",
    );
    expect(
        &mut node,
        api_request("GET", "/apis/apps/v1/deployments", &Value::Null),
        404,
        "NotFound",
    );
    let elsewhere = "/apis/batch/v1/namespaces/nobody/jobs";
    expect(
        &mut node,
        api_request("POST", elsewhere, &job("b")),
        404,
        "nobody",
    );
    // Watches and objects beyond the limits are rejected.
    expect(&mut node, get("watch=1"), 0, "");
    expect(&mut node, get("watch=1"), 429, "TooManyRequests");
    expect(&mut node, create(&job("b")), 201, "");
    expect(&mut node, create(&job("c")), 201, "");
    expect(&mut node, create(&job("d")), 403, "there are 3 objects");
    expect(&mut node, create(&job("a")), 403, "there are 3 objects");
}

#[test]
fn lists_are_paged_and_names_are_not_reused() {
    let mut node = single_node(single_node_config(), 100, 1);
    for i in 0..7 {
        expect(
            &mut node,
            api_request("POST", JOBS_PATH, &job(&format!("j{i}"))),
            201,
            "",
        );
    }
    let (mut seen, mut after) = (Vec::new(), String::new());
    loop {
        let target = format!("{JOBS_PATH}?limit=3&continue={after}");
        let reply = node
            .request(api_request("GET", &target, &Value::Null))
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
    // A name may be reused only in a class that allows repeats.
    let own = format!("{JOBS_PATH}/j0");
    expect(
        &mut node,
        api_request("DELETE", &own, &Value::Null),
        200,
        "",
    );
    expect(
        &mut node,
        api_request("GET", &own, &Value::Null),
        404,
        "NotFound",
    );
    expect(
        &mut node,
        api_request("POST", JOBS_PATH, &job("j0")),
        409,
        "it was there as",
    );
    let mut again = job("again");
    again["metadata"]["annotations"] = json!({"dillcleat/class": "again"});
    let own = format!("{JOBS_PATH}/again");
    let mut uids = Vec::new();
    for _ in 0..2 {
        let reply = node
            .request(api_request("POST", JOBS_PATH, &again))
            .expect("an answer");
        let made: Value = serde_json::from_slice(&reply.body).expect("JSON");
        assert_eq!(reply.status, 201, "{made}");
        uids.push(made["metadata"]["uid"].to_string());
        expect(
            &mut node,
            api_request("DELETE", &own, &Value::Null),
            200,
            "",
        );
    }
    assert_ne!(uids[0], uids[1]);
}

/// Guards against overload that blocks deletes or reads: only creates may be rejected.
#[test]
fn overload_rejects_creates_but_serves_deletes_and_reads() {
    let limits = Config {
        store_rps: 40.0,
        store_write_rps: 10.0,
        ..single_node_config()
    };
    let mut node = single_node(limits, 1_000, 1);
    for i in 0..3 {
        expect(
            &mut node,
            api_request("POST", JOBS_PATH, &job(&format!("old{i}"))),
            201,
            "",
        );
    }
    let mut next = 0;
    let flood =
        |node: &mut SingleNode, n: u64, make: &dyn Fn(u64) -> ApiRequest| -> (usize, usize) {
            for _ in 0..n {
                next += 1;
                node.schedule(node.now, Event::ApiRequest(RequestId(next), make(next)));
            }
            node.run_until(node.now + SECOND / 2);
            let all = std::mem::take(&mut node.answers);
            let good = all.iter().filter(|(_, r)| r.status < 300).count();
            let rejected = all
                .iter()
                .filter(|(_, r)| r.status == 429 && r.retry_after == Some(1));
            (good, rejected.count())
        };
    let mut flood = flood;
    // Creates beyond the rate that the store accepts are rejected immediately.
    let (made, rejected) = flood(&mut node, 60, &|i| {
        api_request("POST", JOBS_PATH, &job(&format!("new{i}")))
    });
    assert!(
        made >= 1 && rejected >= 40,
        "{made} created, {rejected} rejected"
    );
    // A delete is accepted even while creates are rejected.
    let own = format!("{JOBS_PATH}/old0");
    let (deleted, _) = flood(&mut node, 1, &|_| api_request("DELETE", &own, &Value::Null));
    assert_eq!(deleted, 1);
    // All reads are served from a shared cache, with few calls to the store.
    node.run_until(node.now + 3 * SECOND);
    let calls = node.calls;
    let (read, _) = flood(&mut node, 500, &|_| {
        api_request("GET", JOBS_PATH, &Value::Null)
    });
    assert_eq!(read, 500);
    assert!(
        node.calls - calls < 25,
        "{} store calls",
        node.calls - calls
    );
}
