//! A change is carried out and its answer is lost, and somebody else changes the object
//! before the controller tries again.

use dillcleat_controller::records::{self, MachineTypesRecord};
use dillcleat_controller::{
    CallError, CallId, Config, Input, Node, Output, RequestId, SECOND, Timestamp, Tuning,
};
use dillcleat_kube::record::{Gone, Kind, Name, Record};
use dillcleat_kube::{ApiRequest, Controller, ControllerOutput, Rules, Settings, SigningKey};
use dillcleat_wire::cloud::MachineType;
use dillcleat_wire::settings::PlatformSettings;
use dillcleat_wire::store::{
    KeyValue, Mutation, RangePage, StoreRequest, StoreResponse, Transaction, Value, WatchBatch,
    WatchEvent, encode_value,
};
use serde_json::json;

const TOKEN: &str = "a-token-for-tests";
const JOBS: &str = "/apis/batch/v1/namespaces/books/jobs";

/// Names of the class `merge`, which is every job's here, may be used again.
fn rules() -> Rules {
    let key = SigningKey::parse(&"5c".repeat(32)).expect("a key");
    let text = format!(
        "listen = \"127.0.0.1:1\"\nkey_file = \"none\"\nclass = \"merge\"\nrepeats = [\"merge\"]\n\
         [[tokens]]\nname = \"all\"\nmac = \"{}\"\nnamespaces = [\"*\"]\nverbs = [\"*\"]\n",
        key.token(TOKEN)
    );
    let table: toml::Table = toml::from_str(&text).expect("toml");
    let settings = Settings::read(toml::Value::Table(table)).expect("good settings");
    Rules::new(settings, key)
}

fn row(key: String, value: Value, version: u64) -> KeyValue {
    KeyValue {
        key,
        value,
        version,
        lease: None,
    }
}

struct Driven {
    controller: Controller,
    txns: Vec<(CallId, Transaction)>,
    gets: Vec<CallId>,
    /// Looks at what has changed.
    looks: Vec<CallId>,
    replies: Vec<u16>,
}

impl Driven {
    /// A controller that knows the machine types, and of no object as of revision 5.
    fn new() -> Driven {
        let text = include_str!("../../../deploy/example-node.toml");
        let platform = PlatformSettings::parse(text).expect("good settings");
        let node = Node::new(Config::new(&platform, Tuning::default()));
        let mut driven = Driven {
            controller: Controller::new(node, Some(rules())),
            txns: Vec::new(),
            gets: Vec::new(),
            looks: Vec::new(),
            replies: Vec::new(),
        };
        driven.feed(Input::Tick);
        driven
    }

    fn feed(&mut self, input: Input) {
        let out = self.controller.handle(now(), input);
        self.take(out);
    }

    fn take(&mut self, out: Vec<ControllerOutput>) {
        for out in out {
            match out {
                ControllerOutput::Reply { reply, .. } => self.replies.push(reply.status),
                ControllerOutput::Core(Output::Store { id, call, .. }) => match call {
                    StoreRequest::List { prefix, .. } => {
                        let rows = match prefix.as_str() {
                            records::SHARED_PREFIX => vec![types()],
                            _ => Vec::new(),
                        };
                        let reply = StoreResponse::RangePage(RangePage {
                            rows,
                            more: false,
                            revision: 5,
                        });
                        self.answer(id, Ok(reply));
                    }
                    StoreRequest::Transaction(txn) => self.txns.push((id, txn)),
                    StoreRequest::Get { .. } => self.gets.push(id),
                    StoreRequest::Watch { hold_ms: 0, .. } => self.looks.push(id),
                    _ => {}
                },
                _ => {}
            }
        }
    }

    fn ask(&mut self, ask: ApiRequest) {
        let out = self.controller.ask(now(), RequestId(1), ask);
        self.take(out);
    }

    /// The oldest look finds these changes.
    fn look(&mut self, revision: u64, events: Vec<WatchEvent>) {
        let id = self.looks.remove(0);
        let changes = WatchBatch { revision, events };
        self.answer(id, Ok(StoreResponse::WatchBatch(changes)));
    }

    fn answer(&mut self, id: CallId, reply: Result<StoreResponse, CallError>) {
        self.feed(Input::Store { id, reply });
    }
}

fn now() -> Timestamp {
    Timestamp {
        monotonic: 1000 * SECOND,
        wall: 1000 * SECOND,
    }
}

fn types() -> KeyValue {
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

/// Asks for an object; returns the transaction that is sent.
fn created(driven: &mut Driven) -> (CallId, Transaction) {
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
    let ask = ApiRequest {
        method: "POST".into(),
        target: JOBS.into(),
        bearer: Some(TOKEN.into()),
        body: body.to_string().into_bytes(),
        ..ApiRequest::default()
    };
    driven.ask(ask);
    assert!(driven.replies.is_empty(), "{:?}", driven.replies);
    driven.txns.last().cloned().expect("it is sent")
}

/// A create whose first answer is lost, and whose name has left a record of this version
/// when it is tried again. Returns what the client is told, and how many transactions
/// were sent.
fn create(lost: bool, left: u64) -> (Vec<u16>, usize) {
    let mut driven = Driven::new();
    let (first, _) = created(&mut driven);
    if lost {
        driven.answer(first, Err(CallError::NoAnswer));
    }
    let (id, _) = driven.txns.last().cloned().expect("it is tried again");
    let conflict = StoreResponse::Conflict {
        failed: vec![name().deleted_key()],
        revision: 9,
    };
    driven.answer(id, Ok(conflict));
    let gone = Gone {
        uid: "u".into(),
        run: 1,
        job: Some("req-1".into()),
    };
    let get = driven.gets.pop().expect("what it left is read");
    let found = StoreResponse::Found(row(name().deleted_key(), encode_value(&gone), left));
    driven.answer(get, Ok(found));
    (driven.replies, driven.txns.len())
}

/// The object may be ours, and whoever saw it has deleted it: made again, it ran again.
#[test]
fn an_object_deleted_while_its_create_was_tried_is_not_made_again() {
    assert_eq!(create(true, 8), (vec![409], 2));
    // It was deleted before the request came: the name is used again.
    assert_eq!(create(true, 4), (vec![], 3));
    // No earlier try of this request can have made it.
    assert_eq!(create(false, 8), (vec![], 2));
}

/// The first try deleted the object, and another one of its name was made before the
/// second: that one is nobody's wish to delete.
#[test]
fn a_delete_that_is_tried_again_deletes_no_other_object() {
    for replaced in [false, true] {
        let mut driven = Driven::new();
        let (_, txn) = created(&mut driven);
        let put = txn.then.into_iter().find_map(|c| match c {
            Mutation::Put { key, value, .. } if key == name().key() => Some(value),
            _ => None,
        });
        let record = put.as_ref().and_then(Record::read).expect("an object");
        let made = |record: &Record, version| WatchEvent::Put {
            key: name().key(),
            value: encode_value(record),
            version,
        };
        driven.txns.clear();
        driven.ask(ApiRequest {
            method: "DELETE".into(),
            target: format!("{JOBS}/one"),
            bearer: Some(TOKEN.into()),
            ..ApiRequest::default()
        });
        driven.look(6, vec![made(&record, 6)]);
        let (id, _) = driven.txns[0].clone();
        driven.answer(id, Err(CallError::NoAnswer));
        let next = Record {
            uid: "another".into(),
            run: 2,
            ..record
        };
        let key = name().key();
        let between = vec![WatchEvent::Delete { key, version: 7 }, made(&next, 8)];
        driven.look(8, if replaced { between } else { Vec::new() });
        let told = if replaced { vec![200] } else { vec![] };
        let sent = if replaced { 1 } else { 2 };
        assert_eq!((driven.replies, driven.txns.len()), (told, sent));
    }
}
