//! Tests of the order in which command batches are dispatched.

use super::*;
use crate::SECOND;

/// Guards against commands being delayed while a new leader announces its fencing token to
/// all machines.
#[test]
fn urgent_batches_are_sent_first_and_have_half_of_the_limit_reserved() {
    let mut dispatch = CommandDispatch::new(4);
    for i in 0..9 {
        dispatch.enqueue(Rc::from(format!("p{i}")), DispatchPriority::Background);
    }
    dispatch.enqueue("p7".into(), DispatchPriority::Urgent);
    dispatch.enqueue_at(SECOND, "late".into(), DispatchPriority::Urgent);
    let mut sent = Vec::new();
    let mut send = |dispatch: &mut CommandDispatch, now| {
        while let Some(machine) = dispatch.next(now) {
            dispatch.record_sent();
            sent.push(machine.to_string());
        }
        std::mem::take(&mut sent)
    };
    assert_eq!(send(&mut dispatch, 0), ["p7", "p0"]);
    for name in ["u0", "u1", "u2"] {
        dispatch.enqueue(name.into(), DispatchPriority::Urgent);
    }
    assert_eq!(
        send(&mut dispatch, 0),
        ["u0", "u1"],
        "four batches are in flight"
    );
    dispatch.record_finished();
    assert_eq!(
        send(&mut dispatch, SECOND),
        ["late"],
        "delayed batches are sent in the order of names once they are due"
    );
    dispatch.record_finished();
    assert_eq!(send(&mut dispatch, SECOND), ["u2"]);
    for _ in 0..4 {
        dispatch.record_finished();
    }
    assert_eq!(send(&mut dispatch, SECOND), ["p1", "p2"]);
}
