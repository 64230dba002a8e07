//! A stand-in for the state service.

use dillcleat_controller::{MILLISECOND, Micros, records};
use dillcleat_wire::store::{
    KeyValue, LeaseId, Mutation, RangePage, StoreRequest, StoreResponse, Transaction, Value,
    WatchBatch, WatchEvent,
};
use dillcleat_wire::store::{MAX_TRANSACTION_BYTES, json_size};
use std::collections::{BTreeMap, VecDeque};

/// Changes that the service still knows; a watch that starts further back is
/// told to read the keys again.
const KEPT_CHANGES: usize = 10_000;

/// The most that one page of a listing holds.
#[derive(Debug, Clone, Copy)]
pub struct PageLimit {
    pub rows: usize,
    /// Of the JSON form.
    pub bytes: usize,
}

impl PageLimit {
    /// Small pages, so that every run goes over several.
    pub const SMALL: PageLimit = PageLimit {
        rows: 7,
        bytes: usize::MAX,
    };
    /// As in the protocol.
    pub const FULL: PageLimit = PageLimit {
        rows: 1000,
        bytes: 512 * 1024,
    };
}

#[derive(Debug)]
struct Entry {
    value: Value,
    version: u64,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
pub struct SimulatedStore {
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<LeaseId, (Micros, Micros)>,
    next_lease: u64,
    revision: u64,
    log: VecDeque<(u64, WatchEvent)>,
    /// The latest change that is no longer in the log.
    forgotten: u64,
    page: PageLimit,
    pub out_until: Micros,
    out_since: Micros,
    value_bytes: usize,
    txn_ops: usize,
    /// The limits have fallen, which nobody was told: what breaks them is answered 400
    /// and no fault of who wrote it.
    lowered: bool,
    /// Requests that were refused for their size since then.
    pub refused: usize,
    /// Requests that broke a limit of the protocol: the service's own fault.
    pub malformed: Vec<String>,
}

impl SimulatedStore {
    pub fn new(value_bytes: usize, txn_ops: usize) -> Self {
        SimulatedStore {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            revision: 0,
            log: VecDeque::new(),
            forgotten: 0,
            page: PageLimit::SMALL,
            out_until: 0,
            out_since: 0,
            value_bytes,
            txn_ops,
            lowered: false,
            refused: 0,
            malformed: Vec::new(),
        }
    }

    /// Lowers the limits. What is stored stays readable.
    pub fn limit(&mut self, value_bytes: usize, txn_ops: usize) {
        (self.value_bytes, self.txn_ops) = (value_bytes, txn_ops);
        self.lowered = true;
    }

    /// Sets how much a page of a listing holds.
    pub fn paged(mut self, page: PageLimit) -> Self {
        self.page = page;
        self
    }

    /// Sets a key as if an earlier controller had written it.
    pub fn put<T: serde::Serialize>(&mut self, key: String, record: &T) {
        self.revision += 1;
        let entry = Entry {
            value: dillcleat_wire::store::encode_value(record),
            version: self.revision,
            lease: None,
        };
        self.keys.insert(key, entry);
        self.forgotten = self.revision;
    }

    fn note(&mut self, event: WatchEvent) {
        self.log.push_back((self.revision, event));
        while self.log.len() > KEPT_CHANGES {
            if let Some((revision, _)) = self.log.pop_front() {
                self.forgotten = revision;
            }
        }
    }

    pub fn outage(&mut self, now: Micros, until: Micros) {
        self.out_since = now;
        self.out_until = until;
    }

    pub fn out(&self, now: Micros) -> bool {
        now < self.out_until
    }

    /// Ends leases; after an outage each has its full time again.
    pub fn expire(&mut self, now: Micros) {
        if self.out(now) {
            return;
        }
        if self.out_since < self.out_until {
            let end = self.out_until;
            for (ttl, until) in self.leases.values_mut() {
                *until = (*until).max(end + *ttl);
            }
            self.out_since = self.out_until;
        }
        let ended: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| now > *until)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: LeaseId) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, e)| e.lease == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
        true
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let event = WatchEvent::Delete {
                key: key.into(),
                version: self.revision,
            };
            self.note(event);
        }
    }

    /// Carries a call out; None for a watch that has to wait.
    pub fn call(&mut self, call: &StoreRequest, now: Micros) -> Option<StoreResponse> {
        self.expire(now);
        if self.out(now) {
            // Open watches stay open; everything else is refused.
            return match call {
                StoreRequest::Watch { .. } => None,
                _ => Some(StoreResponse::Unavailable),
            };
        }
        Some(match call {
            StoreRequest::Get { key } => match self.keys.get(key) {
                Some(e) => StoreResponse::Found(KeyValue {
                    key: key.clone(),
                    value: e.value.clone(),
                    version: e.version,
                    lease: e.lease,
                }),
                None => StoreResponse::NotFound {
                    revision: self.revision,
                },
            },
            StoreRequest::List { prefix, after } => {
                let mut found = self
                    .keys
                    .range(after.clone().unwrap_or_else(|| prefix.clone())..)
                    .take_while(|(k, _)| k.starts_with(prefix.as_str()))
                    .filter(|(k, _)| after.as_ref().is_none_or(|a| *k > a))
                    .peekable();
                let mut rows: Vec<KeyValue> = Vec::new();
                let mut bytes = 0;
                while let Some((k, e)) = found.peek() {
                    bytes += k.len() + json_size(&e.value) + 32;
                    let full = rows.len() >= self.page.rows || bytes > self.page.bytes;
                    if full && !rows.is_empty() {
                        break;
                    }
                    rows.push(KeyValue {
                        key: k.to_string(),
                        value: e.value.clone(),
                        version: e.version,
                        lease: None,
                    });
                    found.next();
                }
                StoreResponse::RangePage(RangePage {
                    more: found.peek().is_some(),
                    rows,
                    revision: self.revision,
                })
            }
            StoreRequest::Transaction(txn) => self.txn(txn),
            StoreRequest::GrantLease { ttl_ms } => {
                let lease = LeaseId(self.next_lease);
                self.next_lease += 1;
                let ttl = ttl_ms * MILLISECOND;
                self.leases.insert(lease, (ttl, now + ttl));
                StoreResponse::Lease { lease }
            }
            StoreRequest::RenewLease { lease } => match self.leases.get_mut(lease) {
                Some((ttl, until)) => {
                    *until = now + *ttl;
                    StoreResponse::LeaseRenewedOrRevoked
                }
                None => StoreResponse::LeaseExpired,
            },
            StoreRequest::RevokeLease { lease } => {
                if self.end_lease(*lease) {
                    StoreResponse::LeaseRenewedOrRevoked
                } else {
                    StoreResponse::LeaseExpired
                }
            }
            StoreRequest::Watch { after, .. } if *after < self.forgotten => {
                StoreResponse::Compacted
            }
            StoreRequest::Watch { prefix, after, .. } => {
                let changes = self.changes(prefix, *after);
                if changes.events.is_empty() {
                    return None;
                }
                StoreResponse::WatchBatch(changes)
            }
        })
    }

    pub fn changes(&self, prefix: &str, after: u64) -> WatchBatch {
        let key = |e: &WatchEvent| match e {
            WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. } => key.clone(),
        };
        let first = self.log.partition_point(|(r, _)| *r <= after);
        WatchBatch {
            revision: self.revision,
            events: self
                .log
                .range(first..)
                .filter(|(_, e)| key(e).starts_with(prefix))
                .map(|(_, e)| e.clone())
                .collect(),
        }
    }

    fn too_large(&mut self, what: String) -> StoreResponse {
        if self.lowered {
            self.refused += 1;
        } else {
            self.malformed.push(what);
        }
        StoreResponse::Malformed
    }

    fn txn(&mut self, txn: &Transaction) -> StoreResponse {
        let mut bytes = 0;
        for change in &txn.then {
            if let Mutation::Put { key, value, .. } = change {
                let size = json_size(value);
                bytes += size + key.len();
                if size > self.value_bytes {
                    let what = format!("{key}: value of {size} bytes");
                    return self.too_large(what);
                }
            }
        }
        if bytes > MAX_TRANSACTION_BYTES
            || txn.then.len() > self.txn_ops
            || txn.compare.len() > 4 * self.txn_ops
        {
            let what = format!(
                "transaction of {} changes, {} conditions, {bytes} bytes",
                txn.then.len(),
                txn.compare.len()
            );
            return self.too_large(what);
        }
        // Whatever only a leader writes is fenced by its term. Chunks carry
        // versions besides, so no run would show the lack of it soon.
        let leaders = |c: &Mutation| match c {
            Mutation::Put { key, .. } | Mutation::Delete { key } => {
                key.starts_with("t/") || key.starts_with("m/")
            }
        };
        if txn.then.iter().any(leaders) && !txn.compare.iter().any(|c| c.key == "s/term") {
            self.malformed
                .push("a leader's write without its term".into());
        }
        let failed: Vec<String> = txn
            .compare
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |e| e.version) != c.version)
            .map(|c| c.key.clone())
            .collect();
        let gone = txn.then.iter().any(
            |c| matches!(c, Mutation::Put { lease: Some(l), .. } if !self.leases.contains_key(l)),
        );
        if gone {
            return StoreResponse::LeaseExpired;
        }
        if !failed.is_empty() {
            return StoreResponse::Conflict {
                failed,
                revision: self.revision,
            };
        }
        if !txn.then.is_empty() {
            self.revision += 1;
        }
        for change in &txn.then {
            match change {
                Mutation::Put { key, value, lease } => {
                    let entry = Entry {
                        value: value.clone(),
                        version: self.revision,
                        lease: *lease,
                    };
                    self.keys.insert(key.clone(), entry);
                    let event = WatchEvent::Put {
                        key: key.clone(),
                        value: value.clone(),
                        version: self.revision,
                    };
                    self.note(event);
                }
                Mutation::Delete { key } => self.delete(key),
            }
        }
        StoreResponse::Committed {
            revision: self.revision,
        }
    }

    /// The latest term of the controllers.
    pub fn term(&self) -> u64 {
        let row = self.keys.get(records::TERM_KEY);
        row.and_then(|e| dillcleat_wire::store::decode_value::<records::TermRecord>(&e.value))
            .map_or(0, |t| t.term)
    }

    /// The record under a key, and its version.
    pub fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<(T, u64)> {
        let entry = self.keys.get(key)?;
        Some((
            dillcleat_wire::store::decode_value(&entry.value)?,
            entry.version,
        ))
    }

    /// Keys under a prefix, for looking at what a run leaves behind.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.keys.keys();
        keys.filter(|k| k.starts_with(prefix)).cloned().collect()
    }
}

/// Watches that wait for a change, with who asked.
#[derive(Debug)]
pub struct Watches<T> {
    open: BTreeMap<u64, (T, String, u64)>,
    next: u64,
}

impl<T> Default for Watches<T> {
    fn default() -> Self {
        Watches {
            open: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<T: Copy> Watches<T> {
    /// Opens a watch; None if the call is none. Returns its number and for how
    /// long it is held.
    pub fn open(&mut self, who: T, call: &StoreRequest) -> Option<(u64, Micros)> {
        let StoreRequest::Watch {
            prefix,
            after,
            hold_ms,
        } = call
        else {
            return None;
        };
        self.next += 1;
        self.open.insert(self.next, (who, prefix.clone(), *after));
        Some((self.next, hold_ms * MILLISECOND))
    }

    /// Ends a watch whose time is over.
    pub fn end(&mut self, watch: u64, state: &SimulatedStore) -> Option<(T, WatchBatch)> {
        let (who, prefix, after) = self.open.remove(&watch)?;
        Some((who, state.changes(&prefix, after)))
    }

    /// Ends those that have something to tell to whom `may` be told.
    pub fn changed(
        &mut self,
        state: &SimulatedStore,
        may: impl Fn(T) -> bool,
    ) -> Vec<(T, WatchBatch)> {
        let mut told = Vec::new();
        self.open.retain(|_, (who, prefix, after)| {
            if !may(*who) {
                return true;
            }
            let changes = state.changes(prefix, *after);
            let quiet = changes.events.is_empty();
            if !quiet {
                told.push((*who, changes));
            }
            quiet
        });
        told
    }
}
