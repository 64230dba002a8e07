//! Creates, updates, patches and deletes.
//!
//! An object and the job that it stands for are written in one transaction. It
//! compares that neither the object, nor one of its name before it, nor any job of its
//! reference is there, so one name gives one run whichever controllers it is given to.

use super::read::missing;
use super::*;
use crate::record::{JobState as Kept, Kind};
use crate::status_error::{Cause, StatusReason};
use crate::translate::{PREFIX, Wanted};
use dillcleat_wire::store;
use k8s_openapi::apimachinery::pkg::apis::meta::v1::{DeleteOptions, Status, StatusDetails};

/// A create that is under way.
#[derive(Debug)]
pub(super) struct Creation {
    request: Request,
    wanted: Wanted,
    name: Name,
    record: Record,
    job: Option<OpenJob>,
    /// The version of what an object of that name left.
    before: u64,
}

/// Any other change that is under way.
#[derive(Debug)]
pub(super) struct Change {
    request: Request,
    name: Name,
    /// What the object becomes; None if it is deleted.
    record: Option<Record>,
    uid: String,
}

/// Fields of the spec that may change once it is there.
const MUTABLE: [&str; 4] = [
    "suspend",
    "backoffLimit",
    "activeDeadlineSeconds",
    "ttlSecondsAfterFinished",
];

fn invalid(name: &Name, causes: Vec<Cause>) -> StatusError {
    StatusError::Invalid {
        kind: name.kind.name(),
        name: name.name.clone(),
        causes,
    }
}

fn conflict(name: &Name, why: impl Into<String>) -> StatusError {
    StatusError::Conflict {
        resource: name.kind.resource(),
        name: name.name.clone(),
        why: why.into(),
    }
}

/// Without what the server writes, which clients send back with the rest.
fn written_by_client(mut object: Value) -> Value {
    if let Some(notes) = object.pointer_mut("/metadata/annotations")
        && let Some(notes) = notes.as_object_mut()
    {
        notes.remove(view::JOB);
    }
    if let Some(fields) = object.as_object_mut() {
        fields.remove("status");
    }
    object
}

fn text<'a>(object: &'a Value, pointer: &str) -> Option<&'a str> {
    object.pointer(pointer).and_then(Value::as_str)
}

impl ApiServer {
    /// Reads the object of a request's body.
    fn wanted(&self, kind: Kind, namespace: &str, object: &Value) -> Result<Wanted, StatusError> {
        let (version, name) = (kind.api_version(), kind.name());
        if text(object, "/apiVersion").is_some_and(|v| v != version)
            || text(object, "/kind").is_some_and(|k| k != name)
        {
            return Err(StatusError::BadRequest(format!(
                "a {name} of {version} is taken here"
            )));
        }
        if text(object, "/metadata/namespace").is_some_and(|n| n != namespace) {
            let what = "the object's namespace is not the one of the request";
            return Err(StatusError::BadRequest(what.into()));
        }
        translate::job(&self.rules.settings, namespace, object).map_err(|causes| {
            let name = text(object, "/metadata/name").unwrap_or_default();
            StatusError::Invalid {
                kind: kind.name(),
                name: name.to_string(),
                causes,
            }
        })
    }

    /// The job that an object stands for, ready to be stored.
    fn open(
        &self,
        ctx: &Ctx,
        name: &Name,
        uid: &str,
        wanted: &Wanted,
    ) -> Result<OpenJob, StatusError> {
        let mut spec = wanted.job.clone();
        spec.id = self.rules.key.job(&name.namespace, &name.name, uid);
        match ctx.node.check_schedulable(&spec) {
            None => {
                return Err(StatusError::Unavailable(
                    "the machine types are not known yet",
                ));
            }
            Some(Err(error)) => {
                let cause = Cause::new(
                    "spec.template.spec",
                    StatusReason::Invalid,
                    error.to_string(),
                );
                return Err(invalid(name, vec![cause]));
            }
            Some(Ok(())) => {}
        }
        Ok(ctx.node.open_job(spec, Some(wanted.at_most), ctx.now))
    }

    fn fits(
        &self,
        ctx: &Ctx,
        name: &Name,
        record: &Record,
        job: Option<&OpenJob>,
    ) -> Result<(), StatusError> {
        let most = ctx.node.config().max_value_bytes;
        let job = job.map_or(0, |job| store::json_size(&store::encode_value(job)));
        let size = record.size().max(job);
        if size <= most {
            return Ok(());
        }
        let what = format!("takes {size} bytes, and {most} are stored of one object");
        Err(invalid(
            name,
            vec![Cause::new("", StatusReason::Invalid, what)],
        ))
    }

    /// What a create asks for: the object as its client wrote it, and as it is read.
    fn asked_for(
        &self,
        ctx: &Ctx,
        request: &Request,
    ) -> Result<(Value, Name, Wanted), StatusError> {
        let Scope::All(kind, Some(namespace)) = request.scope.clone() else {
            return Err(StatusError::NotAllowed);
        };
        if ctx.node.config().team(&namespace).is_none() {
            let resource = "namespaces";
            return Err(StatusError::NotFound {
                resource,
                name: namespace,
            });
        }
        let object = written_by_client(request.body.clone().unwrap_or_default());
        let wanted = self.wanted(kind, &namespace, &object)?;
        let name = Name {
            kind,
            namespace,
            name: wanted.name.clone(),
        };
        Ok((object, name, wanted))
    }

    pub(super) fn create(&mut self, ctx: &mut Ctx, request: Request) -> Result<(), StatusError> {
        let (object, name, wanted) = self.asked_for(ctx, &request)?;
        for field in ["resourceVersion", "uid"] {
            if text(&object, &format!("/metadata/{field}")).is_some_and(|v| !v.is_empty()) {
                let path = format!("metadata.{field}");
                let cause = Cause::new(
                    path,
                    StatusReason::Forbidden,
                    "must not be set on a new object",
                );
                return Err(invalid(&name, vec![cause]));
            }
        }
        if self.cache.len() >= self.rules.settings.max_objects {
            let most = self.rules.settings.max_objects;
            return Err(StatusError::Forbidden(format!(
                "there are {most} objects, and no more are kept"
            )));
        }
        let creation = self.prepare(ctx, request, wanted, name, (1, 0))?;
        if creation.request.query.dry_run {
            // Whether there is one is said as of now.
            self.wait(ctx, creation.request);
            return Ok(());
        }
        // One more change than a submission of the same job.
        let changes = 1.0 + f64::from(u8::from(creation.job.is_some()));
        if self.writes >= MAX_WRITES
            || !ctx.node.take_budget(
                StoreCost::transaction(changes),
                RequestPriority::Change,
                ctx.now,
            )
        {
            return Err(StatusError::TooMany);
        }
        self.writes += 1;
        self.send_creation(ctx, creation);
        Ok(())
    }

    /// `run` and `before`: which object of its name it is, and the version of what
    /// the one before left.
    fn prepare(
        &self,
        ctx: &Ctx,
        request: Request,
        wanted: Wanted,
        name: Name,
        (run, before): (u32, u64),
    ) -> Result<Creation, StatusError> {
        let (namespace, own) = (&name.namespace, &name.name);
        let uid = self
            .rules
            .key
            .uid(name.kind.resource(), namespace, own, run);
        let job = match wanted.suspend {
            true => None,
            false => Some(self.open(ctx, &name, &uid, &wanted)?),
        };
        let record = Record {
            uid,
            run,
            created: ctx.now.wall,
            generation: 1,
            labels: wanted.labels.clone(),
            annotations: wanted.annotations.clone(),
            spec: wanted.spec.clone(),
            state: Kept {
                started: job.as_ref().map(|job| job.submitted_at_us),
                job: job.as_ref().map(|job| job.spec.id.clone()),
                ..Kept::default()
            },
        };
        self.fits(ctx, &name, &record, job.as_ref())?;
        let request = Request {
            made: Some(record.created),
            ..request
        };
        Ok(Creation {
            request,
            wanted,
            name,
            record,
            job,
            before,
        })
    }

    fn send_creation(&mut self, ctx: &mut Ctx, creation: Creation) {
        let mut txn = Transaction::default()
            .compare(creation.name.key(), 0)
            .compare(creation.name.deleted_key(), creation.before)
            .put(creation.name.key(), &creation.record);
        if let Some(job) = &creation.job {
            txn = submit(txn, job);
        }
        let waiting = Waiting::Create(Box::new(creation));
        self.call(ctx, StoreRequest::Transaction(txn), waiting);
    }

    pub(super) fn created(
        &mut self,
        ctx: &mut Ctx,
        mut creation: Creation,
        reply: Result<StoreResponse, CallError>,
    ) {
        let id = creation.request.id;
        let fault = match reply {
            Ok(StoreResponse::Committed { revision }) => {
                self.writes -= 1;
                if let Some(job) = &creation.job {
                    ctx.node.record_admission(job);
                }
                let object = Object {
                    name: creation.name,
                    version: revision,
                    record: creation.record,
                };
                log::info!(
                    "{} {}: created by {}, for {}",
                    object.name,
                    object.record.uid,
                    creation.request.token.name,
                    object.record.state.job.as_deref().unwrap_or("no job yet"),
                );
                let shown = self.shown(ctx, &creation.request, &object);
                return self.reply(ctx, id, 201, &shown);
            }
            Ok(StoreResponse::Conflict { failed, .. }) => {
                let hit = |key: String| failed.contains(&key);
                if hit(creation.name.key()) {
                    // It is there, perhaps by an earlier try of ours whose answer
                    // was lost.
                    self.writes -= 1;
                    return self.wait(ctx, creation.request);
                }
                if hit(creation.name.deleted_key()) {
                    let key = creation.name.deleted_key();
                    let waiting = Waiting::Before(Box::new(creation));
                    return self.call(ctx, StoreRequest::Get { key }, waiting);
                }
                log::error!("{}: its reference belongs to another job", creation.name);
                conflict(&creation.name, "its reference belongs to another job")
            }
            Err(e) if ctx.now.monotonic < creation.request.since + PATIENCE => {
                // It may yet be carried out. The same transaction again settles it.
                creation.request.uncertain |= e == CallError::NoAnswer;
                return self.send_creation(ctx, creation);
            }
            Ok(StoreResponse::RateLimited) if !creation.request.uncertain => StatusError::TooMany,
            Ok(StoreResponse::Malformed) => {
                log::error!("{}: the state service calls it malformed", creation.name);
                StatusError::BadRequest("the object cannot be stored".into())
            }
            _ => StatusError::Unavailable("the state is out of reach"),
        };
        self.writes -= 1;
        self.refuse(ctx, id, &fault);
    }

    /// The objects are as new as a create whose name was found taken.
    pub(super) fn create_again(
        &mut self,
        ctx: &mut Ctx,
        request: Request,
    ) -> Result<(), StatusError> {
        let (_, name, wanted) = self.asked_for(ctx, &request)?;
        let Some(there) = self.cache.get(&name).cloned() else {
            if !request.query.dry_run {
                return self.create(ctx, request);
            }
            let id = request.id;
            let made = self.prepare(ctx, request, wanted, name, (1, 0))?;
            let object = Object {
                name: made.name,
                version: 0,
                record: made.record,
            };
            let shown = self.shown(ctx, &made.request, &object);
            self.reply(ctx, id, 201, &shown);
            return Ok(());
        };
        // A try of this request was carried out without our hearing of it. That the
        // object is the same says nothing: a second create of it is answered 409.
        if request.uncertain && request.made == Some(there.record.created) {
            let shown = self.shown(ctx, &request, &there);
            self.reply(ctx, request.id, 201, &shown);
            return Ok(());
        }
        Err(StatusError::Exists {
            resource: name.kind.resource(),
            name: name.name,
            more: String::new(),
        })
    }

    /// A name that was used before: again, if its class allows it.
    pub(super) fn used_before(
        &mut self,
        ctx: &mut Ctx,
        creation: Creation,
        reply: Result<StoreResponse, CallError>,
    ) {
        let id = creation.request.id;
        self.writes -= 1;
        let (gone, version) = match reply {
            Ok(StoreResponse::Found(row)) => match row.decode_value::<Gone>() {
                Some(gone) => (gone, row.version),
                None => {
                    log::error!("{}: not what an object leaves", row.key);
                    let fault = StatusError::Unavailable("the name's record is unreadable");
                    return self.refuse(ctx, id, &fault);
                }
            },
            _ => {
                let fault = StatusError::Unavailable("the state is out of reach");
                return self.refuse(ctx, id, &fault);
            }
        };
        // What was there may have been made by an earlier try of this request: whoever
        // deleted it wants it gone, and it must not run again.
        if creation.request.uncertain && version > creation.request.from {
            let fault = StatusError::Exists {
                resource: creation.name.kind.resource(),
                name: creation.name.name.clone(),
                more: format!(": as {}, and was deleted in the meantime", gone.uid),
            };
            return self.refuse(ctx, id, &fault);
        }
        let class = &creation.wanted.job.class;
        if !self.rules.repeats(class) {
            let job = gone.job.as_deref().unwrap_or("no job");
            let fault = StatusError::Exists {
                resource: creation.name.kind.resource(),
                name: creation.name.name.clone(),
                more: format!(
                    ": it was there as {} ({job}), and in class {class} a name is used once",
                    gone.uid
                ),
            };
            return self.refuse(ctx, id, &fault);
        }
        let run = (gone.run.saturating_add(1), version);
        match self.prepare(ctx, creation.request, creation.wanted, creation.name, run) {
            Ok(creation) => {
                self.writes += 1;
                self.send_creation(ctx, creation);
            }
            Err(fault) => self.refuse(ctx, id, &fault),
        }
    }

    pub(super) fn update(&mut self, ctx: &mut Ctx, request: Request) -> Result<(), StatusError> {
        let Scope::One(name) = request.scope.clone() else {
            return Err(StatusError::NotAllowed);
        };
        let object = self
            .cache
            .get(&name)
            .cloned()
            .ok_or_else(|| missing(&name))?;
        let body = request.body.clone().unwrap_or_default();
        let changed = match request.form {
            None => body,
            Some(form) => {
                let current = view::object(&object, None);
                patch::apply(form, current, &body)
                    .map_err(|e| StatusError::BadRequest(e.to_string()))?
            }
        };
        let changed = written_by_client(changed);
        let wanted = self.wanted(name.kind, &name.namespace, &changed)?;
        if wanted.name != name.name {
            let what = "the object's name is not the one of the request";
            return Err(StatusError::BadRequest(what.into()));
        }
        let given = |field: &str| text(&changed, &format!("/metadata/{field}"));
        if given("uid").is_some_and(|uid| !uid.is_empty() && uid != object.record.uid) {
            return Err(conflict(&name, "its uid is another"));
        }
        let version = object.version.to_string();
        if given("resourceVersion").is_some_and(|v| !v.is_empty() && v != version) {
            return Err(conflict(
                &name,
                "it has been changed: apply your changes to the latest version",
            ));
        }
        let (record, job) = self.turned_into(ctx, &object, &wanted)?;
        self.fits(ctx, &name, &record, job.as_ref())?;
        if record == object.record || request.query.dry_run {
            let object = Object {
                record,
                ..(*object).clone()
            };
            let shown = self.shown(ctx, &request, &object);
            self.reply(ctx, request.id, 200, &shown);
            return Ok(());
        }
        let mut txn = Transaction::default()
            .compare(name.key(), object.version)
            .put(name.key(), &record);
        if let Some(job) = &job {
            txn = submit(txn, job);
        }
        let changes = txn.then.len() as f64;
        if self.writes >= MAX_WRITES
            || !ctx.node.take_budget(
                StoreCost::transaction(changes),
                RequestPriority::Change,
                ctx.now,
            )
        {
            return Err(StatusError::TooMany);
        }
        self.writes += 1;
        let change = Change {
            request,
            name,
            uid: record.uid.clone(),
            record: Some(record),
        };
        self.call(
            ctx,
            StoreRequest::Transaction(txn),
            Waiting::Write(Box::new(change)),
        );
        Ok(())
    }

    /// What an object becomes, and the job that begins with it.
    fn turned_into(
        &self,
        ctx: &Ctx,
        object: &Object,
        wanted: &Wanted,
    ) -> Result<(Record, Option<OpenJob>), StatusError> {
        let old = &object.record;
        let begun = old.state.job.is_some();
        let mut causes = Vec::new();
        let none = serde_json::Map::new();
        let fields = |spec: &Value| spec.as_object().unwrap_or(&none).clone();
        let (before, after) = (fields(&old.spec), fields(&wanted.spec));
        for key in before.keys().chain(after.keys()) {
            if !MUTABLE.contains(&key.as_str()) && before.get(key) != after.get(key) {
                let path = format!("spec.{key}");
                if causes.iter().all(|c: &Cause| c.path != path) {
                    causes.push(Cause::new(
                        path,
                        StatusReason::Invalid,
                        "field is immutable",
                    ));
                }
            }
        }
        if begun && wanted.suspend {
            let what = "a job that has begun is not suspended: delete it";
            causes.push(Cause::new("spec.suspend", StatusReason::NotSupported, what));
        }
        let ours = |notes: &std::collections::BTreeMap<String, String>| {
            let ours = notes.iter().filter(|(k, _)| k.starts_with(PREFIX));
            ours.map(|(k, v)| (k.clone(), v.clone()))
                .collect::<Vec<_>>()
        };
        if begun && ours(&old.annotations) != ours(&wanted.annotations) {
            let what = "what annotations of dillcleat's say is immutable once the job has begun";
            causes.push(Cause::new(
                "metadata.annotations",
                StatusReason::Invalid,
                what,
            ));
        }
        if !causes.is_empty() {
            return Err(invalid(&object.name, causes));
        }
        let mut record = Record {
            labels: wanted.labels.clone(),
            annotations: wanted.annotations.clone(),
            spec: wanted.spec.clone(),
            ..old.clone()
        };
        if record.spec != old.spec {
            record.generation += 1;
        }
        if begun || wanted.suspend {
            return Ok((record, None));
        }
        let job = self.open(ctx, &object.name, &old.uid, wanted)?;
        record.state.job = Some(job.spec.id.clone());
        record.state.started = Some(job.submitted_at_us);
        Ok((record, Some(job)))
    }

    pub(super) fn delete(&mut self, ctx: &mut Ctx, request: Request) -> Result<(), StatusError> {
        let Scope::One(name) = request.scope.clone() else {
            return Err(StatusError::NotAllowed);
        };
        let options = options(&request)?;
        let Some(object) = self.cache.get(&name).cloned() else {
            if request.uncertain {
                self.reply(ctx, request.id, 200, &deleted(&name, ""));
                return Ok(());
            }
            return Err(missing(&name));
        };
        // An earlier try has deleted the object: one of its name that was made since is
        // another.
        if let Some(uid) = request.deleted.as_ref()
            && *uid != object.record.uid
        {
            self.reply(ctx, request.id, 200, &deleted(&name, uid));
            return Ok(());
        }
        let wants = options.preconditions.unwrap_or_default();
        if wants.uid.is_some_and(|uid| uid != object.record.uid) {
            return Err(conflict(
                &name,
                "its uid is not the one of the precondition",
            ));
        }
        if wants
            .resource_version
            .is_some_and(|v| v != object.version.to_string())
        {
            return Err(conflict(
                &name,
                "its version is not the one of the precondition",
            ));
        }
        let uid = object.record.uid.clone();
        let all = options.dry_run.unwrap_or_default();
        if request.query.dry_run || all.iter().any(|d| d == "All") {
            self.reply(ctx, request.id, 200, &deleted(&name, &uid));
            return Ok(());
        }
        if self.writes >= MAX_WRITES * 2 {
            return Err(StatusError::TooMany);
        }
        self.send_delete(ctx, request, &object, true)
    }

    /// `accepts_tasks`: unless something says otherwise its job is.
    fn send_delete(
        &mut self,
        ctx: &mut Ctx,
        request: Request,
        object: &Object,
        open: bool,
    ) -> Result<(), StatusError> {
        let state = &object.record.state;
        let mut txn = Transaction::default().compare(object.name.key(), object.version);
        if let Some(job) = state.job.as_ref().filter(|_| open && state.end.is_none()) {
            txn = reconciler::cancel(txn, object, job, ctx.now.wall);
        }
        let txn = reconciler::delete(txn, object);
        if !ctx.node.take_budget(
            StoreCost::transaction(txn.then.len() as f64),
            RequestPriority::End,
            ctx.now,
        ) {
            return Err(StatusError::TooMany);
        }
        self.writes += 1;
        let change = Change {
            request,
            name: object.name.clone(),
            record: None,
            uid: object.record.uid.clone(),
        };
        self.call(
            ctx,
            StoreRequest::Transaction(txn),
            Waiting::Write(Box::new(change)),
        );
        Ok(())
    }

    pub(super) fn written(
        &mut self,
        ctx: &mut Ctx,
        change: Change,
        reply: Result<StoreResponse, CallError>,
    ) {
        self.writes -= 1;
        let Change {
            mut request,
            name,
            record,
            uid,
        } = change;
        let id = request.id;
        let fault = match (reply, record) {
            (Ok(StoreResponse::Committed { revision }), Some(record)) => {
                log::info!("{name} {uid}: changed by {}", request.token.name);
                let object = Object {
                    name,
                    version: revision,
                    record,
                };
                let shown = self.shown(ctx, &request, &object);
                return self.reply(ctx, id, 200, &shown);
            }
            (Ok(StoreResponse::Committed { .. }), None) => {
                log::info!("{name} {uid}: deleted by {}", request.token.name);
                return self.reply(ctx, id, 200, &deleted(&name, &uid));
            }
            (Ok(StoreResponse::Conflict { failed, .. }), record) => {
                let object_changed = failed.contains(&name.key());
                let object = self.cache.get(&name).cloned();
                match (object, record) {
                    // Its job ended in that moment: there is nothing to cancel.
                    (Some(object), None) if !object_changed => {
                        match self.send_delete(ctx, request, &object, false) {
                            Ok(()) => return,
                            Err(fault) => fault,
                        }
                    }
                    (_, Some(_)) if !object_changed => {
                        log::error!("{name}: its reference belongs to another job");
                        conflict(&name, "its reference belongs to another job")
                    }
                    _ => return self.wait(ctx, request),
                }
            }
            (Err(e), record) => {
                if e == CallError::NoAnswer {
                    request.uncertain = true;
                    request.deleted = record.is_none().then_some(uid);
                }
                return self.wait(ctx, request);
            }
            (Ok(StoreResponse::RateLimited), _) => StatusError::TooMany,
            (Ok(StoreResponse::Malformed), _) => {
                log::error!("{name}: the state service calls it malformed");
                StatusError::BadRequest("the object cannot be stored".into())
            }
            _ => StatusError::Unavailable("the state is out of reach"),
        };
        self.refuse(ctx, id, &fault);
    }
}

/// Adds a job's submission to a transaction.
fn submit(txn: Transaction, job: &OpenJob) -> Transaction {
    let id = &job.spec.id;
    txn.compare(records::job_state_key(id), 0)
        .compare(records::open_job_key(id), 0)
        .put(records::open_job_key(id), job)
}

fn options(request: &Request) -> Result<DeleteOptions, StatusError> {
    let body = request.body.clone().unwrap_or_else(|| json!({}));
    let options: DeleteOptions = serde_json::from_value(body)
        .map_err(|e| StatusError::BadRequest(format!("DeleteOptions: {e}")))?;
    let given = options.propagation_policy.as_ref();
    let policy = given.or(request.query.propagation.as_ref());
    if policy.is_some_and(|p| p != "Background") || options.orphan_dependents == Some(true) {
        let what = "only Background is served: the job is cancelled, its tasks end after it";
        return Err(StatusError::Invalid {
            kind: "DeleteOptions",
            name: String::new(),
            causes: vec![Cause::new(
                "propagationPolicy",
                StatusReason::NotSupported,
                what,
            )],
        });
    }
    Ok(options)
}

fn deleted(name: &Name, uid: &str) -> Value {
    let details = StatusDetails {
        kind: Some(name.kind.resource().into()),
        name: Some(name.name.clone()),
        uid: Some(uid.to_string()).filter(|u| !u.is_empty()),
        ..StatusDetails::default()
    };
    json!(Status {
        status: Some("Success".into()),
        details: Some(details),
        ..Status::default()
    })
}
