//! The answers to users and workers that are made in the core, as version 84a8104 makes
//! them.

use dillcleat_controller::Answer;
use dillcleat_wire::worker::LeaderRedirect;

#[test]
fn a_refusal_keeps_its_bytes() {
    let refused = Answer {
        status: 404,
        body: b"\x81\xa5error\xabno\x20such\x20job".to_vec(),
        retry_after: None,
    };
    assert_eq!(Answer::refusal(404, "no such job"), refused);
}

#[test]
fn a_refusal_for_now_says_when_to_come_back() {
    let later = Answer {
        status: 503,
        body: b"\x81\xa5error\xb1too\x20many\x20requests".to_vec(),
        retry_after: Some(1),
    };
    assert_eq!(Answer::retry_later("too many requests"), later);
}

#[test]
fn a_body_is_a_map_with_text_keys() {
    let elsewhere = LeaderRedirect {
        leader: Some("n1".into()),
    };
    let answer = Answer {
        status: 421,
        body: b"\x81\xa5clerk\xa2n1".to_vec(),
        retry_after: None,
    };
    assert_eq!(Answer::body(421, &elsewhere), answer);
}
