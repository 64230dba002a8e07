//! The API server as a state machine: requests of clients go in, responses and calls come out.
//!
//! Whatever is read is at least as new as its request: a look at the store
//! (a watch that is not held) brings the objects up to date for all requests that
//! came before it. Whatever is written is one transaction that compares what it was
//! decided on.

mod discovery;
mod read;
mod write;

use crate::patch::Form;
use crate::reconciler::{Reconciler, Wish};
use crate::record::{Gone, Kind, Name, OBJECTS, Object, Record};
use crate::settings::{Rules, Token, Verb};
use crate::status_error::StatusError;
use crate::target::{Query, Scope, Since, Target, target};
use crate::watch_cache::Cache;
use crate::watches::{Filter, Sent, Watches};
use crate::{ApiRequest, ApiResponse, ControllerOutput, patch, reconciler, table, translate, view};
use dillcleat_controller::calls::store_timeout;
use dillcleat_controller::records::{self, JobStateRecord, OpenJob};
use dillcleat_controller::request_budget::{RequestPriority, StoreCost};
use dillcleat_controller::{
    CallError, CallId, JobEvent, MILLISECOND, Micros, Node, Output, RequestId, SECOND, Timestamp,
};
use dillcleat_wire::store::{StoreRequest, StoreResponse, Transaction};
use dillcleat_wire::user::JobState;
use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// How long the watch of the store is held.
const HOLD_MS: u64 = 20_000;
const RETRY: Micros = 200 * MILLISECOND;
/// How long a request may be tried.
const PATIENCE: Micros = 4 * SECOND;
/// Requests that may wait for a look, or for their transactions.
const MAX_WAITING: usize = 1_000;
const MAX_WRITES: usize = 256;
/// The largest body, and the deepest and widest document, that is read.
pub const BODY_LIMIT: usize = 64 * 1024;
const DEPTH: usize = 24;
const FIELDS: usize = 2_000;
/// Ids of this module's calls have this bit; the node's have not.
const OWN: u64 = 1 << 63;

/// What a request works with while it is carried out.
pub struct Ctx<'a> {
    pub now: Timestamp,
    pub node: &'a mut Node,
    pub out: &'a mut Vec<ControllerOutput>,
}

/// A request that was admitted.
#[derive(Debug, Clone)]
struct Request {
    id: RequestId,
    token: Rc<Token>,
    verb: Verb,
    scope: Scope,
    query: Rc<Query>,
    table: bool,
    body: Option<Value>,
    form: Option<Form>,
    since: Micros,
    /// Up to which revision the objects were known when it came in.
    from: u64,
    /// A transaction of it may have been carried out without our knowledge.
    uncertain: bool,
    /// The time that the object has which a create made, if it did.
    made: Option<Micros>,
    /// The uid of the object that a try without an answer was to delete.
    deleted: Option<String>,
}

/// Who waits for an answer of the store.
#[derive(Debug)]
enum Waiting {
    Page {
        first: bool,
    },
    Watch,
    Look(Vec<Request>),
    Create(Box<write::Creation>),
    /// How a name was used before.
    Before(Box<write::Creation>),
    Write(Box<write::Change>),
    Keep(Name),
    KeepLook(String),
}

#[derive(Debug)]
pub struct ApiServer {
    rules: Rules,
    cache: Cache,
    calls: HashMap<CallId, Waiting>,
    next: u64,
    /// When the reading of everything goes on, and after which key.
    load: Option<(Micros, Option<String>)>,
    watch_at: Option<Micros>,
    /// Requests that wait for the next look.
    waiting: VecDeque<Request>,
    looking: bool,
    writes: usize,
    watches: Watches,
    keeper: Reconciler,
}

/// Whether a document is deeper or wider than what is read.
fn too_complex(value: &Value, depth: usize, fields: &mut usize) -> bool {
    *fields += 1;
    let mut inner: Box<dyn Iterator<Item = &Value>> = match value {
        Value::Object(map) => Box::new(map.values()),
        Value::Array(items) => Box::new(items.iter()),
        _ => return *fields > FIELDS,
    };
    depth == 0 || *fields > FIELDS || inner.any(|v| too_complex(v, depth - 1, fields))
}

fn document(media: &str, body: &[u8]) -> Result<Value, StatusError> {
    if body.len() > BODY_LIMIT {
        return Err(StatusError::TooLarge(BODY_LIMIT));
    }
    let value: Value = match media {
        "application/yaml" => {
            let text =
                std::str::from_utf8(body).map_err(|e| StatusError::BadRequest(e.to_string()))?;
            crate::yaml::one(text).map_err(|e| StatusError::BadRequest(e.to_string()))?
        }
        json if matches!(json, "" | "application/json") || Form::of(json).is_some() => {
            serde_json::from_slice(body).map_err(|e| StatusError::BadRequest(e.to_string()))?
        }
        other => {
            return Err(StatusError::MediaType(format!(
                "the media type {other} is not served"
            )));
        }
    };
    if too_complex(&value, DEPTH, &mut 0) {
        let what = format!("deeper than {DEPTH} or of more than {FIELDS} values");
        return Err(StatusError::BadRequest(what));
    }
    Ok(value)
}

/// The media type of a header, without its parameters.
fn media(header: Option<&str>) -> String {
    let first = header.unwrap_or_default().split(';').next();
    first.unwrap_or_default().trim().to_ascii_lowercase()
}

/// Whether the client wants tables; an error if it takes nothing that is spoken here.
fn wants_table(accept: Option<&str>) -> Result<bool, StatusError> {
    let Some(accept) = accept.filter(|a| !a.trim().is_empty()) else {
        return Ok(false);
    };
    for choice in accept.split(',') {
        let mut parts = choice.split(';').map(str::trim);
        let kind = parts.next().unwrap_or_default();
        if !matches!(kind, "application/json" | "application/*" | "*/*") {
            continue;
        }
        let parts: Vec<&str> = parts.collect();
        match parts.iter().find_map(|p| p.strip_prefix("as=")) {
            None => return Ok(false),
            Some("Table") if parts.contains(&"v=v1") => return Ok(true),
            // Another form of it may come next.
            Some(_) => {}
        }
    }
    Err(StatusError::MediaType(format!(
        "only JSON is spoken here, not {accept}"
    )))
}

impl ApiServer {
    pub fn new(rules: Rules) -> ApiServer {
        ApiServer {
            rules,
            cache: Cache::default(),
            calls: HashMap::new(),
            next: 0,
            load: Some((0, None)),
            watch_at: None,
            waiting: VecDeque::new(),
            looking: false,
            writes: 0,
            watches: Watches::default(),
            keeper: Reconciler::default(),
        }
    }

    /// Whether a call's answer is for this API server.
    pub fn owns(id: CallId) -> bool {
        id.0 & OWN != 0
    }

    /// Objects that are known here, and clients that watch.
    pub fn sizes(&self) -> (usize, usize) {
        (self.cache.len(), self.watches.count())
    }

    /// The objects as known here, for rehearsals.
    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    fn call(&mut self, ctx: &mut Ctx, call: StoreRequest, waiting: Waiting) {
        self.next += 1;
        let id = CallId(OWN | self.next);
        let timeout = store_timeout(&call);
        self.calls.insert(id, waiting);
        ctx.out
            .push(ControllerOutput::Core(Output::Store { id, call, timeout }));
    }

    fn reply(&self, ctx: &mut Ctx, id: RequestId, status: u16, body: &Value) {
        let reply = ApiResponse {
            status,
            body: body.to_string().into_bytes(),
            retry_after: None,
        };
        ctx.out.push(ControllerOutput::Reply { id, reply });
    }

    fn refuse(&self, ctx: &mut Ctx, id: RequestId, fault: &StatusError) {
        let reply = ApiResponse {
            status: fault.code().0,
            body: json!(fault.status()).to_string().into_bytes(),
            retry_after: fault.retry_after(),
        };
        ctx.out.push(ControllerOutput::Reply { id, reply });
    }

    fn send(&self, ctx: &mut Ctx, sent: Vec<Sent>) {
        ctx.out.extend(sent.into_iter().map(|s| match s {
            Sent::Chunk(id, bytes) => ControllerOutput::Chunk { id, bytes },
            Sent::End(id) => ControllerOutput::End { id },
        }));
    }

    /// A client's request.
    pub fn ask(&mut self, ctx: &mut Ctx, id: RequestId, ask: ApiRequest) {
        if let Err(fault) = self.admit(ctx, id, ask) {
            self.refuse(ctx, id, &fault);
        }
    }

    fn admit(&mut self, ctx: &mut Ctx, id: RequestId, ask: ApiRequest) -> Result<(), StatusError> {
        let (path, query) = ask.target.split_once('?').unwrap_or((&ask.target, ""));
        let secret = ask.bearer.as_deref().ok_or(StatusError::Unauthorized)?;
        let token = self.rules.token(secret).ok_or(StatusError::Unauthorized)?;
        let query = Query::parse(query)?;
        let (verb, scope) = match target(&ask.method, path, query.watch)? {
            Target::About(about) => {
                self.reply(ctx, id, 200, &discovery::about(about));
                return Ok(());
            }
            Target::Objects(verb, scope) => (verb, scope),
        };
        let table = wants_table(ask.accept.as_deref())?;
        let namespace = match &scope {
            Scope::All(_, namespace) => namespace.as_ref(),
            Scope::One(name) | Scope::Status(name) => Some(&name.namespace),
            Scope::Namespace(name) => Some(name),
            Scope::Namespaces => None,
        };
        if !token.may(verb) || namespace.is_some_and(|n| !token.sees(n)) {
            let whole = "every namespace".to_string();
            return Err(StatusError::Forbidden(format!(
                "{} may not {} in {}",
                token.name,
                verb.name(),
                namespace.unwrap_or(&whole),
            )));
        }
        // To read and check a create costs four times a native one's time, and in a
        // flood most are turned away.
        if verb == Verb::Create
            && !ctx.node.has_budget(
                StoreCost::transaction(1.0),
                RequestPriority::Change,
                ctx.now,
            )
        {
            ctx.node.count_request();
            return Err(StatusError::TooMany);
        }
        let media = media(ask.content_type.as_deref());
        let form = Form::of(&media);
        let body = match verb {
            Verb::Create | Verb::Update | Verb::Patch => Some(document(&media, &ask.body)?),
            Verb::Delete if !ask.body.is_empty() => Some(document(&media, &ask.body)?),
            _ => None,
        };
        if (verb == Verb::Patch) != form.is_some() {
            let what = "a patch is a JSON merge patch or a strategic one, nothing else is";
            return Err(StatusError::MediaType(what.into()));
        }
        // A watch costs the store nothing.
        if verb != Verb::Watch {
            ctx.node.count_request();
        }
        let request = Request {
            id,
            token,
            verb,
            scope,
            query: Rc::new(query),
            table,
            body,
            form,
            since: ctx.now.monotonic,
            from: self.cache.revision().unwrap_or(0),
            uncertain: false,
            made: None,
            deleted: None,
        };
        self.begin(ctx, request)
    }

    fn begin(&mut self, ctx: &mut Ctx, request: Request) -> Result<(), StatusError> {
        if let Scope::Namespaces | Scope::Namespace(_) = request.scope {
            let shown = discovery::namespaces(ctx, &request)?;
            self.reply(ctx, request.id, 200, &shown);
            return Ok(());
        }
        if self.cache.revision().is_none() {
            return Err(StatusError::Unavailable("the objects are not read yet"));
        }
        let any = matches!(request.verb, Verb::Get | Verb::List)
            && request.query.since == Since::Any
            || request.verb == Verb::Watch && request.query.since != Since::Now;
        if any {
            return self.read(ctx, request);
        }
        if request.verb == Verb::Create {
            return self.create(ctx, request);
        }
        if self.waiting.len() >= MAX_WAITING {
            return Err(StatusError::TooMany);
        }
        self.wait(ctx, request);
        Ok(())
    }

    /// Has a request wait until the objects are as new as it.
    fn wait(&mut self, ctx: &mut Ctx, request: Request) {
        self.waiting.push_back(request);
        self.look(ctx);
    }

    /// Brings the objects up to date for those who wait, unless that is under way.
    fn look(&mut self, ctx: &mut Ctx) {
        let Some(after) = self.cache.revision() else {
            return;
        };
        if self.looking || self.waiting.is_empty() {
            return;
        }
        // Whoever ends or changes something goes before those who only look.
        let need = self.waiting.iter().map(|r| need(r.verb)).min();
        if !ctx.node.take_budget(
            StoreCost::READ,
            need.unwrap_or(RequestPriority::Poll),
            ctx.now,
        ) {
            return;
        }
        self.looking = true;
        let requests = std::mem::take(&mut self.waiting).into();
        let call = StoreRequest::Watch {
            prefix: OBJECTS.into(),
            after,
            hold_ms: 0,
        };
        self.call(ctx, call, Waiting::Look(requests));
    }

    /// Goes on with a request for which the objects are new enough.
    fn go_on(&mut self, ctx: &mut Ctx, request: Request) {
        let id = request.id;
        let done = match request.verb {
            Verb::Get | Verb::List | Verb::Watch => self.read(ctx, request),
            Verb::Create => self.create_again(ctx, request),
            Verb::Update | Verb::Patch => self.update(ctx, request),
            Verb::Delete => self.delete(ctx, request),
        };
        if let Err(fault) = done {
            self.refuse(ctx, id, &fault);
        }
    }

    /// The client of a request has gone, or reads too slowly.
    pub fn gone(&mut self, id: RequestId) {
        self.watches.close(id);
    }

    /// The node of this process has learned something of a job.
    pub fn told(&mut self, told: JobEvent) {
        self.keeper.told(told, &self.cache);
    }

    pub fn tick(&mut self, ctx: &mut Ctx) {
        let now = ctx.now.monotonic;
        if let Some((at, after)) = self.load.clone()
            && now >= at
        {
            self.load = None;
            let first = after.is_none();
            let prefix = OBJECTS.to_string();
            self.call(
                ctx,
                StoreRequest::List { prefix, after },
                Waiting::Page { first },
            );
        }
        if let (Some(at), Some(after)) = (self.watch_at, self.cache.revision())
            && now >= at
        {
            self.watch_at = None;
            let call = StoreRequest::Watch {
                prefix: OBJECTS.into(),
                after,
                hold_ms: HOLD_MS,
            };
            self.call(ctx, call, Waiting::Watch);
        }
        let (late, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|r| now >= r.since + PATIENCE);
        self.waiting = waiting;
        let late: VecDeque<Request> = late;
        for request in late {
            self.refuse(ctx, request.id, &StatusError::TooMany);
        }
        self.look(ctx);
        let sent = self.watches.tick(now, self.cache.revision().unwrap_or(0));
        self.send(ctx, sent);
        self.keep(ctx);
    }

    fn keep(&mut self, ctx: &mut Ctx) {
        let Some(fence) = ctx.node.fence().filter(|_| self.cache.revision().is_some()) else {
            return;
        };
        let times = (ctx.now.monotonic, ctx.now.wall);
        let holds = |job: &str| ctx.node.has_open_job(job);
        for wish in self.keeper.turn(fence, &self.cache, holds, times) {
            let changes = f64::from(u8::from(matches!(wish, Wish::Change(..))));
            if !ctx.node.take_budget(
                StoreCost::transaction(changes),
                RequestPriority::End,
                ctx.now,
            ) {
                self.keeper.put_off(wish);
                continue;
            }
            match wish {
                Wish::Change(name, txn) => {
                    self.call(ctx, StoreRequest::Transaction(txn), Waiting::Keep(name));
                }
                Wish::Look(job) => self.look_at_job(ctx, job),
            }
        }
    }

    fn look_at_job(&mut self, ctx: &mut Ctx, job: String) {
        let key = records::job_state_key(&job);
        self.call(ctx, StoreRequest::Get { key }, Waiting::KeepLook(job));
    }

    /// An answer of the store.
    pub fn answered(&mut self, ctx: &mut Ctx, id: CallId, reply: Result<StoreResponse, CallError>) {
        let Some(waiting) = self.calls.remove(&id) else {
            return;
        };
        match waiting {
            Waiting::Page { first } => self.paged(ctx, first, reply),
            Waiting::Watch => match self.changed(ctx, reply) {
                true => self.watch_at = Some(ctx.now.monotonic),
                false => self.watch_at = Some(ctx.now.monotonic + RETRY),
            },
            Waiting::Look(requests) => {
                self.looking = false;
                let known = self.changed(ctx, reply) && self.cache.revision().is_some();
                for request in requests {
                    if known {
                        self.go_on(ctx, request);
                    } else {
                        let fault = StatusError::Unavailable("the state is out of reach");
                        self.refuse(ctx, request.id, &fault);
                    }
                }
                self.look(ctx);
            }
            Waiting::Create(creation) => self.created(ctx, *creation, reply),
            Waiting::Before(creation) => self.used_before(ctx, *creation, reply),
            Waiting::Write(change) => self.written(ctx, *change, reply),
            Waiting::Keep(name) => {
                let committed = matches!(reply, Ok(StoreResponse::Committed { .. }));
                self.keeper.changed(&name, committed, ctx.now.wall);
                if let Ok(StoreResponse::Conflict { failed, .. }) = reply {
                    // It ended by itself at that moment.
                    let job = failed.iter().find_map(|k| k.strip_prefix("j/"));
                    if let Some(job) = job {
                        self.look_at_job(ctx, job.to_string());
                    }
                }
            }
            Waiting::KeepLook(job) => {
                let mark = match reply {
                    Ok(StoreResponse::Found(row)) => row.decode_value::<JobStateRecord>(),
                    _ => None,
                };
                let ended: Option<JobState> = mark.and_then(|m| m.state.ended());
                self.keeper.looked(&job, ended, &self.cache);
            }
        }
        self.keep(ctx);
    }

    fn paged(&mut self, ctx: &mut Ctx, first: bool, reply: Result<StoreResponse, CallError>) {
        let now = ctx.now.monotonic;
        let Ok(StoreResponse::RangePage(page)) = reply else {
            self.load = Some((now + RETRY, None));
            return;
        };
        match self.cache.page(page, first) {
            Some(after) => self.load = Some((now, Some(after))),
            None => {
                log::info!("read {} objects", self.cache.len());
                self.watch_at = Some(now);
            }
        }
    }

    /// Takes changes up and tells them on; false if there were none to be had.
    fn changed(&mut self, ctx: &mut Ctx, reply: Result<StoreResponse, CallError>) -> bool {
        // Only a leader's keeper works off what it is told.
        let leads = ctx.node.fence().is_some();
        match reply {
            Ok(StoreResponse::WatchBatch(changes)) => {
                for turn in self.cache.apply(changes) {
                    let sent = self.watches.turned(&turn, ctx.now.wall);
                    self.send(ctx, sent);
                    if leads {
                        self.keeper.turned(&turn);
                    }
                }
                true
            }
            Ok(StoreResponse::Compacted) => {
                log::info!("lost sight of the objects, reading them again");
                let sent = self.watches.lost();
                self.send(ctx, sent);
                self.cache = Cache::default();
                self.load = Some((ctx.now.monotonic, None));
                self.watch_at = None;
                false
            }
            _ => false,
        }
    }
}

/// What is turned away first when there is too much.
fn need(verb: Verb) -> RequestPriority {
    match verb {
        Verb::Get | Verb::List | Verb::Watch => RequestPriority::Poll,
        Verb::Create | Verb::Update | Verb::Patch => RequestPriority::Change,
        Verb::Delete => RequestPriority::End,
    }
}
