//! The dependencies among open jobs, as a directed graph.
//!
//! Derived from the descriptions of the open jobs, and built anew by each leader. An edge
//! is removed only when the end of the dependency is proved by its stored state record, or
//! with the dependent itself: that a job is not among the open ones proves nothing.
//!
//! Not `petgraph`, which is not in the lock file: edges are found by job id from both
//! ends, and removed one by one, which two sorted maps do directly.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

type JobIds = BTreeSet<Rc<str>>;

/// Which open jobs depend on which jobs that are not known to be done.
///
/// Both maps hold the same edges, and no empty set: [`DependencyGraph::is_consistent`]
/// checks it.
#[derive(Debug, Default, PartialEq)]
pub struct DependencyGraph {
    /// What each blocked job still depends on.
    dependencies: BTreeMap<Rc<str>, JobIds>,
    /// The jobs that depend on a job.
    dependents: BTreeMap<Rc<str>, JobIds>,
}

impl DependencyGraph {
    /// Adds that a job depends on another.
    pub fn add(&mut self, job: &Rc<str>, dependency: Rc<str>) {
        let dependencies = self.dependencies.entry(job.clone()).or_default();
        dependencies.insert(dependency.clone());
        let dependents = self.dependents.entry(dependency).or_default();
        dependents.insert(job.clone());
    }

    /// Whether the job depends on any job that is not known to be done.
    pub fn is_blocked(&self, job: &str) -> bool {
        self.dependencies.contains_key(job)
    }

    /// Whether any job depends on this one.
    pub fn has_dependents(&self, job: &str) -> bool {
        self.dependents.contains_key(job)
    }

    /// What the job still depends on.
    pub fn dependencies(&self, job: &str) -> impl Iterator<Item = &Rc<str>> {
        self.dependencies.get(job).into_iter().flatten()
    }

    /// The jobs that depend directly on this one.
    pub fn dependents(&self, job: &str) -> impl Iterator<Item = &Rc<str>> {
        self.dependents.get(job).into_iter().flatten()
    }

    /// The jobs that depend on this one, directly and through others, each once. Ends
    /// also on a stored cycle, which no submission can make.
    pub fn transitive_dependents(&self, job: &str) -> Vec<Rc<str>> {
        let mut seen = JobIds::new();
        let mut found: Vec<Rc<str>> = Vec::new();
        let mut next: Vec<&Rc<str>> = self.dependents(job).collect();
        while let Some(id) = next.pop() {
            if seen.insert(id.clone()) {
                found.push(id.clone());
                next.extend(self.dependents(id));
            }
        }
        found
    }

    /// A job is done: removes the edges to it. Returns the jobs that are not blocked any
    /// more.
    pub fn job_done(&mut self, job: &str) -> Vec<Rc<str>> {
        let mut ready = Vec::new();
        for dependent in self.dependents.remove(job).unwrap_or_default() {
            if let Some(dependencies) = self.dependencies.get_mut(&dependent) {
                dependencies.remove(job);
                if dependencies.is_empty() {
                    self.dependencies.remove(&dependent);
                    ready.push(dependent);
                }
            }
        }
        ready
    }

    /// A job has ended itself: removes what it depends on.
    pub fn remove_dependencies(&mut self, job: &str) {
        for dependency in self.dependencies.remove(job).unwrap_or_default() {
            if let Some(dependents) = self.dependents.get_mut(&dependency) {
                dependents.remove(job);
                if dependents.is_empty() {
                    self.dependents.remove(&dependency);
                }
            }
        }
    }

    /// Whether both directions hold the same edges.
    pub fn is_consistent(&self) -> bool {
        let edge_count =
            |map: &BTreeMap<Rc<str>, JobIds>| map.values().map(BTreeSet::len).sum::<usize>();
        let mut blocked = self.dependencies.iter();
        blocked.all(|(job, dependencies)| {
            let has_reverse = |id| self.dependents.get(id).is_some_and(|ids| ids.contains(job));
            !dependencies.is_empty() && dependencies.iter().all(has_reverse)
        }) && edge_count(&self.dependencies) == edge_count(&self.dependents)
    }

    /// Every job that others depend on.
    pub fn jobs_with_dependents(&self) -> impl Iterator<Item = &Rc<str>> {
        self.dependents.keys()
    }

    /// How many jobs are blocked.
    pub fn blocked_count(&self) -> usize {
        self.dependencies.len()
    }
}
