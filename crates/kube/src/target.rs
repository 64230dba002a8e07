//! What a request is for, by its method, path and query.

use crate::fault::Fault;
use crate::record::{Kind, Name};
use crate::select::Selector;
use crate::settings::Verb;
use dillcleat_controller::{Micros, SECOND};

/// Discovery and such: answered without any object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum About {
    Version,
    /// `/api`
    Core,
    /// `/apis`
    Groups,
    /// `/apis/batch`
    Batch,
    /// `/api/v1`
    CoreResources,
    /// `/apis/batch/v1`
    BatchResources,
    Alive,
}

/// The objects that a request is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// Kept objects of one namespace, or of all that the token sees.
    All(Kind, Option<String>),
    One(Name),
    Status(Name),
    Namespaces,
    Namespace(String),
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    About(About),
    Objects(Verb, Scope),
}

fn objects(method: &str, scope: Scope, watch: bool) -> Result<Target, Fault> {
    let verb = match (method, &scope) {
        ("GET", Scope::All(..) | Scope::Namespaces) if watch => Verb::Watch,
        ("GET", Scope::All(..) | Scope::Namespaces) => Verb::List,
        ("GET", _) => Verb::Get,
        ("POST", Scope::All(_, Some(_))) => Verb::Create,
        ("PUT", Scope::One(_)) => Verb::Update,
        ("PATCH", Scope::One(_)) => Verb::Patch,
        ("DELETE", Scope::One(_)) => Verb::Delete,
        _ => return Err(Fault::NotAllowed),
    };
    Ok(Target::Objects(verb, scope))
}

/// Tells what a request is for. `watch`: its query asks for one.
pub fn target(method: &str, path: &str, watch: bool) -> Result<Target, Fault> {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let about = match parts.as_slice() {
        ["version"] => Some(About::Version),
        ["livez" | "readyz" | "healthz"] => Some(About::Alive),
        ["api"] => Some(About::Core),
        ["apis"] => Some(About::Groups),
        ["apis", "batch"] => Some(About::Batch),
        ["api", "v1"] => Some(About::CoreResources),
        ["apis", "batch", "v1"] => Some(About::BatchResources),
        _ => None,
    };
    if let Some(about) = about {
        return match method {
            "GET" => Ok(Target::About(about)),
            _ => Err(Fault::NotAllowed),
        };
    }
    let scope = match parts.as_slice() {
        ["api", "v1", "namespaces"] => Scope::Namespaces,
        ["api", "v1", "namespaces", name] => Scope::Namespace(name.to_string()),
        ["apis", "batch", "v1", "jobs"] => Scope::All(Kind::Job, None),
        [
            "apis",
            "batch",
            "v1",
            "namespaces",
            namespace,
            "jobs",
            rest @ ..,
        ] => {
            let kind = Kind::Job;
            let namespace = namespace.to_string();
            let name = |name: &&str| Name {
                kind,
                namespace: namespace.clone(),
                name: name.to_string(),
            };
            match rest {
                [] => Scope::All(kind, Some(namespace)),
                [one] => Scope::One(name(one)),
                [one, "status"] => Scope::Status(name(one)),
                _ => return Err(Fault::NoSuchPath),
            }
        }
        _ => return Err(Fault::NoSuchPath),
    };
    objects(method, scope, watch)
}

/// How much of the past a list or watch may show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Since {
    /// Nothing older than the request.
    Now,
    /// Whatever is at hand.
    Any,
    /// From this version on.
    Version(u64),
}

/// A request's query.
#[derive(Debug, Clone)]
pub struct Query {
    pub labels: Selector,
    pub fields: Selector,
    pub limit: usize,
    /// The version that the first page had, and the last key of the page before.
    pub after: Option<(u64, String)>,
    pub watch: bool,
    pub bookmarks: bool,
    pub since: Since,
    pub timeout: Micros,
    pub dry_run: bool,
    pub propagation: Option<String>,
}

/// Fields by which objects are selected.
const FIELDS: [&str; 3] = ["metadata.name", "metadata.namespace", "status.successful"];
/// The longest that a client may watch without asking again.
const WATCH: Micros = 1_800 * SECOND;
/// The most objects of a page. The next is asked for by `continue`, also by who gave
/// no limit: ten thousand objects at once are a tenth of a controller's memory.
const PAGE: usize = 500;

fn truth(value: &str) -> bool {
    matches!(value, "1" | "true")
}

impl Query {
    pub fn parse(text: &str) -> Result<Query, Fault> {
        let mut q = Query {
            labels: Selector::default(),
            fields: Selector::default(),
            limit: PAGE,
            after: None,
            watch: false,
            bookmarks: false,
            since: Since::Now,
            timeout: WATCH,
            dry_run: false,
            propagation: None,
        };
        let bad =
            |name: &str, value: &str| Fault::BadRequest(format!("{name}: not one: {value:?}"));
        for (name, value) in form_urlencoded::parse(text.as_bytes()) {
            let value = value.as_ref();
            match name.as_ref() {
                "labelSelector" => {
                    q.labels =
                        Selector::labels(value).map_err(|e| Fault::BadRequest(e.to_string()))?;
                }
                "fieldSelector" => {
                    q.fields = Selector::fields(value, &FIELDS)
                        .map_err(|e| Fault::BadRequest(e.to_string()))?;
                }
                "limit" => {
                    let limit: usize = value.parse().map_err(|_| bad("limit", value))?;
                    // None, and more than a page, are as much as a page holds.
                    q.limit = if limit == 0 { PAGE } else { limit.min(PAGE) };
                }
                "continue" if !value.is_empty() => {
                    let (version, key) = value
                        .split_once('/')
                        .ok_or_else(|| bad("continue", value))?;
                    let version = version.parse().map_err(|_| bad("continue", value))?;
                    q.after = Some((version, key.to_string()));
                }
                "watch" => q.watch = truth(value),
                "allowWatchBookmarks" => q.bookmarks = truth(value),
                "resourceVersion" => {
                    q.since = match value {
                        "" => Since::Now,
                        "0" => Since::Any,
                        _ => Since::Version(
                            value.parse().map_err(|_| bad("resourceVersion", value))?,
                        ),
                    };
                }
                "timeoutSeconds" => {
                    let seconds: u64 = value.parse().map_err(|_| bad("timeoutSeconds", value))?;
                    q.timeout = seconds.saturating_mul(SECOND).clamp(SECOND, WATCH);
                }
                "dryRun" => match value {
                    "All" => q.dry_run = true,
                    _ => return Err(bad("dryRun", value)),
                },
                "propagationPolicy" => q.propagation = Some(value.to_string()),
                "sendInitialEvents" if truth(value) => {
                    // Clients that try it list and watch when it is refused.
                    let why = "sendInitialEvents is not served: list, then watch";
                    return Err(Fault::BadRequest(why.into()));
                }
                // What asks for a form of the answer, or for stricter checks than
                // none: every field is checked in any case.
                "fieldValidation" | "fieldManager" | "pretty" | "continue"
                | "sendInitialEvents" | "timeout" => {}
                "resourceVersionMatch" if value != "Exact" => {}
                other => {
                    let what = format!("the parameter {other:?} is not served");
                    return Err(Fault::BadRequest(what));
                }
            }
        }
        Ok(q)
    }
}
