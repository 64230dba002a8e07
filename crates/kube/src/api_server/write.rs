//! Create, update, patch and delete requests.
//!
//! An object and its native job are written in one transaction. The transaction requires
//! that neither the object nor a job with this id exists and that the tombstone of the name
//! is unchanged. So concurrent creates at several controllers start at most one job.

use super::read::not_found;
use super::*;
use crate::record::{Kind, ObjectState};
use crate::status_error::{Cause, CauseReason};
use crate::translate::{ANNOTATION_PREFIX, TranslatedJob};
use dillcleat_wire::store;
use k8s_openapi::apimachinery::pkg::apis::meta::v1::{DeleteOptions, Status, StatusDetails};

/// A create request whose transaction is being executed.
#[derive(Debug)]
pub(super) struct PendingCreate {
    request: Request,
    translated: TranslatedJob,
    name: Name,
    record: Record,
    job: Option<OpenJob>,
    /// The version of the tombstone of this name; 0 if there is none.
    tombstone_version: u64,
}

/// An update or deletion whose transaction is being executed.
#[derive(Debug)]
pub(super) struct PendingWrite {
    request: Request,
    name: Name,
    /// The new record of the object; None if it is deleted.
    record: Option<Record>,
    uid: String,
}

/// The fields of the spec that may change after the object was created.
const MUTABLE_SPEC_FIELDS: [&str; 4] = [
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

fn conflict(name: &Name, message: impl Into<String>) -> StatusError {
    StatusError::Conflict {
        resource: name.kind.resource(),
        name: name.name.clone(),
        message: message.into(),
    }
}

/// Removes the status and the annotation that the server writes; clients send them back
/// with the rest of an object.
fn without_server_fields(mut object: Value) -> Value {
    if let Some(annotations) = object.pointer_mut("/metadata/annotations")
        && let Some(annotations) = annotations.as_object_mut()
    {
        annotations.remove(view::JOB_ANNOTATION);
    }
    if let Some(fields) = object.as_object_mut() {
        fields.remove("status");
    }
    object
}

fn str_at<'a>(object: &'a Value, pointer: &str) -> Option<&'a str> {
    object.pointer(pointer).and_then(Value::as_str)
}

impl ApiServer {
    /// Translates the object in a request's body.
    fn translate(
        &self,
        kind: Kind,
        namespace: &str,
        object: &Value,
    ) -> Result<TranslatedJob, StatusError> {
        let (version, name) = (kind.api_version(), kind.name());
        if str_at(object, "/apiVersion").is_some_and(|v| v != version)
            || str_at(object, "/kind").is_some_and(|k| k != name)
        {
            return Err(StatusError::BadRequest(format!(
                "a {name} of {version} is taken here"
            )));
        }
        if str_at(object, "/metadata/namespace").is_some_and(|n| n != namespace) {
            let message = "the object's namespace is not the one of the request";
            return Err(StatusError::BadRequest(message.into()));
        }
        translate::translate_job(&self.config.settings, namespace, object).map_err(|causes| {
            let name = str_at(object, "/metadata/name").unwrap_or_default();
            StatusError::Invalid {
                kind: kind.name(),
                name: name.to_string(),
                causes,
            }
        })
    }

    /// Builds the record of the native job that runs an object.
    fn build_job(
        &self,
        ctx: &Context,
        name: &Name,
        uid: &str,
        translated: &TranslatedJob,
    ) -> Result<OpenJob, StatusError> {
        let mut spec = translated.native_job.clone();
        spec.id = self.config.key.job(&name.namespace, &name.name, uid);
        match ctx.node.check_schedulable(&spec) {
            None => {
                return Err(StatusError::Unavailable(
                    "the machine types are not known yet",
                ));
            }
            Some(Err(error)) => {
                let cause = Cause::new(
                    "spec.template.spec",
                    CauseReason::Invalid,
                    error.to_string(),
                );
                return Err(invalid(name, vec![cause]));
            }
            Some(Ok(())) => {}
        }
        Ok(ctx
            .node
            .build_open_record(spec, Some(translated.parallelism), ctx.now))
    }

    /// Checks that the records of an object and its job do not exceed the size limit.
    fn check_size(
        &self,
        ctx: &Context,
        name: &Name,
        record: &Record,
        job: Option<&OpenJob>,
    ) -> Result<(), StatusError> {
        let limit = ctx.node.config().max_value_bytes;
        let job_size = job.map_or(0, |job| store::json_size(&store::encode_value(job)));
        let size = record.stored_size().max(job_size);
        if size <= limit {
            return Ok(());
        }
        let message = format!("takes {size} bytes, and {limit} are stored of one object");
        Err(invalid(
            name,
            vec![Cause::new("", CauseReason::Invalid, message)],
        ))
    }

    /// Parses a create request: the object as the client wrote it, its name and its
    /// translation.
    fn parse_create(
        &self,
        ctx: &Context,
        request: &Request,
    ) -> Result<(Value, Name, TranslatedJob), StatusError> {
        let Scope::Collection(kind, Some(namespace)) = request.scope.clone() else {
            return Err(StatusError::MethodNotAllowed);
        };
        if ctx.node.config().team(&namespace).is_none() {
            let resource = "namespaces";
            return Err(StatusError::NotFound {
                resource,
                name: namespace,
            });
        }
        let object = without_server_fields(request.body.clone().unwrap_or_default());
        let translated = self.translate(kind, &namespace, &object)?;
        let name = Name {
            kind,
            namespace,
            name: translated.name.clone(),
        };
        Ok((object, name, translated))
    }

    pub(super) fn create(
        &mut self,
        ctx: &mut Context,
        request: Request,
    ) -> Result<(), StatusError> {
        let (object, name, translated) = self.parse_create(ctx, &request)?;
        for field in ["resourceVersion", "uid"] {
            if str_at(&object, &format!("/metadata/{field}")).is_some_and(|v| !v.is_empty()) {
                let path = format!("metadata.{field}");
                let cause = Cause::new(
                    path,
                    CauseReason::Forbidden,
                    "must not be set on a new object",
                );
                return Err(invalid(&name, vec![cause]));
            }
        }
        if self.cache.len() >= self.config.settings.max_objects {
            let limit = self.config.settings.max_objects;
            return Err(StatusError::Forbidden(format!(
                "there are {limit} objects, and no more are kept"
            )));
        }
        let creation = self.build_creation(ctx, request, translated, name, (1, 0))?;
        if creation.request.query.dry_run {
            // The name is checked against the cache after a refresh.
            self.wait_for_refresh(ctx, creation.request);
            return Ok(());
        }
        // The writes of the object and, unless it is suspended, of its job.
        let writes = 1.0 + f64::from(u8::from(creation.job.is_some()));
        if self.writes_in_flight >= MAX_WRITES_IN_FLIGHT
            || !ctx.node.take_budget(
                StoreCost::transaction(writes),
                RequestPriority::Change,
                ctx.now,
            )
        {
            return Err(StatusError::TooManyRequests);
        }
        self.writes_in_flight += 1;
        self.send_creation(ctx, creation);
        Ok(())
    }

    /// Builds the records of a new object. `run` counts the objects that have had this
    /// name; `tombstone_version` is the version of the name's tombstone, 0 if there is none.
    fn build_creation(
        &self,
        ctx: &Context,
        request: Request,
        translated: TranslatedJob,
        name: Name,
        (run, tombstone_version): (u32, u64),
    ) -> Result<PendingCreate, StatusError> {
        let resource = name.kind.resource();
        let key = &self.config.key;
        let uid = key.uid(resource, &name.namespace, &name.name, run);
        let job = match translated.suspend {
            true => None,
            false => Some(self.build_job(ctx, &name, &uid, &translated)?),
        };
        let record = Record {
            uid,
            run,
            created: ctx.now.wall,
            generation: 1,
            labels: translated.labels.clone(),
            annotations: translated.annotations.clone(),
            spec: translated.spec.clone(),
            state: ObjectState {
                started: job.as_ref().map(|job| job.submitted_at_us),
                job: job.as_ref().map(|job| job.spec.id.clone()),
                ..ObjectState::default()
            },
        };
        self.check_size(ctx, &name, &record, job.as_ref())?;
        let request = Request {
            created_at: Some(record.created),
            ..request
        };
        Ok(PendingCreate {
            request,
            translated,
            name,
            record,
            job,
            tombstone_version,
        })
    }

    fn send_creation(&mut self, ctx: &mut Context, creation: PendingCreate) {
        let mut txn = Transaction::default()
            .compare(creation.name.key(), 0)
            .compare(creation.name.tombstone_key(), creation.tombstone_version)
            .put(creation.name.key(), &creation.record);
        if let Some(job) = &creation.job {
            txn = add_submission(txn, job);
        }
        let pending = PendingStoreRequest::Create(Box::new(creation));
        self.send_store_request(ctx, StoreRequest::Transaction(txn), pending);
    }

    pub(super) fn handle_create_response(
        &mut self,
        ctx: &mut Context,
        mut creation: PendingCreate,
        response: Result<StoreResponse, CallError>,
    ) {
        let id = creation.request.id;
        let error = match response {
            Ok(StoreResponse::Committed { revision }) => {
                self.writes_in_flight -= 1;
                if let Some(job) = &creation.job {
                    ctx.node.record_admission(job);
                }
                let object = Object {
                    name: creation.name,
                    version: revision,
                    record: creation.record,
                };
                log::info!(
                    "object created object={} uid={} token={} job={}",
                    object.name,
                    object.record.uid,
                    creation.request.token.name,
                    object.record.state.job.as_deref().unwrap_or("none"),
                );
                let body = self.render(ctx, &creation.request, &object);
                return self.respond(ctx, id, 201, &body);
            }
            Ok(StoreResponse::Conflict { failed, .. }) => {
                let conflicts = |key: String| failed.contains(&key);
                if conflicts(creation.name.key()) {
                    // The object exists. An earlier attempt of this request, whose
                    // response was lost, may have created it.
                    self.writes_in_flight -= 1;
                    return self.wait_for_refresh(ctx, creation.request);
                }
                if conflicts(creation.name.tombstone_key()) {
                    let key = creation.name.tombstone_key();
                    let pending = PendingStoreRequest::ReadTombstone(Box::new(creation));
                    return self.send_store_request(ctx, StoreRequest::Get { key }, pending);
                }
                log::error!("job id belongs to another job object={}", creation.name);
                conflict(&creation.name, "its reference belongs to another job")
            }
            Err(e) if ctx.now.monotonic < creation.request.received_at + STORE_RETRY_TIMEOUT => {
                // Resends the same transaction: if an earlier one was committed, this one
                // fails with a conflict.
                creation.request.outcome_unknown |= e == CallError::NoAnswer;
                return self.send_creation(ctx, creation);
            }
            Ok(StoreResponse::RateLimited) if !creation.request.outcome_unknown => {
                StatusError::TooManyRequests
            }
            Ok(StoreResponse::Malformed) => {
                log::error!(
                    "store rejected a transaction as malformed object={}",
                    creation.name
                );
                StatusError::BadRequest("the object cannot be stored".into())
            }
            _ => StatusError::Unavailable("the state is out of reach"),
        };
        self.writes_in_flight -= 1;
        self.respond_error(ctx, id, &error);
    }

    /// Resumes a create after a refresh: a dry run, or a create whose name was in use.
    pub(super) fn resume_create(
        &mut self,
        ctx: &mut Context,
        request: Request,
    ) -> Result<(), StatusError> {
        let (_, name, translated) = self.parse_create(ctx, &request)?;
        let Some(existing) = self.cache.get(&name).cloned() else {
            if !request.query.dry_run {
                return self.create(ctx, request);
            }
            let id = request.id;
            let creation = self.build_creation(ctx, request, translated, name, (1, 0))?;
            let object = Object {
                name: creation.name,
                version: 0,
                record: creation.record,
            };
            let body = self.render(ctx, &creation.request, &object);
            self.respond(ctx, id, 201, &body);
            return Ok(());
        };
        // An earlier attempt of this request created the object and its response was lost.
        // The creation time identifies the attempt: a different create request of an equal
        // object must get status 409.
        if request.outcome_unknown && request.created_at == Some(existing.record.created) {
            let body = self.render(ctx, &request, &existing);
            self.respond(ctx, request.id, 201, &body);
            return Ok(());
        }
        Err(StatusError::AlreadyExists {
            resource: name.kind.resource(),
            name: name.name,
            detail: String::new(),
        })
    }

    /// Handles the tombstone of a new object's name. The name may be reused only if the
    /// job's class allows it.
    pub(super) fn handle_tombstone(
        &mut self,
        ctx: &mut Context,
        creation: PendingCreate,
        response: Result<StoreResponse, CallError>,
    ) {
        let id = creation.request.id;
        self.writes_in_flight -= 1;
        let (tombstone, version) = match response {
            Ok(StoreResponse::Found(row)) => match row.decode_value::<Tombstone>() {
                Some(tombstone) => (tombstone, row.version),
                None => {
                    log::error!("cannot decode tombstone key={}", row.key);
                    let error = StatusError::Unavailable("the name's record is unreadable");
                    return self.respond_error(ctx, id, &error);
                }
            },
            _ => {
                let error = StatusError::Unavailable("the state is out of reach");
                return self.respond_error(ctx, id, &error);
            }
        };
        // The deleted object may have been created by an earlier attempt of this request.
        // It must not be created again, since its deletion was intended.
        if creation.request.outcome_unknown && version > creation.request.received_revision {
            let error = StatusError::AlreadyExists {
                resource: creation.name.kind.resource(),
                name: creation.name.name.clone(),
                detail: format!(": as {}, and was deleted in the meantime", tombstone.uid),
            };
            return self.respond_error(ctx, id, &error);
        }
        let class = &creation.translated.native_job.class;
        if !self.config.allows_name_reuse(class) {
            let job = tombstone.job.as_deref().unwrap_or("no job");
            let error = StatusError::AlreadyExists {
                resource: creation.name.kind.resource(),
                name: creation.name.name.clone(),
                detail: format!(
                    ": it was there as {} ({job}), and in class {class} a name is used once",
                    tombstone.uid
                ),
            };
            return self.respond_error(ctx, id, &error);
        }
        let run = (tombstone.run.saturating_add(1), version);
        match self.build_creation(
            ctx,
            creation.request,
            creation.translated,
            creation.name,
            run,
        ) {
            Ok(creation) => {
                self.writes_in_flight += 1;
                self.send_creation(ctx, creation);
            }
            Err(error) => self.respond_error(ctx, id, &error),
        }
    }

    pub(super) fn update(
        &mut self,
        ctx: &mut Context,
        request: Request,
    ) -> Result<(), StatusError> {
        let Scope::Object(name) = request.scope.clone() else {
            return Err(StatusError::MethodNotAllowed);
        };
        let object = self
            .cache
            .get(&name)
            .cloned()
            .ok_or_else(|| not_found(&name))?;
        let body = request.body.clone().unwrap_or_default();
        let changed = match request.patch_type {
            None => body,
            Some(patch_type) => {
                let current = view::to_json(&object, None);
                patch::apply(patch_type, current, &body)
                    .map_err(|e| StatusError::BadRequest(e.to_string()))?
            }
        };
        let changed = without_server_fields(changed);
        let translated = self.translate(name.kind, &name.namespace, &changed)?;
        if translated.name != name.name {
            let message = "the object's name is not the one of the request";
            return Err(StatusError::BadRequest(message.into()));
        }
        let metadata = |field: &str| str_at(&changed, &format!("/metadata/{field}"));
        if metadata("uid").is_some_and(|uid| !uid.is_empty() && uid != object.record.uid) {
            return Err(conflict(&name, "its uid is another"));
        }
        let version = object.version.to_string();
        if metadata("resourceVersion").is_some_and(|v| !v.is_empty() && v != version) {
            return Err(conflict(
                &name,
                "it has been changed: apply your changes to the latest version",
            ));
        }
        let (record, job) = self.updated_record(ctx, &object, &translated)?;
        self.check_size(ctx, &name, &record, job.as_ref())?;
        if record == object.record || request.query.dry_run {
            let object = Object {
                record,
                ..(*object).clone()
            };
            let body = self.render(ctx, &request, &object);
            self.respond(ctx, request.id, 200, &body);
            return Ok(());
        }
        let mut txn = Transaction::default()
            .compare(name.key(), object.version)
            .put(name.key(), &record);
        if let Some(job) = &job {
            txn = add_submission(txn, job);
        }
        let writes = txn.then.len() as f64;
        if self.writes_in_flight >= MAX_WRITES_IN_FLIGHT
            || !ctx.node.take_budget(
                StoreCost::transaction(writes),
                RequestPriority::Change,
                ctx.now,
            )
        {
            return Err(StatusError::TooManyRequests);
        }
        self.writes_in_flight += 1;
        let write = PendingWrite {
            request,
            name,
            uid: record.uid.clone(),
            record: Some(record),
        };
        self.send_store_request(
            ctx,
            StoreRequest::Transaction(txn),
            PendingStoreRequest::Write(Box::new(write)),
        );
        Ok(())
    }

    /// The record of an updated object, and its job if the update starts the job.
    fn updated_record(
        &self,
        ctx: &Context,
        object: &Object,
        translated: &TranslatedJob,
    ) -> Result<(Record, Option<OpenJob>), StatusError> {
        let old = &object.record;
        let started = old.state.job.is_some();
        let mut causes = Vec::new();
        let empty = serde_json::Map::new();
        let fields = |spec: &Value| spec.as_object().unwrap_or(&empty).clone();
        let (before, after) = (fields(&old.spec), fields(&translated.spec));
        for key in before.keys().chain(after.keys()) {
            let mutable = MUTABLE_SPEC_FIELDS.contains(&key.as_str());
            if !mutable && before.get(key) != after.get(key) {
                let path = format!("spec.{key}");
                if causes.iter().all(|c: &Cause| c.field != path) {
                    causes.push(Cause::new(path, CauseReason::Invalid, "field is immutable"));
                }
            }
        }
        if started && translated.suspend {
            let message = "a job that has begun is not suspended: delete it";
            causes.push(Cause::new(
                "spec.suspend",
                CauseReason::NotSupported,
                message,
            ));
        }
        let own_annotations = |annotations: &std::collections::BTreeMap<String, String>| {
            let own = annotations
                .iter()
                .filter(|(k, _)| k.starts_with(ANNOTATION_PREFIX));
            own.map(|(k, v)| (k.clone(), v.clone())).collect::<Vec<_>>()
        };
        if started && own_annotations(&old.annotations) != own_annotations(&translated.annotations)
        {
            let message = "what annotations of dillcleat's say is immutable once the job has begun";
            causes.push(Cause::new(
                "metadata.annotations",
                CauseReason::Invalid,
                message,
            ));
        }
        if !causes.is_empty() {
            return Err(invalid(&object.name, causes));
        }
        let mut record = Record {
            labels: translated.labels.clone(),
            annotations: translated.annotations.clone(),
            spec: translated.spec.clone(),
            ..old.clone()
        };
        if record.spec != old.spec {
            record.generation += 1;
        }
        if started || translated.suspend {
            return Ok((record, None));
        }
        let job = self.build_job(ctx, &object.name, &old.uid, translated)?;
        record.state.job = Some(job.spec.id.clone());
        record.state.started = Some(job.submitted_at_us);
        Ok((record, Some(job)))
    }

    pub(super) fn delete(
        &mut self,
        ctx: &mut Context,
        request: Request,
    ) -> Result<(), StatusError> {
        let Scope::Object(name) = request.scope.clone() else {
            return Err(StatusError::MethodNotAllowed);
        };
        let options = delete_options(&request)?;
        let Some(object) = self.cache.get(&name).cloned() else {
            if request.outcome_unknown {
                self.respond(ctx, request.id, 200, &deletion_status(&name, ""));
                return Ok(());
            }
            return Err(not_found(&name));
        };
        // An earlier attempt deleted the object; the current object of this name is another
        // one and must not be deleted.
        if let Some(uid) = request.deleted_uid.as_ref()
            && *uid != object.record.uid
        {
            self.respond(ctx, request.id, 200, &deletion_status(&name, uid));
            return Ok(());
        }
        let preconditions = options.preconditions.unwrap_or_default();
        if preconditions
            .uid
            .is_some_and(|uid| uid != object.record.uid)
        {
            return Err(conflict(
                &name,
                "its uid is not the one of the precondition",
            ));
        }
        if preconditions
            .resource_version
            .is_some_and(|v| v != object.version.to_string())
        {
            return Err(conflict(
                &name,
                "its version is not the one of the precondition",
            ));
        }
        let uid = object.record.uid.clone();
        let dry_run = options.dry_run.unwrap_or_default();
        if request.query.dry_run || dry_run.iter().any(|d| d == "All") {
            self.respond(ctx, request.id, 200, &deletion_status(&name, &uid));
            return Ok(());
        }
        if self.writes_in_flight >= MAX_WRITES_IN_FLIGHT_FOR_DELETION {
            return Err(StatusError::TooManyRequests);
        }
        self.send_delete(ctx, request, &object, true)
    }

    /// Sends the transaction that deletes an object. With `cancel_job` it also cancels the
    /// object's job unless the record shows that the job has ended.
    fn send_delete(
        &mut self,
        ctx: &mut Context,
        request: Request,
        object: &Object,
        cancel_job: bool,
    ) -> Result<(), StatusError> {
        let state = &object.record.state;
        let mut txn = Transaction::default().compare(object.name.key(), object.version);
        let job = state.job.as_ref();
        if let Some(job) = job.filter(|_| cancel_job && state.end.is_none()) {
            txn = reconciler::add_cancellation(txn, object, job, ctx.now.wall);
        }
        let txn = reconciler::add_deletion(txn, object);
        if !ctx.node.take_budget(
            StoreCost::transaction(txn.then.len() as f64),
            RequestPriority::DeleteOrReconcile,
            ctx.now,
        ) {
            return Err(StatusError::TooManyRequests);
        }
        self.writes_in_flight += 1;
        let write = PendingWrite {
            request,
            name: object.name.clone(),
            record: None,
            uid: object.record.uid.clone(),
        };
        self.send_store_request(
            ctx,
            StoreRequest::Transaction(txn),
            PendingStoreRequest::Write(Box::new(write)),
        );
        Ok(())
    }

    pub(super) fn handle_write_response(
        &mut self,
        ctx: &mut Context,
        write: PendingWrite,
        response: Result<StoreResponse, CallError>,
    ) {
        self.writes_in_flight -= 1;
        let PendingWrite {
            mut request,
            name,
            record,
            uid,
        } = write;
        let id = request.id;
        let error = match (response, record) {
            (Ok(StoreResponse::Committed { revision }), Some(record)) => {
                log::info!(
                    "object updated object={name} uid={uid} token={}",
                    request.token.name
                );
                let object = Object {
                    name,
                    version: revision,
                    record,
                };
                let body = self.render(ctx, &request, &object);
                return self.respond(ctx, id, 200, &body);
            }
            (Ok(StoreResponse::Committed { .. }), None) => {
                log::info!(
                    "object deleted object={name} uid={uid} token={}",
                    request.token.name
                );
                return self.respond(ctx, id, 200, &deletion_status(&name, &uid));
            }
            (Ok(StoreResponse::Conflict { failed, .. }), record) => {
                let object_changed = failed.contains(&name.key());
                let object = self.cache.get(&name).cloned();
                match (object, record) {
                    // The job ended before the cancellation: only the object is deleted.
                    (Some(object), None) if !object_changed => {
                        match self.send_delete(ctx, request, &object, false) {
                            Ok(()) => return,
                            Err(error) => error,
                        }
                    }
                    (_, Some(_)) if !object_changed => {
                        log::error!("job id belongs to another job object={name}");
                        conflict(&name, "its reference belongs to another job")
                    }
                    _ => return self.wait_for_refresh(ctx, request),
                }
            }
            (Err(e), record) => {
                if e == CallError::NoAnswer {
                    request.outcome_unknown = true;
                    request.deleted_uid = record.is_none().then_some(uid);
                }
                return self.wait_for_refresh(ctx, request);
            }
            (Ok(StoreResponse::RateLimited), _) => StatusError::TooManyRequests,
            (Ok(StoreResponse::Malformed), _) => {
                log::error!("store rejected a transaction as malformed object={name}");
                StatusError::BadRequest("the object cannot be stored".into())
            }
            _ => StatusError::Unavailable("the state is out of reach"),
        };
        self.respond_error(ctx, id, &error);
    }
}

/// Adds the submission of a job to a transaction.
fn add_submission(txn: Transaction, job: &OpenJob) -> Transaction {
    let id = &job.spec.id;
    txn.compare(records::job_state_key(id), 0)
        .compare(records::open_job_key(id), 0)
        .put(records::open_job_key(id), job)
}

fn delete_options(request: &Request) -> Result<DeleteOptions, StatusError> {
    let body = request.body.clone().unwrap_or_else(|| json!({}));
    let options: DeleteOptions = serde_json::from_value(body)
        .map_err(|e| StatusError::BadRequest(format!("DeleteOptions: {e}")))?;
    let policy = options.propagation_policy.as_ref();
    let policy = policy.or(request.query.propagation.as_ref());
    if policy.is_some_and(|p| p != "Background") || options.orphan_dependents == Some(true) {
        let message = "only Background is served: the job is cancelled, its tasks end after it";
        return Err(StatusError::Invalid {
            kind: "DeleteOptions",
            name: String::new(),
            causes: vec![Cause::new(
                "propagationPolicy",
                CauseReason::NotSupported,
                message,
            )],
        });
    }
    Ok(options)
}

/// The `Status` of a successful deletion.
fn deletion_status(name: &Name, uid: &str) -> Value {
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
