//! The API server as a state machine: its inputs are requests of clients and responses of
//! the store, its outputs are responses to clients and requests to the store.
//!
//! A read or watch without a resource version is at least as recent as the request: it
//! waits for a refresh, a non-blocking watch request to the store that brings the watch
//! cache up to date. With `resourceVersion=0` it is served from the cache as it is. A write
//! is one transaction that compares the versions it is based on.

mod discovery;
mod read;
mod write;

use crate::patch::PatchType;
use crate::reconciler::{Reconciler, ReconcilerRequest};
use crate::record::{Kind, Name, OBJECTS, Object, Record, Tombstone};
use crate::settings::{ApiServerConfig, TokenGrant, Verb};
use crate::status_error::StatusError;
use crate::target::{Query, ResourceVersion, Scope, Target, parse_target};
use crate::watch_cache::WatchCache;
use crate::watches::{Filter, WatchOutput, Watches};
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

/// The time after which the store answers a long poll without changes.
const LONG_POLL_TIMEOUT_MS: u64 = 20_000;
/// The delay after a failed list or watch of the store.
const RETRY_DELAY: Micros = 200 * MILLISECOND;
/// The time after which a waiting request is answered with status 429 and a store
/// transaction is no longer retried.
const STORE_RETRY_TIMEOUT: Micros = 4 * SECOND;
/// The maximum number of requests that wait for a refresh.
const MAX_WAITING_REQUESTS: usize = 1_000;
const MAX_WRITES_IN_FLIGHT: usize = 256;
/// Deletions may exceed the limit of other writes, so that they succeed under overload.
const MAX_WRITES_IN_FLIGHT_FOR_DELETION: usize = 2 * MAX_WRITES_IN_FLIGHT;
pub const MAX_BODY_BYTES: usize = 64 * 1024;
const MAX_BODY_DEPTH: usize = 24;
const MAX_BODY_VALUES: usize = 2_000;
/// A bit that is set in the ids of the API server's store requests but not in those of
/// the node.
const CALL_ID_BIT: u64 = 1 << 63;

/// The time, the node and the output queue for handling one input.
pub struct Context<'a> {
    pub now: Timestamp,
    pub node: &'a mut Node,
    pub out: &'a mut Vec<ControllerOutput>,
}

/// A request that is authorized and has a valid body.
#[derive(Debug, Clone)]
struct Request {
    id: RequestId,
    token: Rc<TokenGrant>,
    verb: Verb,
    scope: Scope,
    query: Rc<Query>,
    as_table: bool,
    body: Option<Value>,
    patch_type: Option<PatchType>,
    received_at: Micros,
    /// The revision of the watch cache when the request was received.
    received_revision: u64,
    /// Whether a transaction of this request got no response, so that it may have been
    /// committed.
    outcome_unknown: bool,
    /// The creation time in the object that this request tries to create.
    created_at: Option<Micros>,
    /// The uid of the object in a deletion that got no response.
    deleted_uid: Option<String>,
}

/// A store request that awaits its response.
#[derive(Debug)]
enum PendingStoreRequest {
    /// A page of the list of all objects.
    ListPage {
        first: bool,
    },
    /// The long poll for changes.
    Watch,
    /// A refresh, with the requests that wait for it.
    Refresh(Vec<Request>),
    Create(Box<write::PendingCreate>),
    /// Reads the tombstone of the name of an object to create.
    ReadTombstone(Box<write::PendingCreate>),
    Write(Box<write::PendingWrite>),
    /// An update by the reconciler.
    ReconcilerUpdate(Name),
    /// A read of the state of a job, for the reconciler.
    ReadJobState(String),
}

/// The next page to request of the list of all objects.
#[derive(Debug)]
struct NextPage {
    /// When to request it.
    at: Micros,
    /// The last key of the previous page; None for the first page.
    after_key: Option<String>,
}

impl NextPage {
    fn first(at: Micros) -> Option<NextPage> {
        Some(NextPage {
            at,
            after_key: None,
        })
    }
}

#[derive(Debug)]
pub struct ApiServer {
    config: ApiServerConfig,
    cache: WatchCache,
    pending_requests: HashMap<CallId, PendingStoreRequest>,
    last_store_request: u64,
    /// The next page of the list of all objects to request, if any.
    next_page: Option<NextPage>,
    /// When to send the next long poll to the store; None while one is in flight or before
    /// the objects are listed.
    watch_at: Option<Micros>,
    /// Requests that wait for the next refresh.
    waiting: VecDeque<Request>,
    refreshing: bool,
    writes_in_flight: usize,
    watches: Watches,
    reconciler: Reconciler,
}

/// Whether a body exceeds the limits on depth and on the number of values. `count`
/// counts the values visited.
fn too_complex(value: &Value, depth: usize, count: &mut usize) -> bool {
    *count += 1;
    let mut inner: Box<dyn Iterator<Item = &Value>> = match value {
        Value::Object(map) => Box::new(map.values()),
        Value::Array(items) => Box::new(items.iter()),
        _ => return *count > MAX_BODY_VALUES,
    };
    depth == 0 || *count > MAX_BODY_VALUES || inner.any(|v| too_complex(v, depth - 1, count))
}

/// Parses the body of a request.
fn parse_body(media_type: &str, body: &[u8]) -> Result<Value, StatusError> {
    if body.len() > MAX_BODY_BYTES {
        return Err(StatusError::BodyTooLarge(MAX_BODY_BYTES));
    }
    let value: Value = match media_type {
        "application/yaml" => {
            let text =
                std::str::from_utf8(body).map_err(|e| StatusError::BadRequest(e.to_string()))?;
            crate::yaml::parse_document(text).map_err(|e| StatusError::BadRequest(e.to_string()))?
        }
        json if matches!(json, "" | "application/json")
            || PatchType::from_media_type(json).is_some() =>
        {
            serde_json::from_slice(body).map_err(|e| StatusError::BadRequest(e.to_string()))?
        }
        other => {
            return Err(StatusError::UnsupportedMediaType(format!(
                "the media type {other} is not served"
            )));
        }
    };
    if too_complex(&value, MAX_BODY_DEPTH, &mut 0) {
        return Err(StatusError::BadRequest(format!(
            "deeper than {MAX_BODY_DEPTH} or of more than {MAX_BODY_VALUES} values"
        )));
    }
    Ok(value)
}

/// The media type in a header, without its parameters.
fn parse_media_type(header: Option<&str>) -> String {
    let first = header.unwrap_or_default().split(';').next();
    first.unwrap_or_default().trim().to_ascii_lowercase()
}

/// Whether the client prefers tables. Returns an error if it accepts no supported media
/// type.
fn prefers_table(accept: Option<&str>) -> Result<bool, StatusError> {
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
            // Not supported, but a later media type in the header may be.
            Some(_) => {}
        }
    }
    Err(StatusError::UnsupportedMediaType(format!(
        "only JSON is spoken here, not {accept}"
    )))
}

impl ApiServer {
    pub fn new(config: ApiServerConfig) -> ApiServer {
        ApiServer {
            config,
            cache: WatchCache::default(),
            pending_requests: HashMap::new(),
            last_store_request: 0,
            next_page: NextPage::first(0),
            watch_at: None,
            waiting: VecDeque::new(),
            refreshing: false,
            writes_in_flight: 0,
            watches: Watches::default(),
            reconciler: Reconciler::default(),
        }
    }

    /// Whether a store request was made by this API server and not by the node.
    pub fn is_own_call(id: CallId) -> bool {
        id.0 & CALL_ID_BIT != 0
    }

    /// The number of objects in the watch cache and of open watches.
    pub fn object_and_watch_counts(&self) -> (usize, usize) {
        (self.cache.len(), self.watches.count())
    }

    pub fn cache(&self) -> &WatchCache {
        &self.cache
    }

    /// Sends a request to the store; `pending` determines how its response is handled.
    fn send_store_request(
        &mut self,
        ctx: &mut Context,
        request: StoreRequest,
        pending: PendingStoreRequest,
    ) {
        self.last_store_request += 1;
        let id = CallId(CALL_ID_BIT | self.last_store_request);
        let timeout = store_timeout(&request);
        self.pending_requests.insert(id, pending);
        ctx.out.push(ControllerOutput::Node(Output::Store {
            id,
            call: request,
            timeout,
        }));
    }

    fn respond(&self, ctx: &mut Context, id: RequestId, status: u16, body: &Value) {
        let response = ApiResponse {
            status,
            body: body.to_string().into_bytes(),
            retry_after: None,
        };
        ctx.out.push(ControllerOutput::Response { id, response });
    }

    fn respond_error(&self, ctx: &mut Context, id: RequestId, error: &StatusError) {
        let response = ApiResponse {
            status: error.code_and_reason().0,
            body: json!(error.status()).to_string().into_bytes(),
            retry_after: error.retry_after(),
        };
        ctx.out.push(ControllerOutput::Response { id, response });
    }

    fn send(&self, ctx: &mut Context, outputs: Vec<WatchOutput>) {
        ctx.out
            .extend(outputs.into_iter().map(|output| match output {
                WatchOutput::Chunk(id, bytes) => ControllerOutput::WatchEvent { id, bytes },
                WatchOutput::End(id) => ControllerOutput::WatchEnded { id },
            }));
    }

    pub fn handle_request(&mut self, ctx: &mut Context, id: RequestId, request: ApiRequest) {
        if let Err(error) = self.authorize_and_start(ctx, id, request) {
            self.respond_error(ctx, id, &error);
        }
    }

    /// Authenticates, authorizes and parses a request, and starts to execute it.
    fn authorize_and_start(
        &mut self,
        ctx: &mut Context,
        id: RequestId,
        request: ApiRequest,
    ) -> Result<(), StatusError> {
        let target = request.target.as_str();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let bearer = request.bearer.as_deref().ok_or(StatusError::Unauthorized)?;
        let token = self.config.authenticate(bearer);
        let token = token.ok_or(StatusError::Unauthorized)?;
        let query = Query::parse(query)?;
        let (verb, scope) = match parse_target(&request.method, path, query.watch)? {
            Target::Discovery(endpoint) => {
                self.respond(ctx, id, 200, &discovery::describe(endpoint));
                return Ok(());
            }
            Target::Resource(verb, scope) => (verb, scope),
        };
        let as_table = prefers_table(request.accept.as_deref())?;
        let namespace = match &scope {
            Scope::Collection(_, namespace) => namespace.as_ref(),
            Scope::Object(name) | Scope::Status(name) => Some(&name.namespace),
            Scope::Namespace(name) => Some(name),
            Scope::Namespaces => None,
        };
        if !token.allows(verb) || namespace.is_some_and(|n| !token.may_access(n)) {
            let all_namespaces = "every namespace".to_string();
            return Err(StatusError::Forbidden(format!(
                "{} may not {} in {}",
                token.name,
                verb.name(),
                namespace.unwrap_or(&all_namespaces),
            )));
        }
        // Under overload most creates are rejected, so they are rejected before the costly
        // parsing of their bodies.
        if verb == Verb::Create
            && !ctx.node.has_budget(
                StoreCost::transaction(1.0),
                RequestPriority::Change,
                ctx.now,
            )
        {
            ctx.node.count_request();
            return Err(StatusError::TooManyRequests);
        }
        let media_type = parse_media_type(request.content_type.as_deref());
        let patch_type = PatchType::from_media_type(&media_type);
        let body = match verb {
            Verb::Create | Verb::Update | Verb::Patch => {
                Some(parse_body(&media_type, &request.body)?)
            }
            Verb::Delete if !request.body.is_empty() => {
                Some(parse_body(&media_type, &request.body)?)
            }
            _ => None,
        };
        if (verb == Verb::Patch) != patch_type.is_some() {
            let message = "a patch is a JSON merge patch or a strategic one, nothing else is";
            return Err(StatusError::UnsupportedMediaType(message.into()));
        }
        // A watch is served from the cache and makes no store request.
        if verb != Verb::Watch {
            ctx.node.count_request();
        }
        let request = Request {
            id,
            token,
            verb,
            scope,
            query: Rc::new(query),
            as_table,
            body,
            patch_type,
            received_at: ctx.now.monotonic,
            received_revision: self.cache.revision().unwrap_or(0),
            outcome_unknown: false,
            created_at: None,
            deleted_uid: None,
        };
        self.start(ctx, request)
    }

    /// Executes a request if it needs no refresh. Otherwise it waits for the next
    /// refresh.
    fn start(&mut self, ctx: &mut Context, request: Request) -> Result<(), StatusError> {
        if let Scope::Namespaces | Scope::Namespace(_) = request.scope {
            let body = discovery::namespaces(ctx, &request)?;
            self.respond(ctx, request.id, 200, &body);
            return Ok(());
        }
        if self.cache.revision().is_none() {
            return Err(StatusError::Unavailable("the objects are not read yet"));
        }
        let resource_version = request.query.resource_version;
        let reads_cache = match request.verb {
            Verb::Get | Verb::List => resource_version == ResourceVersion::Any,
            Verb::Watch => resource_version != ResourceVersion::MostRecent,
            _ => false,
        };
        if reads_cache {
            return self.read(ctx, request);
        }
        if request.verb == Verb::Create {
            return self.create(ctx, request);
        }
        if self.waiting.len() >= MAX_WAITING_REQUESTS {
            return Err(StatusError::TooManyRequests);
        }
        self.wait_for_refresh(ctx, request);
        Ok(())
    }

    /// Makes a request wait until the watch cache is as recent as the request.
    fn wait_for_refresh(&mut self, ctx: &mut Context, request: Request) {
        self.waiting.push_back(request);
        self.refresh(ctx);
    }

    /// Refreshes the watch cache for the waiting requests, unless a refresh is in flight.
    fn refresh(&mut self, ctx: &mut Context) {
        let Some(after) = self.cache.revision() else {
            return;
        };
        if self.refreshing || self.waiting.is_empty() {
            return;
        }
        // The refresh takes the highest priority (the lowest value) of the waiting requests.
        let priority = self.waiting.iter().map(|r| request_priority(r.verb)).min();
        if !ctx.node.take_budget(
            StoreCost::READ,
            priority.unwrap_or(RequestPriority::Poll),
            ctx.now,
        ) {
            return;
        }
        self.refreshing = true;
        let requests = std::mem::take(&mut self.waiting).into();
        let request = StoreRequest::Watch {
            prefix: OBJECTS.into(),
            after,
            hold_ms: 0,
        };
        self.send_store_request(ctx, request, PendingStoreRequest::Refresh(requests));
    }

    /// Resumes a request after a refresh.
    fn resume(&mut self, ctx: &mut Context, request: Request) {
        let id = request.id;
        let result = match request.verb {
            Verb::Get | Verb::List | Verb::Watch => self.read(ctx, request),
            Verb::Create => self.resume_create(ctx, request),
            Verb::Update | Verb::Patch => self.update(ctx, request),
            Verb::Delete => self.delete(ctx, request),
        };
        if let Err(error) = result {
            self.respond_error(ctx, id, &error);
        }
    }

    /// Closes the watch of a client that has disconnected or reads too slowly.
    pub fn close_watch(&mut self, id: RequestId) {
        self.watches.close(id);
    }

    pub fn handle_job_event(&mut self, event: JobEvent) {
        self.reconciler.handle_job_event(event, &self.cache);
    }

    pub fn tick(&mut self, ctx: &mut Context) {
        let now = ctx.now.monotonic;
        if let Some(page) = self.next_page.take_if(|page| now >= page.at) {
            let after = page.after_key;
            let first = after.is_none();
            let prefix = OBJECTS.to_string();
            self.send_store_request(
                ctx,
                StoreRequest::List { prefix, after },
                PendingStoreRequest::ListPage { first },
            );
        }
        if let (Some(at), Some(after)) = (self.watch_at, self.cache.revision())
            && now >= at
        {
            self.watch_at = None;
            let request = StoreRequest::Watch {
                prefix: OBJECTS.into(),
                after,
                hold_ms: LONG_POLL_TIMEOUT_MS,
            };
            self.send_store_request(ctx, request, PendingStoreRequest::Watch);
        }
        let (timed_out, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|r| now >= r.received_at + STORE_RETRY_TIMEOUT);
        self.waiting = waiting;
        let timed_out: VecDeque<Request> = timed_out;
        for request in timed_out {
            self.respond_error(ctx, request.id, &StatusError::TooManyRequests);
        }
        self.refresh(ctx);
        let revision = self.cache.revision().unwrap_or(0);
        let outputs = self.watches.tick(now, revision);
        self.send(ctx, outputs);
        self.reconcile(ctx);
    }

    /// Runs a pass of the reconciler if this node is the leader and the cache is loaded.
    fn reconcile(&mut self, ctx: &mut Context) {
        let Some(leadership) = ctx.node.fence().filter(|_| self.cache.revision().is_some()) else {
            return;
        };
        let times = (ctx.now.monotonic, ctx.now.wall);
        let is_open = |job: &str| ctx.node.has_open_job(job);
        let requests = self
            .reconciler
            .reconcile(leadership, &self.cache, is_open, times);
        for request in requests {
            let writes = if matches!(request, ReconcilerRequest::Update(..)) {
                1.0
            } else {
                0.0
            };
            if !ctx.node.take_budget(
                StoreCost::transaction(writes),
                RequestPriority::DeleteOrReconcile,
                ctx.now,
            ) {
                self.reconciler.requeue(request);
                continue;
            }
            match request {
                ReconcilerRequest::Update(name, txn) => {
                    let pending = PendingStoreRequest::ReconcilerUpdate(name);
                    self.send_store_request(ctx, StoreRequest::Transaction(txn), pending);
                }
                ReconcilerRequest::ReadJobState(job) => self.read_job_state(ctx, job),
            }
        }
    }

    fn read_job_state(&mut self, ctx: &mut Context, job: String) {
        let key = records::job_state_key(&job);
        let pending = PendingStoreRequest::ReadJobState(job);
        self.send_store_request(ctx, StoreRequest::Get { key }, pending);
    }

    pub fn handle_store_response(
        &mut self,
        ctx: &mut Context,
        id: CallId,
        response: Result<StoreResponse, CallError>,
    ) {
        let Some(pending) = self.pending_requests.remove(&id) else {
            return;
        };
        match pending {
            PendingStoreRequest::ListPage { first } => self.handle_list_page(ctx, first, response),
            PendingStoreRequest::Watch => match self.handle_watch_batch(ctx, response) {
                true => self.watch_at = Some(ctx.now.monotonic),
                false => self.watch_at = Some(ctx.now.monotonic + RETRY_DELAY),
            },
            PendingStoreRequest::Refresh(requests) => {
                self.refreshing = false;
                let refreshed =
                    self.handle_watch_batch(ctx, response) && self.cache.revision().is_some();
                for request in requests {
                    if refreshed {
                        self.resume(ctx, request);
                    } else {
                        let error = StatusError::Unavailable("the state is out of reach");
                        self.respond_error(ctx, request.id, &error);
                    }
                }
                self.refresh(ctx);
            }
            PendingStoreRequest::Create(creation) => {
                self.handle_create_response(ctx, *creation, response)
            }
            PendingStoreRequest::ReadTombstone(creation) => {
                self.handle_tombstone(ctx, *creation, response)
            }
            PendingStoreRequest::Write(write) => self.handle_write_response(ctx, *write, response),
            PendingStoreRequest::ReconcilerUpdate(name) => {
                let committed = matches!(response, Ok(StoreResponse::Committed { .. }));
                let wall = ctx.now.wall;
                self.reconciler.handle_update_result(&name, committed, wall);
                if let Ok(StoreResponse::Conflict { failed, .. }) = response {
                    // A conflicting job record shows that the job ended before the cancellation:
                    // its final state is read.
                    let job = failed.iter().find_map(|k| k.strip_prefix("j/"));
                    if let Some(job) = job {
                        self.read_job_state(ctx, job.to_string());
                    }
                }
            }
            PendingStoreRequest::ReadJobState(job) => {
                let record = match response {
                    Ok(StoreResponse::Found(row)) => row.decode_value::<JobStateRecord>(),
                    _ => None,
                };
                let ended: Option<JobState> = record.and_then(|r| r.state.ended());
                self.reconciler.handle_job_state(&job, ended, &self.cache);
            }
        }
        self.reconcile(ctx);
    }

    fn handle_list_page(
        &mut self,
        ctx: &mut Context,
        first: bool,
        response: Result<StoreResponse, CallError>,
    ) {
        let now = ctx.now.monotonic;
        let Ok(StoreResponse::RangePage(page)) = response else {
            self.next_page = NextPage::first(now + RETRY_DELAY);
            return;
        };
        match self.cache.add_page(page, first) {
            Some(after_key) => {
                self.next_page = Some(NextPage {
                    at: now,
                    after_key: Some(after_key),
                });
            }
            None => {
                log::info!("watch cache loaded objects={}", self.cache.len());
                self.watch_at = Some(now);
            }
        }
    }

    /// Applies a batch of changes and forwards them to watches and the reconciler. Returns
    /// false if the response is not a batch. If the store has compacted the revision, ends
    /// all watches and lists all objects again.
    fn handle_watch_batch(
        &mut self,
        ctx: &mut Context,
        response: Result<StoreResponse, CallError>,
    ) -> bool {
        // The reconciler runs on the leader only; elsewhere its queue would only grow.
        let is_leader = ctx.node.fence().is_some();
        match response {
            Ok(StoreResponse::WatchBatch(batch)) => {
                for change in self.cache.apply(batch) {
                    let outputs = self.watches.events_for(&change, ctx.now.wall);
                    self.send(ctx, outputs);
                    if is_leader {
                        self.reconciler.handle_change(&change);
                    }
                }
                true
            }
            Ok(StoreResponse::Compacted) => {
                log::info!(
                    "watch revision compacted, listing all objects again revision={}",
                    self.cache.revision().unwrap_or(0)
                );
                let outputs = self.watches.expire_all();
                self.send(ctx, outputs);
                self.cache = WatchCache::default();
                self.next_page = NextPage::first(ctx.now.monotonic);
                self.watch_at = None;
                false
            }
            _ => false,
        }
    }
}

/// The priority of a request in the budget of store requests.
fn request_priority(verb: Verb) -> RequestPriority {
    match verb {
        Verb::Get | Verb::List | Verb::Watch => RequestPriority::Poll,
        Verb::Create | Verb::Update | Verb::Patch => RequestPriority::Change,
        Verb::Delete => RequestPriority::DeleteOrReconcile,
    }
}
