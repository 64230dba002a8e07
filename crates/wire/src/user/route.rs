//! The paths that a controller serves.

use crate::worker::HEARTBEAT_PATH;

/// Where jobs are submitted. A job's own path is below it.
pub const JOBS_PATH: &str = "/v2/runs";
/// Where the load balancer asks whether a node is up.
pub const HEALTH_PATH: &str = "/up";
/// The last segment of the path that cancels a job.
const CANCEL_SEGMENT: &str = "abort";

/// What a request asks for, by its path and method.
#[derive(Debug, Clone, PartialEq)]
pub enum Route {
    /// A user submits a job.
    Submit,
    /// A user asks for the status of the job with this id.
    Poll(String),
    /// A user cancels the job with this id.
    Cancel(String),
    /// The load balancer's health check.
    Health,
    /// A worker's heartbeat.
    Heartbeat,
    /// The path is unknown.
    NotFound,
    /// The path is known, but not with this method.
    WrongMethod,
}

/// Tells what a request is for. `target` is the path and, if there is one, the query.
pub fn route(method: &str, target: &str) -> Route {
    let path = target.split('?').next().unwrap_or(target);
    let Some((route, allowed_method)) = route_of_path(path) else {
        return Route::NotFound;
    };
    if method == allowed_method {
        route
    } else {
        Route::WrongMethod
    }
}

/// The route of a path, and the only method that it is served with.
fn route_of_path(path: &str) -> Option<(Route, &'static str)> {
    match path {
        HEALTH_PATH => Some((Route::Health, "GET")),
        HEARTBEAT_PATH => Some((Route::Heartbeat, "POST")),
        JOBS_PATH => Some((Route::Submit, "POST")),
        _ => job_route(path.strip_prefix(JOBS_PATH)?.strip_prefix('/')?),
    }
}

/// The route of a path below [`JOBS_PATH`].
fn job_route(path: &str) -> Option<(Route, &'static str)> {
    match path.split_once('/') {
        None if !path.is_empty() => Some((Route::Poll(path.to_string()), "GET")),
        Some((id, CANCEL_SEGMENT)) if !id.is_empty() => {
            Some((Route::Cancel(id.to_string()), "POST"))
        }
        _ => None,
    }
}

/// Where the status of a job is asked for.
pub fn poll_path(id: &str) -> String {
    format!("{JOBS_PATH}/{id}")
}

/// Where a job is cancelled.
pub fn cancel_path(id: &str) -> String {
    format!("{JOBS_PATH}/{id}/{CANCEL_SEGMENT}")
}
