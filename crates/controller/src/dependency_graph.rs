//! Which jobs wait for which.
//!
//! Derived from the records of the open jobs, and made anew by whoever leads. An edge
//! goes only when the end of the dependency is proved by its stored mark, or with the
//! dependent itself: that a job is not among the open ones proves nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

type Names = BTreeSet<Rc<str>>;

#[derive(Debug, Default, PartialEq)]
pub struct DependencyGraph {
    /// What each waiting job still waits for. A job that is ready is not in here.
    needs: BTreeMap<Rc<str>, Names>,
    /// Who waits for a job.
    needed_by: BTreeMap<Rc<str>, Names>,
}

impl DependencyGraph {
    /// A job waits for others.
    pub fn add(&mut self, job: &Rc<str>, dependency: Rc<str>) {
        let needs = self.needs.entry(job.clone()).or_default();
        needs.insert(dependency.clone());
        let needed_by = self.needed_by.entry(dependency).or_default();
        needed_by.insert(job.clone());
    }

    pub fn waits(&self, job: &str) -> bool {
        self.needs.contains_key(job)
    }

    /// Whether any job waits for this one.
    pub fn needed(&self, job: &str) -> bool {
        self.needed_by.contains_key(job)
    }

    /// What the job still waits for.
    pub fn dependencies(&self, job: &str) -> impl Iterator<Item = &Rc<str>> {
        self.needs.get(job).into_iter().flatten()
    }

    /// The jobs that wait for this one.
    pub fn dependents(&self, job: &str) -> impl Iterator<Item = &Rc<str>> {
        self.needed_by.get(job).into_iter().flatten()
    }

    /// The jobs that wait for this one, directly and through others, each once. A
    /// stored cycle, which no submission can make, ends it all the same.
    pub fn downstream(&self, job: &str) -> Vec<Rc<str>> {
        let mut seen = Names::new();
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

    /// A job is done: those that waited for nothing else are ready.
    pub fn done(&mut self, job: &str) -> Vec<Rc<str>> {
        let mut ready = Vec::new();
        for dependent in self.needed_by.remove(job).unwrap_or_default() {
            if let Some(needs) = self.needs.get_mut(&dependent) {
                needs.remove(job);
                if needs.is_empty() {
                    self.needs.remove(&dependent);
                    ready.push(dependent);
                }
            }
        }
        ready
    }

    /// A job waits no more, since it has ended itself.
    pub fn remove(&mut self, job: &str) {
        for dependency in self.needs.remove(job).unwrap_or_default() {
            if let Some(by) = self.needed_by.get_mut(&dependency) {
                by.remove(job);
                if by.is_empty() {
                    self.needed_by.remove(&dependency);
                }
            }
        }
    }

    /// Whether both directions tell of the same edges.
    pub fn is_sound(&self) -> bool {
        let edges = |of: &BTreeMap<Rc<str>, Names>| of.values().map(BTreeSet::len).sum::<usize>();
        let mut needs = self.needs.iter();
        needs.all(|(job, needs)| {
            let there = |d| self.needed_by.get(d).is_some_and(|by| by.contains(job));
            !needs.is_empty() && needs.iter().all(there)
        }) && edges(&self.needs) == edges(&self.needed_by)
    }

    /// Every job that others wait for.
    pub fn awaited(&self) -> impl Iterator<Item = &Rc<str>> {
        self.needed_by.keys()
    }

    /// How many jobs wait.
    pub fn waiting(&self) -> usize {
        self.needs.len()
    }
}
