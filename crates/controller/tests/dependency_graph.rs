//! The graph of dependencies among open jobs.

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

fn sorted_ids(mut ids: Vec<Rc<str>>) -> String {
    ids.sort();
    ids.join(" ")
}

#[test]
fn job_is_ready_when_its_last_dependency_is_done() {
    let mut g = graph(&[("b", "a"), ("c", "a"), ("d", "b"), ("d", "c"), ("d", "b")]);
    assert_eq!(sorted_ids(g.transitive_dependents("a")), "b c d");
    assert_eq!(sorted_ids(g.job_done("a")), "b c");
    assert_eq!(sorted_ids(g.job_done("b")), "");
    assert!(g.is_blocked("d") && !g.is_blocked("b"));
    assert_eq!(sorted_ids(g.job_done("c")), "d");
    assert!(
        !g.is_blocked("d") && g.blocked_count() == 0 && g.jobs_with_dependents().next().is_none()
    );
}

#[test]
fn removed_dependent_is_not_released_by_its_dependencies() {
    let mut g = graph(&[("b", "a"), ("c", "a"), ("c", "b")]);
    g.remove_dependencies("c");
    assert!(g.is_consistent());
    assert_eq!(sorted_ids(g.transitive_dependents("a")), "b");
    assert!(!g.has_dependents("b"));
    assert_eq!(sorted_ids(g.job_done("a")), "b");
}

/// No submission can create a cycle, but a stored one must not hang a leader.
#[test]
fn traversal_of_a_cycle_terminates() {
    let g = graph(&[("a", "c"), ("b", "a"), ("c", "b"), ("d", "d")]);
    assert_eq!(sorted_ids(g.transitive_dependents("a")), "a b c");
    assert_eq!(sorted_ids(g.transitive_dependents("d")), "d");
}
