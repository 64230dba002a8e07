//! A collection of named values with stable small indexes, which tracks changes.
//!
//! A value that is borrowed mutably is marked as changed, so that derived data such as
//! indexes and sums can be updated by visiting only the changed values. The only exception
//! is [`Slab::get_mut_unmarked`].
//!
//! The `slab` crate has neither names nor change tracking, and does not expose its vacant
//! indexes and their upper bound, which arrays parallel to the values need.

use dillcleat_sched::SlabIndex;
use std::collections::HashMap;
use std::rc::Rc;

#[derive(Debug)]
struct Entry<T> {
    name: Rc<str>,
    value: T,
}

/// Values by name and by index.
///
/// Invariants: each index below `entries.len()` either has an entry, and `indexes` maps the
/// entry's name to it, or is in `vacant`. `changed` contains exactly the indexes whose
/// `is_changed` is set, each once. The index of a removed value is reused.
#[derive(Debug)]
pub struct Slab<T> {
    entries: Vec<Option<Entry<T>>>,
    indexes: HashMap<Rc<str>, SlabIndex>,
    vacant: Vec<SlabIndex>,
    changed: Vec<SlabIndex>,
    is_changed: Vec<bool>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab {
            entries: Vec::new(),
            indexes: HashMap::new(),
            vacant: Vec::new(),
            changed: Vec::new(),
            is_changed: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    /// The number of values.
    pub fn len(&self) -> usize {
        self.indexes.len()
    }

    /// Whether there are no values.
    pub fn is_empty(&self) -> bool {
        self.indexes.is_empty()
    }

    /// The index of the value with this name.
    pub fn index_of(&self, name: &str) -> Option<SlabIndex> {
        self.indexes.get(name).copied()
    }

    /// Whether there is a value with this name.
    pub fn contains_key(&self, name: &str) -> bool {
        self.indexes.contains_key(name)
    }

    /// The shared copy of the name.
    pub fn name(&self, name: &str) -> Option<&Rc<str>> {
        self.indexes.get_key_value(name).map(|(name, _)| name)
    }

    /// The value with this name.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.at(self.index_of(name)?).map(|(_, value)| value)
    }

    /// Borrows the value mutably and marks it as changed.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut T> {
        let index = self.index_of(name)?;
        self.mark_changed(index);
        self.get_mut_unmarked(index)
    }

    /// The name and the value at an index.
    pub fn at(&self, index: SlabIndex) -> Option<(&Rc<str>, &T)> {
        let entry = self.entries.get(index as usize)?.as_ref()?;
        Some((&entry.name, &entry.value))
    }

    /// Borrows the value mutably without marking it as changed. Only for changes that do not
    /// affect derived data.
    pub fn get_mut_unmarked(&mut self, index: SlabIndex) -> Option<&mut T> {
        let entry = self.entries.get_mut(index as usize)?.as_mut()?;
        Some(&mut entry.value)
    }

    /// Adds a value, or replaces the one with the same name. Returns its index.
    pub fn insert(&mut self, name: Rc<str>, value: T) -> SlabIndex {
        let index = match self.index_of(&name) {
            Some(index) => index,
            None => self.vacant.pop().unwrap_or_else(|| {
                self.entries.push(None);
                self.is_changed.push(false);
                // The number of entries is limited by memory, far below the index type.
                (self.entries.len() - 1) as SlabIndex
            }),
        };
        self.indexes.insert(name.clone(), index);
        self.entries[index as usize] = Some(Entry { name, value });
        self.mark_changed(index);
        index
    }

    /// Removes and returns a value. Its index becomes vacant and is marked as changed.
    pub fn remove(&mut self, name: &str) -> Option<T> {
        let index = self.indexes.remove(name)?;
        self.mark_changed(index);
        self.vacant.push(index);
        let entry = self.entries[index as usize].take();
        entry.map(|entry| entry.value)
    }

    /// Marks an index as changed.
    pub fn mark_changed(&mut self, index: SlabIndex) {
        if let Some(is_changed) = self.is_changed.get_mut(index as usize)
            && !*is_changed
        {
            *is_changed = true;
            self.changed.push(index);
        }
    }

    /// Marks every value as changed.
    pub fn mark_all_changed(&mut self) {
        for index in 0..self.entries.len() {
            if self.entries[index].is_some() {
                self.mark_changed(index as SlabIndex);
            }
        }
    }

    /// Returns the changed indexes, in the order in which they were marked, and unmarks
    /// them.
    pub fn take_changed(&mut self) -> Vec<SlabIndex> {
        for index in &self.changed {
            self.is_changed[*index as usize] = false;
        }
        std::mem::take(&mut self.changed)
    }

    /// All names and values, in the order of their indexes.
    pub fn iter(&self) -> impl Iterator<Item = (&Rc<str>, &T)> {
        let entries = self.entries.iter().flatten();
        entries.map(|entry| (&entry.name, &entry.value))
    }

    /// The exclusive upper bound of all indexes.
    pub fn index_bound(&self) -> SlabIndex {
        self.entries.len() as SlabIndex
    }

    /// The value at each index; None if the index is vacant.
    pub fn values_by_index(&self) -> impl Iterator<Item = Option<&T>> {
        let entries = self.entries.iter();
        entries.map(|entry| entry.as_ref().map(|entry| &entry.value))
    }

    /// All values, in the order of their indexes.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.iter().map(|(_, value)| value)
    }

    /// Borrows all values mutably and marks them as changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.mark_all_changed();
        let entries = self.entries.iter_mut().flatten();
        entries.map(|entry| &mut entry.value)
    }
}
