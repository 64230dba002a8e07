//! Named things that keep a small number for as long as they are known, and
//! remember which of them may have changed.
//!
//! Whoever takes one out to change it leaves it marked, so what is derived from
//! it (an index, a sum) can be brought up to date by looking at the marked ones
//! alone. Nothing can be changed unmarked but by [`Slab::quiet`].

use dillcleat_sched::SlabIndex;
use std::collections::HashMap;
use std::rc::Rc;

#[derive(Debug)]
struct Held<T> {
    name: Rc<str>,
    value: T,
}

#[derive(Debug)]
pub struct Slab<T> {
    held: Vec<Option<Held<T>>>,
    by_name: HashMap<Rc<str>, SlabIndex>,
    vacant: Vec<SlabIndex>,
    marked: Vec<SlabIndex>,
    is_marked: Vec<bool>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab {
            held: Vec::new(),
            by_name: HashMap::new(),
            vacant: Vec::new(),
            marked: Vec::new(),
            is_marked: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    pub fn place(&self, name: &str) -> Option<SlabIndex> {
        self.by_name.get(name).copied()
    }

    pub fn contains_key(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// The name as it is shared by all that refer to the thing.
    pub fn name(&self, name: &str) -> Option<&Rc<str>> {
        self.by_name.get_key_value(name).map(|(n, _)| n)
    }

    pub fn get(&self, name: &str) -> Option<&T> {
        self.at(self.place(name)?).map(|(_, value)| value)
    }

    /// To change it: marks it.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut T> {
        let place = self.place(name)?;
        self.mark(place);
        self.quiet(place)
    }

    pub fn at(&self, place: SlabIndex) -> Option<(&Rc<str>, &T)> {
        let held = self.held.get(place as usize)?.as_ref()?;
        Some((&held.name, &held.value))
    }

    /// To change what nothing is derived from.
    pub fn quiet(&mut self, place: SlabIndex) -> Option<&mut T> {
        let held = self.held.get_mut(place as usize)?.as_mut()?;
        Some(&mut held.value)
    }

    /// Puts a thing on the slab, in place of one of the same name.
    pub fn insert(&mut self, name: Rc<str>, value: T) -> SlabIndex {
        let place = match self.place(&name) {
            Some(place) => place,
            None => self.vacant.pop().unwrap_or_else(|| {
                self.held.push(None);
                self.is_marked.push(false);
                // As many as fit memory.
                (self.held.len() - 1) as SlabIndex
            }),
        };
        self.by_name.insert(name.clone(), place);
        self.held[place as usize] = Some(Held { name, value });
        self.mark(place);
        place
    }

    pub fn remove(&mut self, name: &str) -> Option<T> {
        let place = self.by_name.remove(name)?;
        self.mark(place);
        self.vacant.push(place);
        self.held[place as usize].take().map(|h| h.value)
    }

    pub fn mark(&mut self, place: SlabIndex) {
        if let Some(marked) = self.is_marked.get_mut(place as usize)
            && !*marked
        {
            *marked = true;
            self.marked.push(place);
        }
    }

    /// Marks everything there is.
    pub fn mark_all(&mut self) {
        for place in 0..self.held.len() {
            if self.held[place].is_some() {
                self.mark(place as SlabIndex);
            }
        }
    }

    /// What is marked, in the order in which it was, no longer marked.
    pub fn take_marked(&mut self) -> Vec<SlabIndex> {
        for place in &self.marked {
            self.is_marked[*place as usize] = false;
        }
        std::mem::take(&mut self.marked)
    }

    /// All, by place.
    pub fn iter(&self) -> impl Iterator<Item = (&Rc<str>, &T)> {
        self.held.iter().flatten().map(|h| (&h.name, &h.value))
    }

    /// All numbers that have been given are below it.
    pub fn places(&self) -> SlabIndex {
        self.held.len() as SlabIndex
    }

    /// What each number stands for; None for those that are vacant.
    pub fn by_place(&self) -> impl Iterator<Item = Option<&T>> {
        self.held.iter().map(|h| h.as_ref().map(|h| &h.value))
    }

    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.iter().map(|(_, value)| value)
    }

    /// All, to change them: marks everything.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.mark_all();
        self.held.iter_mut().flatten().map(|h| &mut h.value)
    }
}
