//! The open watches of clients, and the events that they are sent.

use crate::record::{Kind, Object};
use crate::settings::TokenGrant;
use crate::target::Query;
use crate::watch_cache::{ObjectChange, WatchCache};
use crate::{table, view};
use dillcleat_controller::{Micros, RequestId, SECOND};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

const BOOKMARK_INTERVAL: Micros = 20 * SECOND;

/// Selects the objects that a request addresses and its token may access.
#[derive(Debug, Clone)]
pub struct Filter {
    pub kind: Kind,
    pub namespace: Option<String>,
    pub query: Rc<Query>,
    pub token: Rc<TokenGrant>,
}

impl Filter {
    pub fn matches(&self, object: &Object) -> bool {
        let name = &object.name;
        let field = |field: &str| match field {
            "metadata.name" => name.name.clone(),
            "metadata.namespace" => name.namespace.clone(),
            // `status.successful`: 1 if the Job is complete, else 0.
            _ => u32::from(view::phase(object) == "Complete").to_string(),
        };
        name.kind == self.kind
            && self.namespace.as_ref().is_none_or(|n| *n == name.namespace)
            && self.token.may_access(&name.namespace)
            && self.query.labels.matches_labels(&object.record.labels)
            && self.query.fields.matches_fields(field)
    }
}

#[derive(Debug)]
struct Watch {
    filter: Filter,
    as_table: bool,
    bookmarks: bool,
    /// The version up to which the client has seen all changes. The watch cache may be
    /// behind it; changes up to this version are not sent again.
    seen_version: u64,
    ends_at: Micros,
    next_bookmark: Micros,
    /// Whether a table with column definitions has been sent.
    columns_sent: bool,
}

/// Output to the client of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutput {
    Chunk(RequestId, Rc<[u8]>),
    End(RequestId),
}

#[derive(Debug, Default)]
pub struct Watches {
    open: BTreeMap<RequestId, Watch>,
}

fn event_line(event_type: &str, object: Value) -> Rc<[u8]> {
    let mut bytes = json!({"type": event_type, "object": object})
        .to_string()
        .into_bytes();
    bytes.push(b'\n');
    bytes.into()
}

/// Encodes the events of one change. Each encoding is made once and shared by all watches
/// that need it.
struct EventEncoder<'a> {
    change: &'a ObjectChange,
    wall_time: Micros,
    /// Encodings by event type, and by `as_table` and `columns_sent` of the watch.
    encoded: BTreeMap<(&'static str, bool, bool), Rc<[u8]>>,
}

impl EventEncoder<'_> {
    /// The type and object of the event that a watch with this filter receives.
    fn event(&self, filter: &Filter) -> Option<(&'static str, &Rc<Object>)> {
        let matches = |o: &Option<Rc<Object>>| o.as_ref().is_some_and(|o| filter.matches(o));
        match (matches(&self.change.old), matches(&self.change.new)) {
            (false, true) => Some(("ADDED", self.change.new.as_ref()?)),
            (true, true) => Some(("MODIFIED", self.change.new.as_ref()?)),
            (true, false) => Some(("DELETED", self.change.old.as_ref()?)),
            (false, false) => None,
        }
    }

    /// Encodes the event for a watch and marks its column definitions as sent; None if the
    /// change does not concern it.
    fn encode(&mut self, watch: &mut Watch) -> Option<Rc<[u8]>> {
        if self.change.version <= watch.seen_version {
            return None;
        }
        let (event_type, object) = self.event(&watch.filter)?;
        let object = object.clone();
        let key = (
            event_type,
            watch.as_table,
            std::mem::replace(&mut watch.columns_sent, true),
        );
        if let Some(bytes) = self.encoded.get(&key) {
            return Some(bytes.clone());
        }
        // A deleted object is sent in its last state, with the version of the deletion.
        let object = Object {
            version: self.change.version,
            ..(*object).clone()
        };
        let body = render(&object, watch.as_table, key.2, self.wall_time);
        let bytes = event_line(event_type, body);
        self.encoded.insert(key, bytes.clone());
        Some(bytes)
    }
}

fn render(object: &Object, as_table: bool, columns_sent: bool, wall_time: Micros) -> Value {
    if !as_table {
        return view::to_json(object, None);
    }
    let meta = json!({"resourceVersion": object.version.to_string()});
    table::table(
        vec![table::row(object, None, wall_time)],
        meta,
        !columns_sent,
    )
}

impl Watches {
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Opens a watch. `seen_version` is the version up to which the client has seen all changes;
    /// with None the watch starts with an event for each existing object. Returns None if
    /// `seen_version` is older than the changes that the cache keeps.
    #[expect(clippy::too_many_arguments, reason = "all are needed to open a watch")]
    pub fn open(
        &mut self,
        id: RequestId,
        filter: Filter,
        as_table: bool,
        bookmarks: bool,
        seen_version: Option<u64>,
        cache: &WatchCache,
        (now, ends_at, wall_time): (Micros, Micros, Micros),
    ) -> Option<Vec<WatchOutput>> {
        let mut outputs = Vec::new();
        let mut watch = Watch {
            filter,
            as_table,
            bookmarks,
            seen_version: seen_version.unwrap_or(0),
            ends_at,
            next_bookmark: now + BOOKMARK_INTERVAL,
            columns_sent: false,
        };
        match seen_version {
            Some(version) => {
                for change in cache.changes_since(version)? {
                    let encoded = BTreeMap::new();
                    let mut encoder = EventEncoder {
                        change,
                        wall_time,
                        encoded,
                    };
                    let bytes = encoder.encode(&mut watch);
                    outputs.extend(bytes.map(|b| WatchOutput::Chunk(id, b)));
                }
            }
            None => {
                let namespace = watch.filter.namespace.clone();
                for object in cache.objects(watch.filter.kind, namespace.as_deref(), None) {
                    if watch.filter.matches(object) {
                        let body = render(object, as_table, watch.columns_sent, wall_time);
                        watch.columns_sent = true;
                        outputs.push(WatchOutput::Chunk(id, event_line("ADDED", body)));
                    }
                }
            }
        }
        self.open.insert(id, watch);
        Some(outputs)
    }

    pub fn close(&mut self, id: RequestId) {
        self.open.remove(&id);
    }

    /// Returns the events of a change for all watches whose filter matches the object before
    /// or after it.
    pub fn events_for(&mut self, change: &ObjectChange, wall_time: Micros) -> Vec<WatchOutput> {
        let encoded = BTreeMap::new();
        let mut encoder = EventEncoder {
            change,
            wall_time,
            encoded,
        };
        let mut outputs = Vec::new();
        for (id, watch) in &mut self.open {
            let bytes = encoder.encode(watch);
            outputs.extend(bytes.map(|b| WatchOutput::Chunk(*id, b)));
        }
        outputs
    }

    /// Ends watches whose time is over and sends the bookmarks that are due.
    pub fn tick(&mut self, now: Micros, revision: u64) -> Vec<WatchOutput> {
        let mut outputs = Vec::new();
        let mut bookmark: Option<Rc<[u8]>> = None;
        self.open.retain(|id, watch| {
            if now >= watch.ends_at {
                outputs.push(WatchOutput::End(*id));
                return false;
            }
            if watch.bookmarks && revision >= watch.seen_version && now >= watch.next_bookmark {
                watch.next_bookmark = now + BOOKMARK_INTERVAL;
                let kind = watch.filter.kind;
                let bytes = bookmark.get_or_insert_with(|| {
                    let meta = json!({"resourceVersion": revision.to_string()});
                    let object = json!({"kind": kind.name(), "apiVersion": kind.api_version(), "metadata": meta});
                    event_line("BOOKMARK", object)
                });
                outputs.push(WatchOutput::Chunk(*id, bytes.clone()));
            }
            true
        });
        outputs
    }

    /// Ends all watches with an `ERROR` event of status 410, because the changes that they
    /// have missed are unknown.
    pub fn expire_all(&mut self) -> Vec<WatchOutput> {
        let error = crate::status_error::StatusError::Expired("too old resource version".into());
        let bytes = event_line("ERROR", json!(error.status()));
        let ids = std::mem::take(&mut self.open).into_keys();
        ids.flat_map(|id| [WatchOutput::Chunk(id, bytes.clone()), WatchOutput::End(id)])
            .collect()
    }
}
