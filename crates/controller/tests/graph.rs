//! Which jobs wait for which.

use dillcleat_controller::dependency_graph::DependencyGraph;
use std::rc::Rc;

fn graph(edges: &[(&str, &str)]) -> DependencyGraph {
    let mut graph = DependencyGraph::default();
    for (job, dependency) in edges {
        graph.add(&Rc::from(*job), Rc::from(*dependency));
    }
    assert!(graph.is_sound());
    graph
}

fn names(mut ids: Vec<Rc<str>>) -> String {
    ids.sort();
    ids.join(" ")
}

#[test]
fn a_join_is_ready_when_the_last_is_done() {
    let mut g = graph(&[("b", "a"), ("c", "a"), ("d", "b"), ("d", "c"), ("d", "b")]);
    assert_eq!(names(g.downstream("a")), "b c d");
    assert_eq!(names(g.done("a")), "b c");
    assert_eq!(names(g.done("b")), "");
    assert!(g.waits("d") && !g.waits("b"));
    assert_eq!(names(g.done("c")), "d");
    assert!(!g.waits("d") && g.waiting() == 0 && g.awaited().next().is_none());
}

#[test]
fn who_ends_itself_waits_no_more() {
    let mut g = graph(&[("b", "a"), ("c", "a"), ("c", "b")]);
    g.remove("c");
    assert!(g.is_sound());
    assert_eq!(names(g.downstream("a")), "b");
    assert!(!g.needed("b"));
    assert_eq!(names(g.done("a")), "b");
}

/// No submission makes one. What is stored must not hang a leader all the same.
#[test]
fn a_stored_cycle_ends() {
    let g = graph(&[("a", "c"), ("b", "a"), ("c", "b"), ("d", "d")]);
    assert_eq!(names(g.downstream("a")), "a b c");
    assert_eq!(names(g.downstream("d")), "d");
}
