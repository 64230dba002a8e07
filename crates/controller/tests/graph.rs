//! Which jobs wait for which.

use dillcleat_controller::dependency_graph::DependencyGraph;
use std::rc::Rc;

fn graph(edges: &[(&str, &str)]) -> DependencyGraph {
    let mut graph = DependencyGraph::default();
    for (job, dependency) in edges {
        graph.add(&Rc::from(*job), Rc::from(*dependency));
    }
    assert!(graph.is_consistent());
    graph
}

fn names(mut ids: Vec<Rc<str>>) -> String {
    ids.sort();
    ids.join(" ")
}

#[test]
fn a_join_is_ready_when_the_last_is_done() {
    let mut g = graph(&[("b", "a"), ("c", "a"), ("d", "b"), ("d", "c"), ("d", "b")]);
    assert_eq!(names(g.transitive_dependents("a")), "b c d");
    assert_eq!(names(g.job_done("a")), "b c");
    assert_eq!(names(g.job_done("b")), "");
    assert!(g.is_blocked("d") && !g.is_blocked("b"));
    assert_eq!(names(g.job_done("c")), "d");
    assert!(
        !g.is_blocked("d") && g.blocked_count() == 0 && g.jobs_with_dependents().next().is_none()
    );
}

#[test]
fn who_ends_itself_waits_no_more() {
    let mut g = graph(&[("b", "a"), ("c", "a"), ("c", "b")]);
    g.remove_dependencies("c");
    assert!(g.is_consistent());
    assert_eq!(names(g.transitive_dependents("a")), "b");
    assert!(!g.has_dependents("b"));
    assert_eq!(names(g.job_done("a")), "b");
}

/// No submission makes one. What is stored must not hang a leader all the same.
#[test]
fn a_stored_cycle_ends() {
    let g = graph(&[("a", "c"), ("b", "a"), ("c", "b"), ("d", "d")]);
    assert_eq!(names(g.transitive_dependents("a")), "a b c");
    assert_eq!(names(g.transitive_dependents("d")), "d");
}
