//! The HTTP requests to the store and the bytes of its responses, which must not change.

mod golden;

use dillcleat_wire::store::{
    KeyValue, LeaseId, MAX_KEYS_PER_PAGE, MAX_TRANSACTION_BYTES, Mutation, Precondition, RangePage,
    StoreRequest, StoreResponse, Transaction, Value, WatchBatch, WatchEvent,
};
use golden::{assert_decodes, assert_matches_golden};

fn number(n: u64) -> Value {
    Value::Map(vec![(Value::from("n"), Value::from(n))])
}

fn row(lease: Option<LeaseId>) -> KeyValue {
    KeyValue {
        key: "s/lead".into(),
        value: number(7),
        version: 12,
        lease,
    }
}

#[test]
fn limits_are_unchanged() {
    assert_eq!((MAX_KEYS_PER_PAGE, MAX_TRANSACTION_BYTES), (1000, 65_536));
}

#[test]
fn key_value_matches_golden_bytes() {
    assert_matches_golden(
        b"\x84\xa1k\xa6s/lead\xa1v\x81\xa1n\x07\xa8entry_no\x0c\xa4loan\x1f",
        &row(Some(LeaseId(31))),
    );
    assert_matches_golden(
        b"\x84\xa1k\xa6s/lead\xa1v\x81\xa1n\x07\xa8entry_no\x0c\xa4loan\xc0",
        &row(None),
    );
    assert_decodes(
        b"\x83\xa1k\xa6s/lead\xa1v\x81\xa1n\x07\xa8entry_no\x0c",
        &row(None),
    );
}

#[test]
fn every_value_type_matches_golden_bytes() {
    let holds = |value| KeyValue {
        key: "x".into(),
        value,
        version: 1,
        lease: None,
    };
    assert_matches_golden(
        b"\x84\xa1k\xa1x\xa1v\xc0\xa8entry_no\x01\xa4loan\xc0",
        &holds(Value::Nil),
    );
    assert_matches_golden(
        b"\
            \x84\xa1k\xa1x\xa1v\x95\xc3\xfd\xce\x00\x01\x11\x70\
            \xcb\x3f\xf8\x00\x00\x00\x00\x00\x00\xa1a\xa8entry_no\x01\xa4loan\xc0",
        &holds(Value::Array(vec![
            Value::from(true),
            Value::from(-3),
            Value::from(70_000),
            Value::from(1.5),
            Value::from("a"),
        ])),
    );
}

#[test]
fn range_page_matches_golden_bytes() {
    let page = RangePage {
        rows: vec![row(Some(LeaseId(31)))],
        more: true,
        revision: 900,
    };
    assert_matches_golden(
        b"\
        \x83\xa4rows\x91\x84\xa1k\xa6s/lead\xa1v\x81\xa1n\x07\xa8entry_no\x0c\xa4loan\x1f\
        \xa4more\xc3\xa9ledger_no\xcd\x03\x84",
        &page,
    );
    let last = RangePage {
        rows: Vec::new(),
        more: false,
        revision: 900,
    };
    assert_matches_golden(
        b"\x83\xa4rows\x90\xa4more\xc2\xa9ledger_no\xcd\x03\x84",
        &last,
    );
    assert_decodes(b"\x82\xa4rows\x90\xa9ledger_no\xcd\x03\x84", &last);
}

fn transaction() -> Transaction {
    Transaction {
        compare: vec![Precondition {
            key: "s/lead".into(),
            version: 12,
        }],
        then: vec![
            Mutation::Put {
                key: "s/term".into(),
                value: number(8),
                lease: None,
            },
            Mutation::Put {
                key: "s/lead".into(),
                value: number(7),
                lease: Some(LeaseId(31)),
            },
            Mutation::Delete {
                key: "q/c/1".into(),
            },
        ],
    }
}

#[test]
fn transaction_with_every_mutation_matches_golden_bytes() {
    assert_matches_golden(
        b"\
            \x82\xa4when\x91\x82\xa1k\xa6s/lead\xa8entry_no\x0c\xa4then\x93\x82\xa3set\xa6s/term\
            \xa1v\x81\xa1n\x08\x83\xa3set\xa6s/lead\xa1v\x81\xa1n\x07\xa4loan\x1f\x81\
            \xa4drop\xa5q/c/1",
        &transaction(),
    );
}

#[test]
fn transaction_without_mutations_matches_golden_bytes() {
    let transaction = Transaction {
        compare: vec![Precondition {
            key: "s/lead".into(),
            version: 0,
        }],
        then: Vec::new(),
    };
    assert_matches_golden(
        b"\x81\xa4when\x91\x82\xa1k\xa6s/lead\xa8entry_no\x00",
        &transaction,
    );
    let empty = Transaction {
        compare: Vec::new(),
        then: Vec::new(),
    };
    assert_matches_golden(b"\x81\xa4when\x90", &empty);
}

#[test]
fn watch_batch_with_every_event_matches_golden_bytes() {
    let changes = WatchBatch {
        revision: 901,
        events: vec![
            WatchEvent::Put {
                key: "q/o/1".into(),
                value: number(7),
                version: 900,
            },
            WatchEvent::Delete {
                key: "q/c/1".into(),
                version: 901,
            },
        ],
    };
    assert_matches_golden(
        b"\
            \x82\xa9ledger_no\xcd\x03\x85\xa6events\x92\x83\xa3set\xa5q/o/1\xa1v\x81\xa1n\x07\
            \xa8entry_no\xcd\x03\x84\x82\xa4drop\xa5q/c/1\xa8entry_no\xcd\x03\x85",
        &changes,
    );
    let empty = WatchBatch {
        revision: 901,
        events: Vec::new(),
    };
    assert_matches_golden(b"\x82\xa9ledger_no\xcd\x03\x85\xa6events\x90", &empty);
    assert_decodes(b"\x81\xa9ledger_no\xcd\x03\x85", &empty);
}

#[test]
fn every_request_matches_golden_http_request() {
    let assert_sends = |request: StoreRequest, method: &str, target: &str, body: &[u8]| {
        let http = request.to_http();
        assert_eq!(
            (http.method, http.target.as_str(), &http.body[..]),
            (method, target, body)
        );
    };
    let get = StoreRequest::Get {
        key: "s/lead".into(),
    };
    assert_sends(get, "GET", "/kv/s/lead", b"");
    let list = StoreRequest::List {
        prefix: "q/o/".into(),
        after: None,
    };
    assert_sends(list, "GET", "/kv?under=q/o/&most=1000", b"");
    let next = StoreRequest::List {
        prefix: "q/o/".into(),
        after: Some("q/o/req-1".into()),
    };
    assert_sends(next, "GET", "/kv?under=q/o/&from=q/o/req-1&most=1000", b"");
    assert_sends(
        StoreRequest::Transaction(transaction()),
        "POST",
        "/txn",
        b"\
            \x82\xa4when\x91\x82\xa1k\xa6s/lead\xa8entry_no\x0c\xa4then\x93\x82\xa3set\xa6s/term\
            \xa1v\x81\xa1n\x08\x83\xa3set\xa6s/lead\xa1v\x81\xa1n\x07\xa4loan\x1f\x81\
            \xa4drop\xa5q/c/1",
    );
    assert_sends(
        StoreRequest::GrantLease { ttl_ms: 1250 },
        "POST",
        "/holds",
        b"\x81\xa6ttl_ms\xcd\x04\xe2",
    );
    let renew = StoreRequest::RenewLease { lease: LeaseId(31) };
    assert_sends(renew, "POST", "/holds/31/extend", b"");
    let revoke = StoreRequest::RevokeLease { lease: LeaseId(31) };
    assert_sends(revoke, "DELETE", "/holds/31", b"");
    let watch = StoreRequest::Watch {
        prefix: "q/".into(),
        after: 900,
        hold_ms: 2000,
    };
    assert_sends(watch, "GET", "/changes?under=q/&from=900&hold_ms=2000", b"");
}

fn every_request() -> [StoreRequest; 7] {
    [
        StoreRequest::Get { key: "x".into() },
        StoreRequest::List {
            prefix: "x".into(),
            after: None,
        },
        StoreRequest::Transaction(transaction()),
        StoreRequest::GrantLease { ttl_ms: 1250 },
        StoreRequest::RenewLease { lease: LeaseId(31) },
        StoreRequest::RevokeLease { lease: LeaseId(31) },
        StoreRequest::Watch {
            prefix: "x".into(),
            after: 900,
            hold_ms: 2000,
        },
    ]
}

#[test]
fn every_response_decodes_as_expected() {
    let assert_response = |request: &StoreRequest, status, body: &[u8], response: StoreResponse| {
        assert_eq!(
            request.parse_response(status, body),
            Ok(response),
            "{request:?}: {status}"
        );
    };
    let [get, list, transaction, grant, renew, revoke, watch] = &every_request();

    assert_response(
        get,
        200,
        b"\x84\xa1k\xa6s/lead\xa1v\x81\xa1n\x07\xa8entry_no\x0c\xa4loan\x1f",
        StoreResponse::Found(row(Some(LeaseId(31)))),
    );
    let absent = StoreResponse::NotFound { revision: 900 };
    assert_response(get, 404, b"\x81\xa9ledger_no\xcd\x03\x84", absent);
    let absent = StoreResponse::NotFound { revision: 0 };
    assert_response(get, 404, b"\x81\xa5error\xabno\x20such\x20key", absent);
    let page = RangePage {
        rows: Vec::new(),
        more: true,
        revision: 900,
    };
    assert_response(
        list,
        200,
        b"\x83\xa4rows\x90\xa4more\xc3\xa9ledger_no\xcd\x03\x84",
        StoreResponse::RangePage(page),
    );
    let committed = StoreResponse::Committed { revision: 901 };
    assert_response(
        transaction,
        200,
        b"\x81\xa9ledger_no\xcd\x03\x85",
        committed,
    );
    let conflict = |revision| StoreResponse::Conflict {
        failed: vec!["s/lead".into()],
        revision,
    };
    assert_response(
        transaction,
        409,
        b"\x82\xa6failed\x91\xa6s/lead\xa9ledger_no\xcd\x03\x85",
        conflict(901),
    );
    assert_response(
        transaction,
        409,
        b"\x81\xa6failed\x91\xa6s/lead",
        conflict(0),
    );
    let no_lease = b"\x81\xa5error\xadno\x20such\x20lease";
    assert_response(transaction, 400, no_lease, StoreResponse::LeaseExpired);
    assert_response(
        transaction,
        400,
        b"\x81\xa5error\xa9too\x20large",
        StoreResponse::Malformed,
    );
    let lease = StoreResponse::Lease { lease: LeaseId(31) };
    assert_response(grant, 200, b"\x81\xa4loan\x1f", lease);
    for request in [renew, revoke] {
        assert_response(request, 200, b"", StoreResponse::LeaseRenewedOrRevoked);
        assert_response(request, 404, b"", StoreResponse::LeaseExpired);
    }
    let changes = WatchBatch {
        revision: 901,
        events: Vec::new(),
    };
    assert_response(
        watch,
        200,
        b"\x82\xa9ledger_no\xcd\x03\x85\xa6events\x90",
        StoreResponse::WatchBatch(changes),
    );
    assert_response(watch, 410, b"", StoreResponse::Compacted);
}

#[test]
fn error_statuses_of_every_request_decode_as_expected() {
    for request in every_request() {
        assert_eq!(
            request.parse_response(429, b""),
            Ok(StoreResponse::RateLimited),
            "{request:?}"
        );
        assert_eq!(
            request.parse_response(503, b""),
            Ok(StoreResponse::Unavailable),
            "{request:?}"
        );
        assert_eq!(
            request.parse_response(400, b""),
            Ok(StoreResponse::Malformed),
            "{request:?}"
        );
        assert!(request.parse_response(500, b"").is_err(), "{request:?}");
    }
}

/// These messages are written to the log.
#[test]
fn unexpected_response_error_messages_are_unchanged() {
    let [get, ..] = &every_request();
    let error = |status, body: &[u8]| get.parse_response(status, body).map_err(|e| e.to_string());
    let form = "the body is not valid MessagePack of the expected form";
    assert_eq!(
        error(500, b""),
        Err(format!("{form}: unexpected status 500"))
    );
    assert_eq!(
        error(409, b""),
        Err(format!("{form}: unexpected status 409"))
    );
    assert_eq!(error(200, b""), Err(format!("{form}: it is empty")));
    assert_eq!(
        error(200, b"\x90"),
        Err("the body is not a map".to_string())
    );
    assert_eq!(
        error(200, b"\x80"),
        Err(format!("{form}: missing field `k`"))
    );
}
