//! The dependencies among open jobs, as a directed graph.
//!
//! Each leader builds the graph from the descriptions of the open jobs. An edge is removed
//! only when the dependent job ends, or when the stored state record of the dependency
//! proves its end. A dependency that is not among the
//! open jobs has not necessarily ended.
//!
//! Two sorted maps suffice instead of a graph library: edges are looked up by job id from
//! both ends and removed one by one.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

type JobIds = BTreeSet<Rc<str>>;

/// The dependencies of open jobs on jobs that are not known to be done.
///
/// Invariant: both maps contain the same edges and no empty set (see
/// [`DependencyGraph::is_consistent`]).
#[derive(Debug, Default, PartialEq)]
pub struct DependencyGraph {
    /// The unfinished dependencies of each blocked job.
    dependencies: BTreeMap<Rc<str>, JobIds>,
    /// The blocked jobs that depend on each job.
    dependents: BTreeMap<Rc<str>, JobIds>,
}

impl DependencyGraph {
    /// Adds the edge from a job to a job that it depends on.
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

    /// The unfinished dependencies of the job.
    pub fn dependencies(&self, job: &str) -> impl Iterator<Item = &Rc<str>> {
        self.dependencies.get(job).into_iter().flatten()
    }

    /// The jobs that depend directly on this one.
    pub fn dependents(&self, job: &str) -> impl Iterator<Item = &Rc<str>> {
        self.dependents.get(job).into_iter().flatten()
    }

    /// The jobs that depend on this one directly or transitively, each once. Terminates even
    /// if the stored dependencies contain a cycle, which submissions cannot create.
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

    /// Removes the edges to a job that is done, as a dependency. Returns the jobs that are no
    /// longer blocked.
    pub fn remove_dependency(&mut self, job: &str) -> Vec<Rc<str>> {
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

    /// Removes the edges from a job that has ended, as a dependent.
    pub fn remove_dependent(&mut self, job: &str) {
        for dependency in self.dependencies.remove(job).unwrap_or_default() {
            if let Some(dependents) = self.dependents.get_mut(&dependency) {
                dependents.remove(job);
                if dependents.is_empty() {
                    self.dependents.remove(&dependency);
                }
            }
        }
    }

    /// Whether both maps contain the same edges and no empty set.
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

    /// The number of blocked jobs.
    pub fn blocked_count(&self) -> usize {
        self.dependencies.len()
    }
}
