//! Golden bytes of answers to users and workers: clients depend on them, so they must not
//! change.

use dillcleat_controller::Answer;
use dillcleat_wire::worker::LeaderRedirect;

#[test]
fn error_answer_keeps_its_bytes() {
    let rejected = Answer {
        status: 404,
        body: b"\x81\xa5error\xabno\x20such\x20job".to_vec(),
        retry_after: None,
    };
    assert_eq!(Answer::refusal(404, "no such job"), rejected);
}

#[test]
fn retry_later_answer_keeps_its_bytes_and_delay() {
    let later = Answer {
        status: 503,
        body: b"\x81\xa5error\xb1too\x20many\x20requests".to_vec(),
        retry_after: Some(1),
    };
    assert_eq!(Answer::retry_later("too many requests"), later);
}

#[test]
fn redirect_to_the_leader_keeps_its_bytes() {
    let redirect = LeaderRedirect {
        leader: Some("n1".into()),
    };
    let answer = Answer {
        status: 421,
        body: b"\x81\xa5clerk\xa2n1".to_vec(),
        retry_after: None,
    };
    assert_eq!(Answer::body(421, &redirect), answer);
}
