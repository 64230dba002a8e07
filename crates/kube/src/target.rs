//! Parses the method, path and query of requests.

use crate::record::{Kind, Name};
use crate::selector::Selector;
use crate::settings::Verb;
use crate::status_error::StatusError;
use dillcleat_controller::{Micros, SECOND};

/// The discovery and health endpoints, which are answered without the watch cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discovery {
    Version,
    /// `/api`
    CoreVersions,
    /// `/apis`
    Groups,
    /// `/apis/batch`
    BatchGroup,
    /// `/api/v1`
    CoreResources,
    /// `/apis/batch/v1`
    BatchResources,
    Health,
}

/// The objects or namespaces that a request addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// The objects of one namespace, or of all namespaces that the token may access.
    Collection(Kind, Option<String>),
    Object(Name),
    Status(Name),
    Namespaces,
    Namespace(String),
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    Discovery(Discovery),
    Resource(Verb, Scope),
}

fn resource_target(method: &str, scope: Scope, watch: bool) -> Result<Target, StatusError> {
    let verb = match (method, &scope) {
        ("GET", Scope::Collection(..) | Scope::Namespaces) if watch => Verb::Watch,
        ("GET", Scope::Collection(..) | Scope::Namespaces) => Verb::List,
        ("GET", _) => Verb::Get,
        ("POST", Scope::Collection(_, Some(_))) => Verb::Create,
        ("PUT", Scope::Object(_)) => Verb::Update,
        ("PATCH", Scope::Object(_)) => Verb::Patch,
        ("DELETE", Scope::Object(_)) => Verb::Delete,
        _ => return Err(StatusError::MethodNotAllowed),
    };
    Ok(Target::Resource(verb, scope))
}

/// Parses the method and path of a request. `watch` is the query parameter of this name.
pub fn parse_target(method: &str, path: &str, watch: bool) -> Result<Target, StatusError> {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let discovery = match parts.as_slice() {
        ["version"] => Some(Discovery::Version),
        ["livez" | "readyz" | "healthz"] => Some(Discovery::Health),
        ["api"] => Some(Discovery::CoreVersions),
        ["apis"] => Some(Discovery::Groups),
        ["apis", "batch"] => Some(Discovery::BatchGroup),
        ["api", "v1"] => Some(Discovery::CoreResources),
        ["apis", "batch", "v1"] => Some(Discovery::BatchResources),
        _ => None,
    };
    if let Some(discovery) = discovery {
        return match method {
            "GET" => Ok(Target::Discovery(discovery)),
            _ => Err(StatusError::MethodNotAllowed),
        };
    }
    let scope = match parts.as_slice() {
        ["api", "v1", "namespaces"] => Scope::Namespaces,
        ["api", "v1", "namespaces", name] => Scope::Namespace(name.to_string()),
        ["apis", "batch", "v1", "jobs"] => Scope::Collection(Kind::Job, None),
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
                [] => Scope::Collection(kind, Some(namespace)),
                [one] => Scope::Object(name(one)),
                [one, "status"] => Scope::Status(name(one)),
                _ => return Err(StatusError::NoSuchPath),
            }
        }
        _ => return Err(StatusError::NoSuchPath),
    };
    resource_target(method, scope, watch)
}

/// How recent the result of a list or the start of a watch must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResourceVersion {
    /// At least as recent as the request.
    MostRecent,
    /// The current state of the cache.
    Any,
    /// A list at least as recent as this version, or a watch that starts at it.
    AtLeast(u64),
}

/// The query parameters of a request.
#[derive(Debug, Clone)]
pub struct Query {
    pub labels: Selector,
    pub fields: Selector,
    pub limit: usize,
    /// The decoded `continue` parameter: the version of the first page, and the last key of
    /// the previous page.
    pub continue_from: Option<(u64, String)>,
    pub watch: bool,
    pub bookmarks: bool,
    pub resource_version: ResourceVersion,
    pub watch_timeout: Micros,
    pub dry_run: bool,
    pub propagation: Option<String>,
}

/// The fields that field selectors may use.
const SELECTABLE_FIELDS: [&str; 3] = ["metadata.name", "metadata.namespace", "status.successful"];
/// The maximum and default duration of a watch.
const MAX_WATCH_DURATION: Micros = 1_800 * SECOND;
/// The maximum number of objects in one page of a list. Lists without a limit are paged as
/// well, to bound the memory that one response takes.
const MAX_PAGE_OBJECTS: usize = 500;

fn parse_bool(value: &str) -> bool {
    matches!(value, "1" | "true")
}

impl Query {
    pub fn parse(text: &str) -> Result<Query, StatusError> {
        let mut q = Query {
            labels: Selector::default(),
            fields: Selector::default(),
            limit: MAX_PAGE_OBJECTS,
            continue_from: None,
            watch: false,
            bookmarks: false,
            resource_version: ResourceVersion::MostRecent,
            watch_timeout: MAX_WATCH_DURATION,
            dry_run: false,
            propagation: None,
        };
        let invalid = |name: &str, value: &str| {
            StatusError::BadRequest(format!("{name}: not one: {value:?}"))
        };
        for (name, value) in form_urlencoded::parse(text.as_bytes()) {
            let value = value.as_ref();
            match name.as_ref() {
                "labelSelector" => {
                    q.labels = Selector::labels(value)
                        .map_err(|e| StatusError::BadRequest(e.to_string()))?;
                }
                "fieldSelector" => {
                    q.fields = Selector::fields(value, &SELECTABLE_FIELDS)
                        .map_err(|e| StatusError::BadRequest(e.to_string()))?;
                }
                "limit" => {
                    let limit: usize = value.parse().map_err(|_| invalid("limit", value))?;
                    // A limit of 0 means no limit.
                    q.limit = if limit == 0 {
                        MAX_PAGE_OBJECTS
                    } else {
                        limit.min(MAX_PAGE_OBJECTS)
                    };
                }
                "continue" if !value.is_empty() => {
                    let (version, key) = value
                        .split_once('/')
                        .ok_or_else(|| invalid("continue", value))?;
                    let version = version.parse().map_err(|_| invalid("continue", value))?;
                    q.continue_from = Some((version, key.to_string()));
                }
                "watch" => q.watch = parse_bool(value),
                "allowWatchBookmarks" => q.bookmarks = parse_bool(value),
                "resourceVersion" => {
                    q.resource_version = match value {
                        "" => ResourceVersion::MostRecent,
                        "0" => ResourceVersion::Any,
                        _ => ResourceVersion::AtLeast(
                            value
                                .parse()
                                .map_err(|_| invalid("resourceVersion", value))?,
                        ),
                    };
                }
                "timeoutSeconds" => {
                    let seconds: u64 = value
                        .parse()
                        .map_err(|_| invalid("timeoutSeconds", value))?;
                    q.watch_timeout = seconds
                        .saturating_mul(SECOND)
                        .clamp(SECOND, MAX_WATCH_DURATION);
                }
                "dryRun" => match value {
                    "All" => q.dry_run = true,
                    _ => return Err(invalid("dryRun", value)),
                },
                "propagationPolicy" => q.propagation = Some(value.to_string()),
                "sendInitialEvents" if parse_bool(value) => {
                    // Clients fall back to list and watch when this is rejected.
                    let message = "sendInitialEvents is not served: list, then watch";
                    return Err(StatusError::BadRequest(message.into()));
                }
                // These parameters, or these values of them, have no effect.
                "fieldValidation" | "fieldManager" | "pretty" | "continue"
                | "sendInitialEvents" | "timeout" => {}
                "resourceVersionMatch" if value != "Exact" => {}
                other => {
                    let message = format!("the parameter {other:?} is not served");
                    return Err(StatusError::BadRequest(message));
                }
            }
        }
        Ok(q)
    }
}
