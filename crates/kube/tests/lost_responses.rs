//! Retries by the API server after the response to a committed transaction was lost and
//! another client has changed the object.

use dillcleat_controller::records::{self, MachineTypesRecord};
use dillcleat_controller::{
    CallError, CallId, Config, Input, Node, Output, RequestId, SECOND, Timestamp, Tuning,
};
use dillcleat_kube::record::{Kind, Name, Record, Tombstone};
use dillcleat_kube::{
    ApiRequest, ApiServerConfig, Controller, ControllerOutput, Settings, SigningKey,
};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::settings::PlatformSettings;
use dillcleat_wire::store::{
    KeyValue, Mutation, RangePage, StoreRequest, StoreResponse, Transaction, Value, WatchBatch,
    WatchEvent, encode_value,
};
use serde_json::json;

const TOKEN: &str = "a-token-for-tests";
const JOBS: &str = "/apis/batch/v1/namespaces/books/jobs";

/// A configuration that allows names to be reused by Jobs of the class `merge`, which is
/// the default class.
fn api_server_config() -> ApiServerConfig {
    let key = SigningKey::parse(&"5c".repeat(32)).expect("a key");
    let text = format!(
        "listen = \"127.0.0.1:1\"\nkey_file = \"none\"\nclass = \"merge\"\nrepeats = [\"merge\"]\n\
         [[tokens]]\nname = \"all\"\nmac = \"{}\"\nnamespaces = [\"*\"]\nverbs = [\"*\"]\n",
        key.token(TOKEN)
    );
    let table: toml::Table = toml::from_str(&text).expect("toml");
    let settings = Settings::read(toml::Value::Table(table)).expect("good settings");
    ApiServerConfig::new(settings, key)
}

fn row(key: String, value: Value, version: u64) -> KeyValue {
    KeyValue {
        key,
        value,
        version,
        lease: None,
    }
}

struct TestController {
    controller: Controller,
    /// The transactions sent to the store, oldest first.
    txns: Vec<(CallId, Transaction)>,
    pending_gets: Vec<CallId>,
    /// Watch requests that refresh the watch cache.
    pending_refreshes: Vec<CallId>,
    /// The status codes of the responses to the client.
    responses: Vec<u16>,
}

impl TestController {
    /// A controller that has read the machine types, and an empty list of objects at
    /// revision 5.
    fn new() -> TestController {
        let text = include_str!("../../../deploy/example-node.toml");
        let platform = PlatformSettings::parse(text).expect("good settings");
        let node = Node::new(Config::new(&platform, Tuning::default()));
        let mut controller = TestController {
            controller: Controller::new(node, Some(api_server_config())),
            txns: Vec::new(),
            pending_gets: Vec::new(),
            pending_refreshes: Vec::new(),
            responses: Vec::new(),
        };
        controller.handle(Input::Tick);
        controller
    }

    fn handle(&mut self, input: Input) {
        let out = self.controller.handle(now(), input);
        self.take_outputs(out);
    }

    fn take_outputs(&mut self, out: Vec<ControllerOutput>) {
        for out in out {
            match out {
                ControllerOutput::Response { response, .. } => self.responses.push(response.status),
                ControllerOutput::Node(Output::Store { id, call, .. }) => match call {
                    StoreRequest::List { prefix, .. } => {
                        let rows = match prefix.as_str() {
                            records::SHARED_PREFIX => vec![machine_types_row()],
                            _ => Vec::new(),
                        };
                        let response = StoreResponse::RangePage(RangePage {
                            rows,
                            more: false,
                            revision: 5,
                        });
                        self.answer_call(id, Ok(response));
                    }
                    StoreRequest::Transaction(txn) => self.txns.push((id, txn)),
                    StoreRequest::Get { .. } => self.pending_gets.push(id),
                    StoreRequest::Watch { hold_ms: 0, .. } => self.pending_refreshes.push(id),
                    _ => {}
                },
                _ => {}
            }
        }
    }

    fn request(&mut self, request: ApiRequest) {
        let out = self.controller.handle_request(now(), RequestId(1), request);
        self.take_outputs(out);
    }

    /// Answers the oldest refresh with these changes.
    fn answer_refresh(&mut self, revision: u64, events: Vec<WatchEvent>) {
        let id = self.pending_refreshes.remove(0);
        let changes = WatchBatch { revision, events };
        self.answer_call(id, Ok(StoreResponse::WatchBatch(changes)));
    }

    fn answer_call(&mut self, id: CallId, response: Result<StoreResponse, CallError>) {
        self.handle(Input::Store {
            id,
            reply: response,
        });
    }
}

fn now() -> Timestamp {
    Timestamp {
        monotonic: 1000 * SECOND,
        wall: 1000 * SECOND,
    }
}

fn machine_types_row() -> KeyValue {
    let types = vec![MachineType {
        name: "t".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: None,
        boot_s: 5.0,
        zones: vec!["a".into()],
    }];
    row(
        records::MACHINE_TYPES_KEY.into(),
        encode_value(&MachineTypesRecord { types }),
        1,
    )
}

fn name() -> Name {
    Name {
        kind: Kind::Job,
        namespace: "books".into(),
        name: "one".into(),
    }
}

/// Sends a create request and returns the transaction that the controller sends.
fn request_create(controller: &mut TestController) -> (CallId, Transaction) {
    let requests = json!({"cpu": "1", "memory": "1G"});
    let container = json!({"name": "main", "image": "i", "resources": {"requests": requests}});
    let body = json!({
        "apiVersion": "batch/v1",
        "kind": "Job",
        "metadata": {"name": "one", "namespace": "books",
            "annotations": {"dillcleat/estimate-seconds": "1"}},
        "spec": {"completions": 1, "parallelism": 1,
            "template": {"spec": {"restartPolicy": "Never", "containers": [container]}}},
    });
    let request = ApiRequest {
        method: "POST".into(),
        target: JOBS.into(),
        bearer: Some(TOKEN.into()),
        body: body.to_string().into_bytes(),
        ..ApiRequest::default()
    };
    controller.request(request);
    assert!(
        controller.responses.is_empty(),
        "{:?}",
        controller.responses
    );
    controller
        .txns
        .last()
        .cloned()
        .expect("a transaction is sent")
}

/// Creates an object whose name has a tombstone of the given version. With `lost` the
/// response to the first transaction is lost and the controller retries. Returns the status
/// codes that the client received and the number of transactions sent.
fn create_over_tombstone(lost: bool, tombstone_version: u64) -> (Vec<u16>, usize) {
    let mut controller = TestController::new();
    let (first, _) = request_create(&mut controller);
    if lost {
        controller.answer_call(first, Err(CallError::NoAnswer));
    }
    let (id, _) = controller
        .txns
        .last()
        .cloned()
        .expect("the transaction is sent again");
    let conflict = StoreResponse::Conflict {
        failed: vec![name().tombstone_key()],
        revision: 9,
    };
    controller.answer_call(id, Ok(conflict));
    let tombstone = Tombstone {
        uid: "u".into(),
        run: 1,
        job: Some("req-1".into()),
    };
    let get = controller
        .pending_gets
        .pop()
        .expect("the tombstone is read");
    let value = encode_value(&tombstone);
    let found = StoreResponse::Found(row(name().tombstone_key(), value, tombstone_version));
    controller.answer_call(get, Ok(found));
    (controller.responses, controller.txns.len())
}

/// Guards against running a job twice: the first attempt may have created the object that
/// was deleted before the retry.
#[test]
fn a_retried_create_is_rejected_only_if_the_object_was_deleted_after_the_request() {
    assert_eq!(create_over_tombstone(true, 8), (vec![409], 2));
    // The object was deleted before the request was received: the name may be used again.
    assert_eq!(create_over_tombstone(true, 4), (vec![], 3));
    // No earlier attempt of this request can have created the deleted object.
    assert_eq!(create_over_tombstone(false, 8), (vec![], 2));
}

/// Guards against deleting the wrong object: the first attempt deleted the object, and
/// another one of the same name was created before the retry.
#[test]
fn a_retried_delete_does_not_delete_a_new_object_of_the_same_name() {
    for replaced in [false, true] {
        let mut controller = TestController::new();
        let (_, txn) = request_create(&mut controller);
        let put = txn.then.into_iter().find_map(|c| match c {
            Mutation::Put { key, value, .. } if key == name().key() => Some(value),
            _ => None,
        });
        let record = put.as_ref().and_then(Record::decode).expect("an object");
        let put_event = |record: &Record, version| WatchEvent::Put {
            key: name().key(),
            value: encode_value(record),
            version,
        };
        controller.txns.clear();
        controller.request(ApiRequest {
            method: "DELETE".into(),
            target: format!("{JOBS}/one"),
            bearer: Some(TOKEN.into()),
            ..ApiRequest::default()
        });
        controller.answer_refresh(6, vec![put_event(&record, 6)]);
        let (id, _) = controller.txns[0].clone();
        controller.answer_call(id, Err(CallError::NoAnswer));
        let next = Record {
            uid: "another".into(),
            run: 2,
            ..record
        };
        let key = name().key();
        let replacement = vec![WatchEvent::Delete { key, version: 7 }, put_event(&next, 8)];
        controller.answer_refresh(8, if replaced { replacement } else { Vec::new() });
        let responses = if replaced { vec![200] } else { vec![] };
        let transactions = if replaced { 1 } else { 2 };
        assert_eq!(
            (controller.responses, controller.txns.len()),
            (responses, transactions)
        );
    }
}
