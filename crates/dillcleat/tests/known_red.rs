//! The script `.ci/known-red`, which checks KNOWN-RED.txt, the list of tests that may fail.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file in the target folder");
    path
}

/// Runs the script on a list with these lines.
fn run_script(name: &str, lines: &str) -> Output {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let tests = "one: test\ntwo::of: test\ntwice: test\ntwice: test\nthree: test\nfour: test\n";
    let list = write_file(&format!("{name}.txt"), lines);
    let command = &mut Command::new("bash");
    command.arg(script).arg(list);
    let tests = write_file(&format!("{name}-tests.txt"), tests);
    command.arg(tests).output().expect("bash runs")
}

#[test]
fn invalid_entries_and_more_than_three_entries_are_rejected() {
    let good = "one | a late answer | issue 33\ntwo::of | the same | issue 34\n";
    let o = run_script("good", good);
    assert!(o.status.success(), "{o:?}");
    assert_eq!(o.stdout, b"one\ntwo::of\n");
    assert!(run_script("empty", "").status.success());
    for (name, bad) in [
        ("no-issue", "one | a late answer"),
        ("no-cause", "one |  | issue 33"),
        ("odd-issue", "one | a late answer | issue"),
        ("blank", "one | a late answer | issue 33\n\n"),
        ("no-test", "five | a late answer | issue 33"),
        ("part-of-a-name", "tw | a late answer | issue 33"),
        ("two-tests", "twice | a late answer | issue 33"),
        (
            "fourth",
            "one | c | issue 1\ntwo::of | c | issue 1\nthree | c | issue 1\nfour | c | issue 1",
        ),
    ] {
        let o = run_script(name, bad);
        assert!(!o.status.success(), "{name}");
        assert!(!o.stderr.is_empty(), "{name}: no error message");
    }
}
