//! Get, list and watch requests.

use super::*;

impl ApiServer {
    pub(super) fn read(&mut self, ctx: &mut Context, request: Request) -> Result<(), StatusError> {
        match (&request.scope, request.verb) {
            (Scope::Collection(kind, namespace), Verb::Watch) => {
                let filter = request_filter(&request, *kind, namespace.clone());
                self.watch(ctx, &request, filter)
            }
            (Scope::Collection(kind, namespace), _) => {
                let filter = request_filter(&request, *kind, namespace.clone());
                let body = self.list(ctx, &request, &filter)?;
                self.respond(ctx, request.id, 200, &body);
                Ok(())
            }
            (Scope::Object(name) | Scope::Status(name), _) => {
                let object = self
                    .cache
                    .get(name)
                    .cloned()
                    .ok_or_else(|| not_found(name))?;
                let body = self.render(ctx, &request, &object);
                self.respond(ctx, request.id, 200, &body);
                Ok(())
            }
            (Scope::Namespaces | Scope::Namespace(_), _) => Err(StatusError::MethodNotAllowed),
        }
    }

    pub(super) fn progress(&self, ctx: &Context, object: &Object) -> Option<view::Progress> {
        let (done, running) = ctx.node.progress(object.record.state.job.as_deref()?)?;
        Some(view::Progress { done, running })
    }

    /// Renders an object as the client of the request accepts it.
    pub(super) fn render(&self, ctx: &Context, request: &Request, object: &Object) -> Value {
        let progress = self.progress(ctx, object);
        if !request.as_table {
            return view::to_json(object, progress);
        }
        let meta = json!({"resourceVersion": object.version.to_string()});
        table::table(vec![table::row(object, progress, ctx.now.wall)], meta, true)
    }

    fn list(
        &self,
        ctx: &Context,
        request: &Request,
        filter: &Filter,
    ) -> Result<Value, StatusError> {
        let query = &request.query;
        let revision = self.cache.revision().unwrap_or(0);
        if let ResourceVersion::AtLeast(version) = query.resource_version
            && version > revision
        {
            return Err(StatusError::Unavailable("that version is not reached yet"));
        }
        // Each page shows the current objects, but has the version of the first page. A
        // watch from this version delivers all changes made between the pages.
        let continue_from = query.continue_from.as_ref();
        let version = continue_from.map_or(revision, |(version, _)| *version);
        // The changes since the first page must still be kept, so that a watch can start at its
        // version.
        if self.cache.changes_since(version).is_none() {
            let message = "the list has changed too much since its first page";
            return Err(StatusError::Expired(message.into()));
        }
        let after = match &query.continue_from {
            None => None,
            Some((_, key)) => match Name::from_store_key(key) {
                Some(name) => Some(name),
                None => return Err(StatusError::BadRequest("continue: not one of ours".into())),
            },
        };
        let objects = self
            .cache
            .objects(filter.kind, filter.namespace.as_deref(), after.as_ref());
        let mut matching = objects.filter(|o| filter.matches(o)).peekable();
        let page: Vec<&Rc<Object>> = matching.by_ref().take(query.limit).collect();
        let mut meta = json!({"resourceVersion": version.to_string()});
        if let Some(last) = page.last().filter(|_| matching.peek().is_some()) {
            meta["continue"] = json!(format!("{version}/{}", last.name.key()));
        }
        if request.as_table {
            let rows = page.iter();
            let rows = rows.map(|o| table::row(o, self.progress(ctx, o), ctx.now.wall));
            return Ok(table::table(rows.collect(), meta, true));
        }
        let items = page.iter().map(|o| view::to_json(o, self.progress(ctx, o)));
        Ok(json!({
            "apiVersion": filter.kind.api_version(),
            "kind": format!("{}List", filter.kind.name()),
            "metadata": meta,
            "items": items.collect::<Vec<_>>(),
        }))
    }

    fn watch(
        &mut self,
        ctx: &mut Context,
        request: &Request,
        filter: Filter,
    ) -> Result<(), StatusError> {
        if self.watches.count() >= self.config.settings.max_watches {
            return Err(StatusError::TooManyRequests);
        }
        let query = &request.query;
        let from = match query.resource_version {
            ResourceVersion::MostRecent | ResourceVersion::Any => None,
            ResourceVersion::AtLeast(version) => Some(version),
        };
        let now = ctx.now.monotonic;
        let times = (now, now.saturating_add(query.watch_timeout), ctx.now.wall);
        let (id, bookmarks) = (request.id, query.bookmarks);
        let opened = self.watches.open(
            id,
            filter,
            request.as_table,
            bookmarks,
            from,
            &self.cache,
            times,
        );
        let Some(outputs) = opened else {
            return Err(StatusError::Expired(format!(
                "too old resource version: {}",
                from.unwrap_or(0)
            )));
        };
        ctx.out.push(ControllerOutput::WatchStarted { id });
        self.send(ctx, outputs);
        Ok(())
    }
}

fn request_filter(request: &Request, kind: Kind, namespace: Option<String>) -> Filter {
    Filter {
        kind,
        namespace,
        query: request.query.clone(),
        token: request.token.clone(),
    }
}

pub(super) fn not_found(name: &Name) -> StatusError {
    StatusError::NotFound {
        resource: name.kind.resource(),
        name: name.name.clone(),
    }
}
