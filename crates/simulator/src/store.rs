//! A simulated consensus-backed key-value store.

use crate::token_bucket::TokenBucket;
use dillcleat_controller::{MILLISECOND, Micros, records};
use dillcleat_wire::store::{
    KeyValue, LeaseId, Mutation, RangePage, StoreRequest, StoreResponse, Transaction, Value,
    WatchBatch, WatchEvent,
};
use dillcleat_wire::store::{MAX_TRANSACTION_BYTES, json_size};
use std::collections::{BTreeMap, VecDeque};

/// Number of changes kept for watches. A watch from an older revision is answered
/// `Compacted`.
const RETAINED_CHANGES: usize = 10_000;

/// Upper bound of one page of a range listing.
#[derive(Debug, Clone, Copy)]
pub struct PageLimit {
    pub rows: usize,
    /// Maximum size of the page as JSON.
    pub bytes: usize,
}

impl PageLimit {
    /// Small pages, so that every run reads several.
    pub const SMALL: PageLimit = PageLimit {
        rows: 7,
        bytes: usize::MAX,
    };
    /// The limits of the protocol.
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
    /// Time to live and expiry of each lease.
    leases: BTreeMap<LeaseId, (Micros, Micros)>,
    next_lease: u64,
    revision: u64,
    /// The latest changes with their revisions.
    log: VecDeque<(u64, WatchEvent)>,
    /// Revision of the latest change that is no longer in the log.
    compacted: u64,
    page: PageLimit,
    pub outage_until: Micros,
    outage_since: Micros,
    max_value_bytes: usize,
    max_txn_ops: usize,
    /// The limit of mutations per second, if it is enforced.
    write_rate: Option<TokenBucket>,
    /// Transactions that were refused because of that limit.
    pub rate_limited_transactions: usize,
    /// The limits were lowered during the run. The controllers are not notified, so a
    /// request beyond a limit is answered 400 and is not an error of the controller.
    limits_lowered: bool,
    /// Requests that were refused for their size after the limits were lowered.
    pub refused_over_lowered_limits: usize,
    /// Descriptions of the requests that broke the protocol: errors of the controller.
    pub protocol_errors: Vec<String>,
}

impl SimulatedStore {
    pub fn new(max_value_bytes: usize, max_txn_ops: usize) -> Self {
        SimulatedStore {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            revision: 0,
            log: VecDeque::new(),
            compacted: 0,
            page: PageLimit::SMALL,
            outage_until: 0,
            outage_since: 0,
            max_value_bytes,
            max_txn_ops,
            write_rate: None,
            rate_limited_transactions: 0,
            limits_lowered: false,
            refused_over_lowered_limits: 0,
            protocol_errors: Vec::new(),
        }
    }

    /// Lowers the limits. Stored values beyond them stay readable.
    pub fn lower_limits(&mut self, max_value_bytes: usize, max_txn_ops: usize) {
        (self.max_value_bytes, self.max_txn_ops) = (max_value_bytes, max_txn_ops);
        self.limits_lowered = true;
    }

    /// Enforces a limit of mutations per second, with a burst of one second's worth.
    pub fn limit_write_rate(&mut self, per_s: f64) {
        match &mut self.write_rate {
            Some(bucket) => bucket.lower_rate(per_s),
            None => self.write_rate = Some(TokenBucket::new(per_s)),
        }
    }

    /// Sets the page size of range listings.
    pub fn with_page_limit(mut self, page: PageLimit) -> Self {
        self.page = page;
        self
    }

    /// Stores a record without a watch event. Older revisions become compacted.
    pub fn put<T: serde::Serialize>(&mut self, key: String, record: &T) {
        self.revision += 1;
        let entry = Entry {
            value: dillcleat_wire::store::encode_value(record),
            version: self.revision,
            lease: None,
        };
        self.keys.insert(key, entry);
        self.compacted = self.revision;
    }

    fn append_to_log(&mut self, event: WatchEvent) {
        self.log.push_back((self.revision, event));
        while self.log.len() > RETAINED_CHANGES {
            if let Some((revision, _)) = self.log.pop_front() {
                self.compacted = revision;
            }
        }
    }

    pub fn outage(&mut self, now: Micros, until: Micros) {
        self.outage_since = now;
        self.outage_until = until;
    }

    pub fn is_unavailable(&self, now: Micros) -> bool {
        now < self.outage_until
    }

    /// Ends expired leases. An outage restarts the full time to live of every lease.
    pub fn expire(&mut self, now: Micros) {
        if self.is_unavailable(now) {
            return;
        }
        if self.outage_since < self.outage_until {
            let outage_end = self.outage_until;
            for (ttl, until) in self.leases.values_mut() {
                *until = (*until).max(outage_end + *ttl);
            }
            self.outage_since = self.outage_until;
        }
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| now > *until)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
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
            self.append_to_log(event);
        }
    }

    /// Executes a call. Returns None for a watch that has to wait for changes.
    pub fn call(&mut self, call: &StoreRequest, now: Micros) -> Option<StoreResponse> {
        self.expire(now);
        if self.is_unavailable(now) {
            // Watches stay open during an outage; all other calls are refused.
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
            StoreRequest::Transaction(txn) => self.txn(txn, now),
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
            StoreRequest::Watch { after, .. } if *after < self.compacted => {
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

    /// The changes after a revision of keys with this prefix.
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

    fn refuse_oversized(&mut self, what: String) -> StoreResponse {
        if self.limits_lowered {
            self.refused_over_lowered_limits += 1;
        } else {
            self.protocol_errors.push(what);
        }
        StoreResponse::Malformed
    }

    fn txn(&mut self, txn: &Transaction, now: Micros) -> StoreResponse {
        let mut bytes = 0;
        for change in &txn.then {
            if let Mutation::Put { key, value, .. } = change {
                let size = json_size(value);
                bytes += size + key.len();
                if size > self.max_value_bytes {
                    let what = format!(
                        "{key}: value of {size} bytes exceeds the limit of {} bytes",
                        self.max_value_bytes
                    );
                    return self.refuse_oversized(what);
                }
            }
        }
        if bytes > MAX_TRANSACTION_BYTES
            || txn.then.len() > self.max_txn_ops
            || txn.compare.len() > 4 * self.max_txn_ops
        {
            let what = format!(
                "transaction of {} mutations, {} conditions and {bytes} bytes exceeds a limit: \
                 {} mutations, {} conditions, {MAX_TRANSACTION_BYTES} bytes",
                txn.then.len(),
                txn.compare.len(),
                self.max_txn_ops,
                4 * self.max_txn_ops
            );
            return self.refuse_oversized(what);
        }
        let mutations = txn.then.len() as f64;
        let bucket = self.write_rate.as_mut();
        if bucket.is_some_and(|bucket| !bucket.take(mutations, now)) {
            self.rate_limited_transactions += 1;
            return StoreResponse::RateLimited;
        }
        // Keys that only the leader writes must be fenced by a condition on the term. Most
        // conflicting writes would also fail on a version, so a missing condition on the
        // term would rarely show in the outcome of a run.
        let leader_owned = |c: &Mutation| match c {
            Mutation::Put { key, .. } | Mutation::Delete { key } => {
                key.starts_with("t/") || key.starts_with("m/")
            }
        };
        if txn.then.iter().any(leader_owned) && !txn.compare.iter().any(|c| c.key == "s/term") {
            self.protocol_errors.push(
                "write to a leader-owned key (t/ or m/) without a condition on s/term".into(),
            );
        }
        let failed: Vec<String> = txn
            .compare
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |e| e.version) != c.version)
            .map(|c| c.key.clone())
            .collect();
        let lease_expired = txn.then.iter().any(
            |c| matches!(c, Mutation::Put { lease: Some(l), .. } if !self.leases.contains_key(l)),
        );
        if lease_expired {
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
                    self.append_to_log(event);
                }
                Mutation::Delete { key } => self.delete(key),
            }
        }
        StoreResponse::Committed {
            revision: self.revision,
        }
    }

    /// The term of the latest leader, 0 before the first election.
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

    /// The keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.keys.keys();
        keys.filter(|k| k.starts_with(prefix)).cloned().collect()
    }
}

/// Open watches, each with its caller.
#[derive(Debug)]
pub struct Watches<T> {
    /// Caller, key prefix and start revision by number of the watch.
    open: BTreeMap<u64, (T, String, u64)>,
    last_number: u64,
}

impl<T> Default for Watches<T> {
    fn default() -> Self {
        Watches {
            open: BTreeMap::new(),
            last_number: 0,
        }
    }
}

impl<T: Copy> Watches<T> {
    /// Opens a watch. Returns its number and its timeout, or None if the call does not open
    /// a watch.
    pub fn open(&mut self, caller: T, call: &StoreRequest) -> Option<(u64, Micros)> {
        let StoreRequest::Watch {
            prefix,
            after,
            hold_ms,
        } = call
        else {
            return None;
        };
        self.last_number += 1;
        self.open
            .insert(self.last_number, (caller, prefix.clone(), *after));
        Some((self.last_number, hold_ms * MILLISECOND))
    }

    /// Closes a watch that has timed out. Returns its caller and changes, if it was open.
    pub fn close(&mut self, watch: u64, store: &SimulatedStore) -> Option<(T, WatchBatch)> {
        let (caller, prefix, after) = self.open.remove(&watch)?;
        Some((caller, store.changes(&prefix, after)))
    }

    /// Closes the watches that have changes and whose caller is `reachable`. Returns each
    /// caller and its changes.
    pub fn take_changed(
        &mut self,
        store: &SimulatedStore,
        reachable: impl Fn(T) -> bool,
    ) -> Vec<(T, WatchBatch)> {
        let mut answers = Vec::new();
        self.open.retain(|_, (caller, prefix, after)| {
            if !reachable(*caller) {
                return true;
            }
            let changes = store.changes(prefix, *after);
            let unchanged = changes.events.is_empty();
            if !unchanged {
                answers.push((*caller, changes));
            }
            unchanged
        });
        answers
    }
}
