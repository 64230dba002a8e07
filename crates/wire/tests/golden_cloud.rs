//! The HTTP requests to the cloud and the bytes of its responses, which must not change.

mod golden;

use dillcleat_wire::cloud::{
    CloudRequest, CloudResponse, ListedMachine, MAX_MACHINES_PER_DELETION, MAX_MACHINES_PER_PAGE,
    MAX_MACHINES_PER_SCALE_OUT, MachineList, MachineNames, MachineState, MachineType, MachineTypes,
    ScaleOut,
};
use golden::{assert_decodes, assert_matches_golden};

fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 32.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 0.5,
        price: 2.25,
        spot_price: Some(0.75),
        boot_s: 40.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn plain_machine_type() -> MachineType {
    MachineType {
        name: "c2".into(),
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 4.0,
        cache_gb: 0.0,
        fetch_gb_per_s: 0.0,
        price: 0.5,
        spot_price: None,
        boot_s: 0.0,
        zones: Vec::new(),
    }
}

#[test]
fn limits_are_unchanged() {
    assert_eq!(
        (
            MAX_MACHINES_PER_SCALE_OUT,
            MAX_MACHINES_PER_DELETION,
            MAX_MACHINES_PER_PAGE
        ),
        (50, 100, 500)
    );
}

#[test]
fn machine_types_match_golden_bytes() {
    let types = MachineTypes {
        types: vec![machine_type(), plain_machine_type()],
    };
    assert_matches_golden(
        b"\
        \x81\xa7formats\x92\x8a\xa4name\xa2g8\xa5vcpus\xcb\x40\x20\x00\x00\x00\x00\x00\x00\
        \xacaccelerators\xcb\x3f\xf0\x00\x00\x00\x00\x00\x00\
        \xa6ram_gb\xcb\x40\x40\x00\x00\x00\x00\x00\x00\
        \xa8cache_gb\xcb\x40\x59\x00\x00\x00\x00\x00\x00\
        \xadpull_gb_per_s\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\
        \xa4rate\xcb\x40\x02\x00\x00\x00\x00\x00\x00\
        \xa9low_price\xcb\x3f\xe8\x00\x00\x00\x00\x00\x00\
        \xa6boot_s\xcb\x40\x44\x00\x00\x00\x00\x00\x00\xa5rooms\x92\xa1a\xa1b\x8a\xa4name\xa2c2\
        \xa5vcpus\xcb\x40\x00\x00\x00\x00\x00\x00\x00\
        \xacaccelerators\xcb\x00\x00\x00\x00\x00\x00\x00\x00\
        \xa6ram_gb\xcb\x40\x10\x00\x00\x00\x00\x00\x00\
        \xa8cache_gb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\
        \xadpull_gb_per_s\xcb\x00\x00\x00\x00\x00\x00\x00\x00\
        \xa4rate\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xa9low_price\xc0\
        \xa6boot_s\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa5rooms\x90",
        &types,
    );
}

#[test]
fn optional_fields_of_machine_type_have_defaults() {
    assert_decodes(
        b"\
            \x85\xa4name\xa2c2\xa5vcpus\xcb\x40\x00\x00\x00\x00\x00\x00\x00\
            \xa6ram_gb\xcb\x40\x10\x00\x00\x00\x00\x00\x00\
            \xa4rate\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\xa5rooms\x90",
        &plain_machine_type(),
    );
}

fn listed(state: MachineState) -> ListedMachine {
    ListedMachine {
        name: "host-1".into(),
        addr: Some("10.1.0.1:9000".into()),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        state,
        age_s: 12.5,
    }
}

#[test]
fn every_machine_state_matches_golden_bytes() {
    assert_matches_golden(
        b"\
        \x87\xa3ref\xa6host-1\xa4addr\xad10.1.0.1:9000\xa6format\xa2g8\xa4room\xa1a\
        \xaaremainders\xc3\xa9condition\xa8starting\
        \xa6held_s\xcb\x40\x29\x00\x00\x00\x00\x00\x00",
        &listed(MachineState::Booting),
    );
    assert_matches_golden(
        b"\
        \x87\xa3ref\xa6host-1\xa4addr\xad10.1.0.1:9000\xa6format\xa2g8\xa4room\xa1a\
        \xaaremainders\xc3\xa9condition\xa7running\xa6held_s\xcb\x40\x29\x00\x00\x00\x00\x00\x00",
        &listed(MachineState::Running),
    );
    assert_matches_golden(
        b"\
        \x87\xa3ref\xa6host-1\xa4addr\xad10.1.0.1:9000\xa6format\xa2g8\xa4room\xa1a\
        \xaaremainders\xc3\xa9condition\xa6failed\xa6held_s\xcb\x40\x29\x00\x00\x00\x00\x00\x00",
        &listed(MachineState::Failed),
    );
    assert_matches_golden(
        b"\
        \x87\xa3ref\xa6host-1\xa4addr\xad10.1.0.1:9000\xa6format\xa2g8\xa4room\xa1a\
        \xaaremainders\xc3\xa9condition\xa5Other\xa6held_s\xcb\x40\x29\x00\x00\x00\x00\x00\x00",
        &listed(MachineState::Other),
    );
}

#[test]
fn unknown_machine_state_decodes_as_other() {
    assert_decodes(
        b"\
        \x87\xa3ref\xa6host-1\xa4addr\xad10.1.0.1:9000\xa6format\xa2g8\xa4room\xa1a\
        \xaaremainders\xc3\xa9condition\xa7melting\xa6held_s\xcb\x40\x29\x00\x00\x00\x00\x00\x00",
        &listed(MachineState::Other),
    );
}

fn bare_machine() -> ListedMachine {
    ListedMachine {
        name: "host-2".into(),
        addr: None,
        machine_type: "c2".into(),
        zone: "b".into(),
        spot: false,
        state: MachineState::Booting,
        age_s: 0.0,
    }
}

#[test]
fn machine_list_matches_golden_bytes() {
    let list = MachineList {
        machines: vec![bare_machine()],
        more: true,
    };
    assert_matches_golden(
        b"\
            \x82\xa7shelves\x91\x87\xa3ref\xa6host-2\xa4addr\xc0\xa6format\xa2c2\xa4room\xa1b\
            \xaaremainders\xc2\xa9condition\xa8starting\
            \xa6held_s\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4more\xc3",
        &list,
    );
    let last = MachineList {
        machines: vec![bare_machine()],
        more: false,
    };
    assert_decodes(
        b"\
        \x81\xa7shelves\x91\x85\xa3ref\xa6host-2\xa6format\xa2c2\xa4room\xa1b\xaaremainders\xc2\
        \xa9condition\xa8starting",
        &last,
    );
}

fn scale_out() -> ScaleOut {
    ScaleOut {
        idempotency_key: "n0-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 50,
    }
}

#[test]
fn request_bodies_match_golden_bytes() {
    assert_matches_golden(
        b"\x85\xa9hire_note\xa5n0-17\xa6format\xa2g8\xa4room\xa1a\xaaremainders\xc3\xa5count\x32",
        &scale_out(),
    );
    let names = MachineNames {
        machines: vec!["host-1".into(), "host-2".into()],
    };
    assert_matches_golden(b"\x81\xa7shelves\x92\xa6host-1\xa6host-2", &names);
}

#[test]
fn every_request_matches_golden_http_request() {
    let assert_sends = |request: CloudRequest, method: &str, target: &str, body: &[u8]| {
        let http = request.to_http();
        assert_eq!(
            (http.method, http.target.as_str(), &http.body[..]),
            (method, target, body)
        );
    };
    assert_sends(CloudRequest::Types, "GET", "/flavors", b"");
    assert_sends(
        CloudRequest::ScaleOut(scale_out()),
        "POST",
        "/hosts",
        b"\
            \x85\xa9hire_note\xa5n0-17\xa6format\xa2g8\xa4room\xa1a\xaaremainders\xc3\
            \xa5count\x32",
    );
    assert_sends(
        CloudRequest::Delete(vec!["host-1".into(), "host-2".into()]),
        "POST",
        "/hosts/delete",
        b"\x81\xa7shelves\x92\xa6host-1\xa6host-2",
    );
    assert_sends(
        CloudRequest::List { after: None },
        "GET",
        "/hosts?most=500",
        b"",
    );
    assert_sends(
        CloudRequest::List {
            after: Some("host-1".into()),
        },
        "GET",
        "/hosts?from=host-1&most=500",
        b"",
    );
}

#[test]
fn every_response_decodes_as_expected() {
    let assert_response = |request: &CloudRequest, status, body: &[u8], response: CloudResponse| {
        assert_eq!(
            request.parse_response(status, body),
            Ok(response),
            "{request:?}: {status}"
        );
    };
    let types = CloudRequest::Types;
    let scale_out = CloudRequest::ScaleOut(scale_out());
    let delete = CloudRequest::Delete(vec!["host-1".into()]);
    let list = CloudRequest::List { after: None };

    assert_response(
        &types,
        200,
        b"\
            \x81\xa7formats\x91\x8a\xa4name\xa2g8\xa5vcpus\xcb\x40\x20\x00\x00\x00\x00\x00\x00\
            \xacaccelerators\xcb\x3f\xf0\x00\x00\x00\x00\x00\x00\
            \xa6ram_gb\xcb\x40\x40\x00\x00\x00\x00\x00\x00\
            \xa8cache_gb\xcb\x40\x59\x00\x00\x00\x00\x00\x00\
            \xadpull_gb_per_s\xcb\x3f\xe0\x00\x00\x00\x00\x00\x00\
            \xa4rate\xcb\x40\x02\x00\x00\x00\x00\x00\x00\
            \xa9low_price\xcb\x3f\xe8\x00\x00\x00\x00\x00\x00\
            \xa6boot_s\xcb\x40\x44\x00\x00\x00\x00\x00\x00\xa5rooms\x92\xa1a\xa1b",
        CloudResponse::Types(vec![machine_type()]),
    );
    assert_response(
        &scale_out,
        200,
        b"\x81\xa7shelves\x91\xa6host-1",
        CloudResponse::ScaledOut(vec!["host-1".into()]),
    );
    assert_response(&delete, 200, b"", CloudResponse::Deleted);
    assert_response(
        &list,
        200,
        b"\
            \x82\xa7shelves\x91\x85\xa3ref\xa6host-2\xa6format\xa2c2\xa4room\xa1b\
            \xaaremainders\xc2\xa9condition\xa8starting\xa4more\xc3",
        CloudResponse::Listed(MachineList {
            machines: vec![bare_machine()],
            more: true,
        }),
    );
    let no_capacity = b"\x81\xa5error\xabno\x20capacity";
    assert_response(&scale_out, 503, no_capacity, CloudResponse::NoCapacity);
    assert_response(
        &list,
        503,
        no_capacity,
        CloudResponse::RateLimitedOrUnavailable { status: 503 },
    );
    let other = b"\x81\xa5error\xa4down";
    assert_response(
        &scale_out,
        503,
        other,
        CloudResponse::RateLimitedOrUnavailable { status: 503 },
    );
    for request in [&types, &scale_out, &delete, &list] {
        assert_response(
            request,
            429,
            b"",
            CloudResponse::RateLimitedOrUnavailable { status: 429 },
        );
        assert_response(
            request,
            503,
            b"",
            CloudResponse::RateLimitedOrUnavailable { status: 503 },
        );
        assert_response(request, 400, b"", CloudResponse::Malformed);
        assert_response(request, 404, b"", CloudResponse::Malformed);
        assert!(request.parse_response(500, b"").is_err(), "{request:?}");
    }
}
