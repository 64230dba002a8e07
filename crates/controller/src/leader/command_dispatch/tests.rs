//! Which machines are sent commands first.

use super::*;
use crate::SECOND;

/// While every machine is to see the fencing token of a new leader, launches and stops do
/// not wait behind that, and a machine that does not answer is tried again later.
#[test]
fn commands_go_first_and_half_of_the_turns_are_theirs() {
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
    assert_eq!(send(&mut dispatch, 0), ["u0", "u1"], "four are under way");
    dispatch.record_finished();
    assert_eq!(
        send(&mut dispatch, SECOND),
        ["late"],
        "by name, once it is time"
    );
    dispatch.record_finished();
    assert_eq!(send(&mut dispatch, SECOND), ["u2"]);
    for _ in 0..4 {
        dispatch.record_finished();
    }
    assert_eq!(send(&mut dispatch, SECOND), ["p1", "p2"]);
}
