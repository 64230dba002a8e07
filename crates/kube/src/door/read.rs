//! Gets, lists and watches.

use super::*;

impl Door {
    pub(super) fn read(&mut self, ctx: &mut Ctx, request: Request) -> Result<(), Fault> {
        match (&request.scope, request.verb) {
            (Scope::All(kind, namespace), Verb::Watch) => {
                let filter = filter(&request, *kind, namespace.clone());
                self.watch(ctx, &request, filter)
            }
            (Scope::All(kind, namespace), _) => {
                let filter = filter(&request, *kind, namespace.clone());
                let shown = self.list(ctx, &request, &filter)?;
                self.reply(ctx, request.id, 200, &shown);
                Ok(())
            }
            (Scope::One(name) | Scope::Status(name), _) => {
                let object = self.cache.get(name).cloned().ok_or_else(|| missing(name))?;
                let shown = self.shown(ctx, &request, &object);
                self.reply(ctx, request.id, 200, &shown);
                Ok(())
            }
            (Scope::Namespaces | Scope::Namespace(_), _) => Err(Fault::NotAllowed),
        }
    }

    pub(super) fn progress(&self, ctx: &Ctx, object: &Object) -> view::Progress {
        ctx.node.progress(object.record.state.job.as_deref()?)
    }

    pub(super) fn shown(&self, ctx: &Ctx, request: &Request, object: &Object) -> Value {
        let progress = self.progress(ctx, object);
        if !request.table {
            return view::object(object, progress);
        }
        let meta = json!({"resourceVersion": object.version.to_string()});
        table::table(vec![table::row(object, progress, ctx.now.wall)], meta, true)
    }

    fn list(&self, ctx: &Ctx, request: &Request, filter: &Filter) -> Result<Value, Fault> {
        let query = &request.query;
        let now = self.cache.revision().unwrap_or(0);
        if let Since::Version(wanted) = query.since
            && wanted > now
        {
            return Err(Fault::Unavailable("that version is not reached yet"));
        }
        // Pages are of the objects as they are when each is asked for. All have the
        // version of the first: a watch from there tells whatever has changed.
        let version = query.after.as_ref().map_or(now, |(version, _)| *version);
        if self.cache.since(version).is_none() {
            let what = "the list has changed too much since its first page";
            return Err(Fault::Expired(what.into()));
        }
        let after = match &query.after {
            None => None,
            Some((_, key)) => match Name::parse(key) {
                Some(name) => Some(name),
                None => return Err(Fault::BadRequest("continue: not one of ours".into())),
            },
        };
        let all = self
            .cache
            .all(filter.kind, filter.namespace.as_deref(), after.as_ref());
        let mut found = all.filter(|o| filter.takes(o)).peekable();
        let page: Vec<&Rc<Object>> = found.by_ref().take(query.limit).collect();
        let mut meta = json!({"resourceVersion": version.to_string()});
        if let Some(last) = page.last().filter(|_| found.peek().is_some()) {
            meta["continue"] = json!(format!("{version}/{}", last.name.key()));
        }
        if request.table {
            let rows = page.iter();
            let rows = rows.map(|o| table::row(o, self.progress(ctx, o), ctx.now.wall));
            return Ok(table::table(rows.collect(), meta, true));
        }
        let items = page.iter().map(|o| view::object(o, self.progress(ctx, o)));
        Ok(json!({
            "apiVersion": filter.kind.api_version(),
            "kind": format!("{}List", filter.kind.name()),
            "metadata": meta,
            "items": items.collect::<Vec<_>>(),
        }))
    }

    fn watch(&mut self, ctx: &mut Ctx, request: &Request, filter: Filter) -> Result<(), Fault> {
        if self.watches.count() >= self.rules.settings.max_watches {
            return Err(Fault::TooMany);
        }
        let query = &request.query;
        let from = match query.since {
            Since::Now | Since::Any => None,
            Since::Version(version) => Some(version),
        };
        let now = ctx.now.monotonic;
        let times = (now, now.saturating_add(query.timeout), ctx.now.wall);
        let (id, bookmarks) = (request.id, query.bookmarks);
        let opened = self.watches.open(
            id,
            filter,
            request.table,
            bookmarks,
            from,
            &self.cache,
            times,
        );
        let Some(sent) = opened else {
            return Err(Fault::Expired(format!(
                "too old resource version: {}",
                from.unwrap_or(0)
            )));
        };
        ctx.out.push(Out::Stream { id });
        self.send(ctx, sent);
        Ok(())
    }
}

fn filter(request: &Request, kind: Kind, namespace: Option<String>) -> Filter {
    Filter {
        kind,
        namespace,
        query: request.query.clone(),
        token: request.token.clone(),
    }
}

pub(super) fn missing(name: &Name) -> Fault {
    Fault::NotFound {
        resource: name.kind.resource(),
        name: name.name.clone(),
    }
}
