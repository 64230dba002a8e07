//! The paths and bytes of the worker protocol, which must not change.

mod golden;

use dillcleat_wire::TaskName;
use dillcleat_wire::worker::{
    COMMANDS_PATH, Command, CommandBatch, ExitReason, HEARTBEAT_PATH, Heartbeat, HeartbeatReply,
    LeaderRedirect, TaskState, TaskStatus,
};
use golden::{assert_decodes, assert_matches_golden};

fn task(index: u32) -> TaskName {
    TaskName {
        job: "req-1".into(),
        index,
    }
}

#[test]
fn paths_are_unchanged() {
    assert_eq!(HEARTBEAT_PATH, "/checkin");
    assert_eq!(COMMANDS_PATH, "/orders");
}

#[test]
fn every_command_matches_golden_bytes() {
    let launch = HeartbeatReply {
        fencing_token: 9,
        commands: vec![Command::Launch {
            task: task(0),
            attempt: 1,
        }],
    };
    assert_matches_golden(
        b"\
            \x82\xa4seal\x09\xa5slips\x91\x83\xa9slip_kind\xa6launch\xa4leaf\xa7req-1/0\
            \xa8printing\x01",
        &launch,
    );
    let stop = HeartbeatReply {
        fencing_token: 300,
        commands: vec![Command::Stop {
            task: task(12),
            attempt: 70_000,
            grace_s: 30,
        }],
    };
    assert_matches_golden(
        b"\
            \x82\xa4seal\xcd\x01\x2c\xa5slips\x91\x84\xa9slip_kind\xa4stop\xa4leaf\xa8req-1/12\
            \xa8printing\xce\x00\x01\x11\x70\xa9closing_s\x1e",
        &stop,
    );
    let reap = HeartbeatReply {
        fencing_token: 0,
        commands: vec![Command::Reap {
            task: task(99_999),
            attempt: 2,
        }],
    };
    assert_matches_golden(
        b"\
            \x82\xa4seal\x00\xa5slips\x91\x83\xa9slip_kind\xa4reap\xa4leaf\xabreq-1/99999\
            \xa8printing\x02",
        &reap,
    );
}

#[test]
fn heartbeat_reply_without_commands_matches_golden_bytes() {
    let reply = HeartbeatReply {
        fencing_token: 9,
        commands: Vec::new(),
    };
    assert_matches_golden(b"\x82\xa4seal\x09\xa5slips\x90", &reply);
}

#[test]
fn command_batch_matches_golden_bytes() {
    let batch = CommandBatch {
        fencing_token: 9,
        incarnation: 4,
        commands: vec![
            Command::Launch {
                task: task(0),
                attempt: 1,
            },
            Command::Stop {
                task: task(1),
                attempt: 2,
                grace_s: 0,
            },
        ],
    };
    assert_matches_golden(
        b"\
            \x83\xa4seal\x09\xa6tenure\x04\xa5slips\x92\x83\xa9slip_kind\xa6launch\
            \xa4leaf\xa7req-1/0\xa8printing\x01\x84\xa9slip_kind\xa4stop\xa4leaf\xa7req-1/1\
            \xa8printing\x02\xa9closing_s\x00",
        &batch,
    );
}

#[test]
fn leader_redirect_matches_golden_bytes() {
    let known = LeaderRedirect {
        leader: Some("n1".into()),
    };
    assert_matches_golden(b"\x81\xa5clerk\xa2n1", &known);
    let unknown = LeaderRedirect { leader: None };
    assert_matches_golden(b"\x80", &unknown);
}

fn task_status(state: TaskState, reason: Option<ExitReason>, saved: Option<bool>) -> TaskStatus {
    TaskStatus {
        task: task(3),
        attempt: 5,
        state,
        reason,
        checkpoint_saved: saved,
    }
}

#[test]
fn every_task_state_matches_golden_bytes() {
    let assert_case =
        |bytes: &[u8], state| assert_matches_golden(bytes, &task_status(state, None, None));
    assert_case(
        b"\x83\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa7pulling",
        TaskState::Downloading,
    );
    assert_case(
        b"\x83\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa7running",
        TaskState::Running,
    );
    assert_case(
        b"\x83\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa8flushing",
        TaskState::SavingCheckpoint,
    );
    assert_case(
        b"\x83\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa5ended",
        TaskState::Exited,
    );
    assert_case(
        b"\x83\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa5Other",
        TaskState::Other,
    );
}

#[test]
fn unknown_task_state_decodes_as_other() {
    assert_decodes(
        b"\x83\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa8painting",
        &task_status(TaskState::Other, None, None),
    );
}

#[test]
fn every_exit_reason_matches_golden_bytes() {
    let assert_case = |bytes: &[u8], reason| {
        assert_matches_golden(bytes, &task_status(TaskState::Exited, Some(reason), None));
    };
    assert_case(
        b"\x84\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa5ended\xa8colophon\xa4done",
        ExitReason::Done,
    );
    assert_case(
        b"\x84\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa5ended\xa8colophon\xa6halted",
        ExitReason::Stopped,
    );
    assert_case(
        b"\x84\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa5ended\xa8colophon\xa5error",
        ExitReason::Error,
    );
    assert_case(
        b"\x84\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa5ended\xa8colophon\xa7no_room",
        ExitReason::InsufficientResources,
    );
    assert_case(
        b"\x84\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa5ended\xa8colophon\xa6in_use",
        ExitReason::OtherAttemptPresent,
    );
    assert_case(
        b"\x84\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa5ended\xa8colophon\xa7no_such",
        ExitReason::UnknownTask,
    );
    assert_case(
        b"\x84\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa5ended\xa8colophon\xa5Other",
        ExitReason::Other,
    );
}

#[test]
fn unknown_exit_reason_decodes_as_other() {
    let status = task_status(TaskState::Exited, Some(ExitReason::Other), None);
    assert_decodes(
        b"\x84\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa5ended\xa8colophon\xa5burnt",
        &status,
    );
}

#[test]
fn checkpoint_flag_matches_golden_bytes() {
    let saved = |saved| task_status(TaskState::Exited, Some(ExitReason::Stopped), Some(saved));
    assert_matches_golden(
        b"\
        \x85\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa5ended\xa8colophon\xa6halted\
        \xa4kept\xc3",
        &saved(true),
    );
    assert_matches_golden(
        b"\
        \x85\xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa5ended\xa8colophon\xa6halted\
        \xa4kept\xc2",
        &saved(false),
    );
}

fn heartbeat(notice_s: Option<f64>, tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: "host-1".into(),
        addr: "10.1.0.1:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 4,
        sequence: 1_000,
        fencing_token: 9,
        interruption_notice_s: notice_s,
        tasks,
    }
}

#[test]
fn heartbeat_matches_golden_bytes() {
    assert_matches_golden(
        b"\
            \x8a\xa5shelf\xa6host-1\xa4addr\xad10.1.0.1:9000\xa6format\xa2g8\xa4room\xa1a\
            \xaaremainders\xc3\xa6tenure\x04\xa5folio\xcd\x03\xe8\xa4seal\x09\xa8recall_s\xc0\
            \xa6leaves\x90",
        &heartbeat(None, Vec::new()),
    );
    assert_matches_golden(
        b"\
            \x8a\xa5shelf\xa6host-1\xa4addr\xad10.1.0.1:9000\xa6format\xa2g8\xa4room\xa1a\
            \xaaremainders\xc3\xa6tenure\x04\xa5folio\xcd\x03\xe8\xa4seal\x09\
            \xa8recall_s\xcb\x40\x3b\x80\x00\x00\x00\x00\x00\xa6leaves\x91\x83\
            \xa4leaf\xa7req-1/3\xa8printing\x05\xa9condition\xa7running",
        &heartbeat(
            Some(27.5),
            vec![task_status(TaskState::Running, None, None)],
        ),
    );
}

#[test]
fn heartbeat_without_reclaim_notice_or_with_unknown_key_is_decoded() {
    assert_decodes(
        b"\
            \x89\xa5shelf\xa6host-1\xa4addr\xad10.1.0.1:9000\xa6format\xa2g8\xa4room\xa1a\
            \xaaremainders\xc3\xa6tenure\x04\xa5folio\xcd\x03\xe8\xa4seal\x09\xa6leaves\x90",
        &heartbeat(None, Vec::new()),
    );
    assert_decodes(
        b"\
            \x8a\xa5shelf\xa6host-1\xa4addr\xad10.1.0.1:9000\xa6format\xa2g8\xa4room\xa1a\
            \xaaremainders\xc3\xa6tenure\x04\xa5folio\xcd\x03\xe8\xa4seal\x09\xa6colour\xa3red\
            \xa6leaves\x90",
        &heartbeat(None, Vec::new()),
    );
}
