//! A cache of all objects in the store and of their latest changes. The version of an object
//! is the store revision at which it was last written.
//!
//! Each controller keeps its cache up to date with a single watch of the store, and serves
//! the reads and watches of all its clients from it.

use crate::record::{Kind, Name, OBJECTS, Object, Record};
use dillcleat_wire::store::{RangePage, Value, WatchBatch, WatchEvent};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// The maximum number of changes that are kept for watches that start in the past.
const MAX_CHANGES: usize = 4_096;

/// The change of one object: its state before and after.
#[derive(Debug, Clone)]
pub struct ObjectChange {
    pub version: u64,
    pub old: Option<Rc<Object>>,
    pub new: Option<Rc<Object>>,
}

#[derive(Debug, Default)]
pub struct WatchCache {
    objects: BTreeMap<Name, Rc<Object>>,
    by_job: HashMap<String, Name>,
    changes: VecDeque<ObjectChange>,
    /// Changes up to this revision are no longer in `changes`.
    compacted_revision: u64,
    /// The revision of the store that the cache has reached; None until all objects have
    /// been listed.
    revision: Option<u64>,
    loading: Option<Loading>,
}

/// The pages of an unfinished list of all objects.
#[derive(Debug)]
struct Loading {
    /// The revision of the first page.
    revision: u64,
    objects: BTreeMap<Name, Rc<Object>>,
}

fn decode_object(key: &str, value: &Value, version: u64) -> Option<Object> {
    let decoded = Name::from_store_key(key).zip(Record::decode(value));
    if decoded.is_none() {
        log::error!("cannot decode stored object key={key}");
    }
    let (name, record) = decoded?;
    Some(Object {
        name,
        version,
        record,
    })
}

impl WatchCache {
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

    /// The object that the native job `job` runs.
    pub fn by_job(&self, job: &str) -> Option<&Rc<Object>> {
        self.objects.get(self.by_job.get(job)?)
    }

    /// The objects of a kind, in one namespace or in all, whose names follow `after`, ordered
    /// by name.
    pub fn objects<'a>(
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

    /// The changes after a version; None if some of them are no longer kept.
    pub fn changes_since(&self, version: u64) -> Option<impl Iterator<Item = &ObjectChange>> {
        if version < self.compacted_revision {
            return None;
        }
        let first = self.changes.partition_point(|c| c.version <= version);
        Some(self.changes.range(first..))
    }

    /// Adds a page of the list of all objects. After the last page the cache is at the
    /// revision of the first; the watch from there delivers all changes made since.
    /// Returns the key after which the next page begins, or None after the last page.
    pub fn add_page(&mut self, page: RangePage, first: bool) -> Option<String> {
        if first {
            self.loading = None;
        }
        let loading = self.loading.get_or_insert_with(|| Loading {
            revision: page.revision,
            objects: BTreeMap::new(),
        });
        let last = page.rows.last().map(|row| row.key.clone());
        for row in &page.rows {
            if let Some(object) = decode_object(&row.key, &row.value, row.version) {
                loading.objects.insert(object.name.clone(), Rc::new(object));
            }
        }
        if page.more && last.is_some() {
            return last;
        }
        let loaded = self.loading.take()?;
        self.objects = loaded.objects;
        self.by_job = self
            .objects
            .values()
            .filter_map(|o| Some((job_id(o)?, o.name.clone())))
            .collect();
        self.changes.clear();
        self.compacted_revision = loaded.revision;
        self.revision = Some(loaded.revision);
        None
    }

    /// Applies a batch of changes and returns those that the cache did not have yet. The
    /// long poll and a refresh may both deliver the same change.
    pub fn apply(&mut self, batch: WatchBatch) -> Vec<ObjectChange> {
        let mut applied = Vec::new();
        for event in batch.events {
            let (key, version) = match &event {
                WatchEvent::Put { key, version, .. } | WatchEvent::Delete { key, version } => {
                    (key, *version)
                }
            };
            if !key.starts_with(OBJECTS) || version <= self.revision.unwrap_or(0) {
                continue;
            }
            let Some(name) = Name::from_store_key(key) else {
                continue;
            };
            let new = match &event {
                WatchEvent::Put { value, .. } => decode_object(key, value, version).map(Rc::new),
                WatchEvent::Delete { .. } => None,
            };
            let old = match &new {
                Some(o) => self.objects.insert(name.clone(), o.clone()),
                None => self.objects.remove(&name),
            };
            // The list of all objects may have read the object after this change.
            if old.as_ref().is_some_and(|o| o.version >= version) {
                if let Some(old) = old {
                    self.objects.insert(name, old);
                }
                continue;
            }
            if let Some(job) = old.as_deref().and_then(job_id) {
                self.by_job.remove(&job);
            }
            if let Some(job) = new.as_deref().and_then(job_id) {
                self.by_job.insert(job, name);
            }
            if old.is_none() && new.is_none() {
                continue;
            }
            let change = ObjectChange { version, old, new };
            self.changes.push_back(change.clone());
            applied.push(change);
        }
        while self.changes.len() > MAX_CHANGES {
            if let Some(change) = self.changes.pop_front() {
                self.compacted_revision = change.version;
            }
        }
        if let Some(revision) = &mut self.revision {
            *revision = batch.revision.max(*revision);
        }
        applied
    }
}

fn job_id(object: &Object) -> Option<String> {
    object.record.state.job.clone()
}
