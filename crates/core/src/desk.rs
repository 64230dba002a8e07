//! The desk that calls the cloud.

use crate::{Micros, SECOND};
use dillcleat_wire::cloud::{CloudCall, MAX_DELETE, Rent};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// A rental that has no final answer yet.
#[derive(Debug, Clone)]
pub struct Rental {
    pub rent: Rent,
    pub since: Micros,
    /// An earlier try may have been carried out: its name must be repeated
    /// until there is an answer.
    pub uncertain: bool,
}

/// One call to the cloud at a time, within its rate, most urgent first.
#[derive(Debug)]
pub struct Desk {
    rate: f64,
    tokens: f64,
    refilled: Micros,
    pub busy: bool,
    pub pause_until: Micros,
    pub deletes: BTreeSet<Rc<str>>,
    pub deleting: Vec<Rc<str>>,
    pub rentals: VecDeque<Rental>,
    pub list_at: Micros,
    pub list_after: Option<String>,
    pub types_at: Micros,
    rented: u64,
}

/// Which call went out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Errand {
    Delete,
    Rent,
    List,
    Types,
}

impl Desk {
    pub fn new(rate: f64, now: Micros) -> Self {
        Desk {
            rate,
            tokens: 1.0,
            refilled: now,
            busy: false,
            pause_until: now,
            deletes: BTreeSet::new(),
            deleting: Vec::new(),
            rentals: VecDeque::new(),
            list_at: now,
            list_after: None,
            types_at: now,
            rented: 0,
        }
    }

    /// A rental's name: never used again, by this node or another, since no
    /// other leader has this term.
    pub fn name(&mut self, term: u64) -> String {
        self.rented += 1;
        format!("t{term}-{}", self.rented)
    }

    pub fn next(&mut self, now: Micros) -> Option<(Errand, CloudCall)> {
        self.tokens = (self.tokens
            + crate::seconds(now.saturating_sub(self.refilled)) * self.rate * 0.9)
            .min(self.rate.max(1.0));
        self.refilled = now;
        if self.busy || now < self.pause_until || self.tokens < 1.0 {
            return None;
        }
        let errand = if !self.deletes.is_empty() {
            self.deleting = self.deletes.iter().take(MAX_DELETE).cloned().collect();
            let names = self.deleting.iter().map(|n| n.to_string()).collect();
            (Errand::Delete, CloudCall::Delete(names))
        } else if now >= self.types_at {
            (Errand::Types, CloudCall::Types)
        } else if let Some(r) = self.rentals.front() {
            (Errand::Rent, CloudCall::Rent(r.rent.clone()))
        } else if now >= self.list_at {
            let after = self.list_after.clone();
            (Errand::List, CloudCall::List { after })
        } else {
            return None;
        };
        self.busy = true;
        self.tokens -= 1.0;
        Some(errand)
    }

    /// The cloud is in trouble or out of reach: nothing but renting and
    /// returning stalls.
    pub fn pause(&mut self, now: Micros) {
        self.pause_until = now + SECOND;
    }
}
