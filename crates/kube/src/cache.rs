//! All objects as the state service has them, and their latest changes.
//!
//! Every controller keeps them up to date by one watch of the state service, however
//! many clients read and watch.

use crate::record::{Kind, Name, OBJECTS, Object, Record};
use dillcleat_wire::store::{RangePage, Value, WatchBatch, WatchEvent};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// Changes that a client's watch may go back.
const KEPT: usize = 4_096;

/// A change of one object: what it was and what it is.
#[derive(Debug, Clone)]
pub struct Turn {
    pub version: u64,
    pub old: Option<Rc<Object>>,
    pub new: Option<Rc<Object>>,
}

#[derive(Debug, Default)]
pub struct Cache {
    objects: BTreeMap<Name, Rc<Object>>,
    by_job: HashMap<String, Name>,
    turns: VecDeque<Turn>,
    /// The latest change that is no longer among the turns.
    forgotten: u64,
    /// Up to which revision of the state service the objects are known; None before
    /// all of them were read.
    revision: Option<u64>,
    loading: Option<Loading>,
}

/// A reading of all objects, page by page.
#[derive(Debug)]
struct Loading {
    revision: u64,
    read: BTreeMap<Name, Rc<Object>>,
}

fn object(key: &str, value: &Value, version: u64) -> Option<Object> {
    let made = Name::parse(key).zip(Record::read(value));
    if made.is_none() {
        log::error!("{key}: not an object");
    }
    let (name, record) = made?;
    Some(Object {
        name,
        version,
        record,
    })
}

impl Cache {
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    pub fn len(&self) -> usize {
        self.objects.len()
    }

    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    pub fn get(&self, name: &Name) -> Option<&Rc<Object>> {
        self.objects.get(name)
    }

    pub fn of_job(&self, job: &str) -> Option<&Rc<Object>> {
        self.objects.get(self.by_job.get(job)?)
    }

    /// In the order of their names, those after `after`.
    pub fn all<'a>(
        &'a self,
        kind: Kind,
        namespace: Option<&'a str>,
        after: Option<&Name>,
    ) -> impl Iterator<Item = &'a Rc<Object>> {
        use std::ops::Bound::{Excluded, Included, Unbounded};
        let first = Name {
            kind,
            namespace: namespace.unwrap_or_default().to_string(),
            name: String::new(),
        };
        let from = match after {
            Some(name) if *name > first => Excluded(name.clone()),
            _ => Included(first),
        };
        let rest = self.objects.range((from, Unbounded)).map(|(_, o)| o);
        rest.take_while(move |o| {
            o.name.kind == kind && namespace.is_none_or(|n| n == o.name.namespace)
        })
    }

    /// The changes after a version; None if they are not known any more.
    pub fn since(&self, version: u64) -> Option<impl Iterator<Item = &Turn>> {
        if version < self.forgotten {
            return None;
        }
        let first = self.turns.partition_point(|t| t.version <= version);
        Some(self.turns.range(first..))
    }

    /// A page of the reading of everything. When it was the last one, the objects are
    /// known as of the first: what came in between is in the changes from there on.
    /// Returns the key after which the next page begins.
    pub fn page(&mut self, page: RangePage, first: bool) -> Option<String> {
        if first {
            self.loading = None;
        }
        let loading = self.loading.get_or_insert_with(|| Loading {
            revision: page.revision,
            read: BTreeMap::new(),
        });
        let last = page.rows.last().map(|row| row.key.clone());
        for row in &page.rows {
            if let Some(o) = object(&row.key, &row.value, row.version) {
                loading.read.insert(o.name.clone(), Rc::new(o));
            }
        }
        if page.more && last.is_some() {
            return last;
        }
        let loaded = self.loading.take()?;
        self.objects = loaded.read;
        self.by_job = self
            .objects
            .values()
            .filter_map(|o| Some((job(o)?, o.name.clone())))
            .collect();
        self.turns.clear();
        self.forgotten = loaded.revision;
        self.revision = Some(loaded.revision);
        None
    }

    /// Takes changes up; returns those that are new here. The same may come twice, by
    /// the watch and by a look.
    pub fn apply(&mut self, changes: WatchBatch) -> Vec<Turn> {
        let mut new = Vec::new();
        for event in changes.events {
            let (key, version) = match &event {
                WatchEvent::Put { key, version, .. } | WatchEvent::Delete { key, version } => {
                    (key, *version)
                }
            };
            if !key.starts_with(OBJECTS) || version <= self.revision.unwrap_or(0) {
                continue;
            }
            let Some(name) = Name::parse(key) else {
                continue;
            };
            let made = match &event {
                WatchEvent::Put { value, .. } => object(key, value, version).map(Rc::new),
                WatchEvent::Delete { .. } => None,
            };
            let old = match &made {
                Some(o) => self.objects.insert(name.clone(), o.clone()),
                None => self.objects.remove(&name),
            };
            // Its page may have been read after the change.
            if old.as_ref().is_some_and(|o| o.version >= version) {
                if let Some(old) = old {
                    self.objects.insert(name, old);
                }
                continue;
            }
            if let Some(job) = old.as_deref().and_then(job) {
                self.by_job.remove(&job);
            }
            if let Some(job) = made.as_deref().and_then(job) {
                self.by_job.insert(job, name);
            }
            if old.is_none() && made.is_none() {
                continue;
            }
            let turn = Turn {
                version,
                old,
                new: made,
            };
            self.turns.push_back(turn.clone());
            new.push(turn);
        }
        while self.turns.len() > KEPT {
            if let Some(turn) = self.turns.pop_front() {
                self.forgotten = turn.version;
            }
        }
        if let Some(revision) = &mut self.revision {
            *revision = changes.revision.max(*revision);
        }
        new
    }
}

fn job(object: &Object) -> Option<String> {
    object.record.state.job.clone()
}
