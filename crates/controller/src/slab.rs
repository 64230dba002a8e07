//! Named values that keep a small index for as long as they are known, and a list of
//! those that may have changed.
//!
//! A value that is borrowed mutably is marked as changed, so what is derived from it (an
//! index, a sum) can be brought up to date by looking at the changed ones alone. Nothing
//! can be changed unmarked but by [`Slab::get_mut_unmarked`].
//!
//! Not the `slab` crate: it shows neither its vacant indexes nor their bound, which arrays
//! that are parallel to the values need, and it knows no names and no changes.

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
/// Each index below `entries.len()` either holds an entry, to which `indexes` leads from
/// its name, or is in `vacant`. An index of a removed value is given again. `changed` holds
/// each index at most once: those whose `is_changed` is set.
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
    /// How many values there are.
    pub fn len(&self) -> usize {
        self.indexes.len()
    }

    /// Whether it holds no entry.
    pub fn is_empty(&self) -> bool {
        self.indexes.is_empty()
    }

    /// The index of the value with this name.
    pub fn index_of(&self, name: &str) -> Option<SlabIndex> {
        self.indexes.get(name).copied()
    }

    /// Whether there is an entry of this name.
    pub fn contains_key(&self, name: &str) -> bool {
        self.indexes.contains_key(name)
    }

    /// The name as it is shared by all that refer to the value.
    pub fn name(&self, name: &str) -> Option<&Rc<str>> {
        self.indexes.get_key_value(name).map(|(name, _)| name)
    }

    /// The entry of this name.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.at(self.index_of(name)?).map(|(_, value)| value)
    }

    /// The value, to change it: marks it as changed.
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

    /// The value, to change what nothing is derived from: does not mark it as changed.
    pub fn get_mut_unmarked(&mut self, index: SlabIndex) -> Option<&mut T> {
        let entry = self.entries.get_mut(index as usize)?.as_mut()?;
        Some(&mut entry.value)
    }

    /// Adds a value, or replaces the one of the same name. Returns its index.
    pub fn insert(&mut self, name: Rc<str>, value: T) -> SlabIndex {
        let index = match self.index_of(&name) {
            Some(index) => index,
            None => self.vacant.pop().unwrap_or_else(|| {
                self.entries.push(None);
                self.is_changed.push(false);
                // As many as fit memory.
                (self.entries.len() - 1) as SlabIndex
            }),
        };
        self.indexes.insert(name.clone(), index);
        self.entries[index as usize] = Some(Entry { name, value });
        self.mark_changed(index);
        index
    }

    /// Removes a value. Its index is marked as changed, and is vacant.
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

    /// The changed indexes, in the order in which they were marked, and unmarks them.
    pub fn take_changed(&mut self) -> Vec<SlabIndex> {
        for index in &self.changed {
            self.is_changed[*index as usize] = false;
        }
        std::mem::take(&mut self.changed)
    }

    /// All names and values, by index.
    pub fn iter(&self) -> impl Iterator<Item = (&Rc<str>, &T)> {
        let entries = self.entries.iter().flatten();
        entries.map(|entry| (&entry.name, &entry.value))
    }

    /// All indexes that have been given are below it.
    pub fn index_bound(&self) -> SlabIndex {
        self.entries.len() as SlabIndex
    }

    /// The value at each index; None for those that are vacant.
    pub fn values_by_index(&self) -> impl Iterator<Item = Option<&T>> {
        let entries = self.entries.iter();
        entries.map(|entry| entry.as_ref().map(|entry| &entry.value))
    }

    /// All values, by index.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.iter().map(|(_, value)| value)
    }

    /// All values, to change them: marks all as changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.mark_all_changed();
        let entries = self.entries.iter_mut().flatten();
        entries.map(|entry| &mut entry.value)
    }
}
