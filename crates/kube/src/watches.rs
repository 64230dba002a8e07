//! Clients that watch.

use crate::cache::{Cache, Turn};
use crate::record::{Kind, Object};
use crate::settings::Token;
use crate::target::Query;
use crate::{table, view};
use dillcleat_controller::{Micros, RequestId, SECOND};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How often a watch is told up to which version it has seen everything.
const BOOKMARK: Micros = 20 * SECOND;

/// What a client sees of the objects.
#[derive(Debug, Clone)]
pub struct Filter {
    pub kind: Kind,
    pub namespace: Option<String>,
    pub query: Rc<Query>,
    pub token: Rc<Token>,
}

impl Filter {
    pub fn takes(&self, object: &Object) -> bool {
        let name = &object.name;
        let field = |field: &str| match field {
            "metadata.name" => name.name.clone(),
            "metadata.namespace" => name.namespace.clone(),
            _ => u32::from(view::word(object) == "Complete").to_string(),
        };
        name.kind == self.kind
            && self.namespace.as_ref().is_none_or(|n| *n == name.namespace)
            && self.token.sees(&name.namespace)
            && self.query.labels.takes_labels(&object.record.labels)
            && self.query.fields.takes_fields(field)
    }
}

#[derive(Debug)]
struct Watch {
    filter: Filter,
    table: bool,
    bookmarks: bool,
    /// Up to which version the client knows everything. It may know more than this
    /// controller, which then catches up: what is no news to it was once told again
    /// (seed 1291).
    after: u64,
    until: Micros,
    bookmark_at: Micros,
    /// Rows of tables are told their columns once.
    headed: bool,
}

/// What goes out to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sent {
    Chunk(RequestId, Rc<[u8]>),
    End(RequestId),
}

#[derive(Debug, Default)]
pub struct Watches {
    open: BTreeMap<RequestId, Watch>,
}

fn line(kind: &str, object: Value) -> Rc<[u8]> {
    let mut bytes = json!({"type": kind, "object": object})
        .to_string()
        .into_bytes();
    bytes.push(b'\n');
    bytes.into()
}

/// One change, written once for all who see it.
struct Written<'a> {
    turn: &'a Turn,
    wall: Micros,
    made: BTreeMap<(&'static str, bool, bool), Rc<[u8]>>,
}

impl Written<'_> {
    /// What the change is to this filter.
    fn kind(&self, filter: &Filter) -> Option<(&'static str, &Rc<Object>)> {
        let seen = |o: &Option<Rc<Object>>| o.as_ref().is_some_and(|o| filter.takes(o));
        match (seen(&self.turn.old), seen(&self.turn.new)) {
            (false, true) => Some(("ADDED", self.turn.new.as_ref()?)),
            (true, true) => Some(("MODIFIED", self.turn.new.as_ref()?)),
            (true, false) => Some(("DELETED", self.turn.old.as_ref()?)),
            (false, false) => None,
        }
    }

    fn bytes(&mut self, watch: &mut Watch) -> Option<Rc<[u8]>> {
        if self.turn.version <= watch.after {
            return None;
        }
        let (kind, object) = self.kind(&watch.filter)?;
        let object = object.clone();
        let key = (
            kind,
            watch.table,
            std::mem::replace(&mut watch.headed, true),
        );
        if let Some(bytes) = self.made.get(&key) {
            return Some(bytes.clone());
        }
        // What is deleted is shown as it was last, under the version of its end.
        let object = Object {
            version: self.turn.version,
            ..(*object).clone()
        };
        let bytes = line(kind, shown(&object, watch.table, key.2, self.wall));
        self.made.insert(key, bytes.clone());
        Some(bytes)
    }
}

fn shown(object: &Object, as_table: bool, headed: bool, wall: Micros) -> Value {
    if !as_table {
        return view::object(object, None);
    }
    let meta = json!({"resourceVersion": object.version.to_string()});
    table::table(vec![table::row(object, None, wall)], meta, !headed)
}

impl Watches {
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Opens a watch. `from`: the version up to which the client knows everything, or
    /// None if it knows nothing and is told what there is first. Returns None if that
    /// version is too old.
    #[expect(clippy::too_many_arguments, reason = "each is one thing a client says")]
    pub fn open(
        &mut self,
        id: RequestId,
        filter: Filter,
        as_table: bool,
        bookmarks: bool,
        from: Option<u64>,
        cache: &Cache,
        (now, until, wall): (Micros, Micros, Micros),
    ) -> Option<Vec<Sent>> {
        let mut sent = Vec::new();
        let mut watch = Watch {
            filter,
            table: as_table,
            bookmarks,
            after: from.unwrap_or(0),
            until,
            bookmark_at: now + BOOKMARK,
            headed: false,
        };
        match from {
            Some(version) => {
                for turn in cache.since(version)? {
                    let made = BTreeMap::new();
                    let bytes = Written { turn, wall, made }.bytes(&mut watch);
                    sent.extend(bytes.map(|b| Sent::Chunk(id, b)));
                }
            }
            None => {
                let namespace = watch.filter.namespace.clone();
                for object in cache.all(watch.filter.kind, namespace.as_deref(), None) {
                    if watch.filter.takes(object) {
                        let shown = shown(object, as_table, watch.headed, wall);
                        watch.headed = true;
                        sent.push(Sent::Chunk(id, line("ADDED", shown)));
                    }
                }
            }
        }
        self.open.insert(id, watch);
        Some(sent)
    }

    pub fn close(&mut self, id: RequestId) {
        self.open.remove(&id);
    }

    /// Tells a change to everybody who sees it.
    pub fn turned(&mut self, turn: &Turn, wall: Micros) -> Vec<Sent> {
        let made = BTreeMap::new();
        let mut written = Written { turn, wall, made };
        let mut sent = Vec::new();
        for (id, watch) in &mut self.open {
            sent.extend(written.bytes(watch).map(|b| Sent::Chunk(*id, b)));
        }
        sent
    }

    /// Ends what is over and tells those who want to know where they are.
    pub fn tick(&mut self, now: Micros, revision: u64) -> Vec<Sent> {
        let mut sent = Vec::new();
        let mut bookmark: Option<Rc<[u8]>> = None;
        self.open.retain(|id, watch| {
            if now >= watch.until {
                sent.push(Sent::End(*id));
                return false;
            }
            if watch.bookmarks && revision >= watch.after && now >= watch.bookmark_at {
                watch.bookmark_at = now + BOOKMARK;
                let kind = watch.filter.kind;
                let bytes = bookmark.get_or_insert_with(|| {
                    let meta = json!({"resourceVersion": revision.to_string()});
                    let object = json!({"kind": kind.name(), "apiVersion": kind.api_version(), "metadata": meta});
                    line("BOOKMARK", object)
                });
                sent.push(Sent::Chunk(*id, bytes.clone()));
            }
            true
        });
        sent
    }

    /// Ends all, since what they have missed is not known: 410, in its form for those
    /// who watch already.
    pub fn lost(&mut self) -> Vec<Sent> {
        let fault = crate::fault::Fault::Expired("too old resource version".into());
        let bytes = line("ERROR", json!(fault.status()));
        let ids = std::mem::take(&mut self.open).into_keys();
        ids.flat_map(|id| [Sent::Chunk(id, bytes.clone()), Sent::End(id)])
            .collect()
    }
}
