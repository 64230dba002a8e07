//! The HTTP paths that a controller serves.

use crate::worker::HEARTBEAT_PATH;

/// The path at which jobs are submitted, and the prefix of the paths of jobs.
pub const JOBS_PATH: &str = "/v2/runs";
/// The path of the load balancer's health check.
pub const HEALTH_PATH: &str = "/up";
/// The last segment of the path that cancels a job.
const CANCEL_SEGMENT: &str = "abort";

/// The operation that a request invokes.
#[derive(Debug, Clone, PartialEq)]
pub enum Route {
    /// A user submits a job.
    Submit,
    /// A user polls the status of the job with this id.
    Poll(String),
    /// A user cancels the job with this id.
    Cancel(String),
    /// The load balancer's health check.
    Health,
    /// A worker's heartbeat.
    Heartbeat,
    /// The path is unknown.
    NotFound,
    /// The path does not support the method.
    WrongMethod,
}

/// Returns the route of a request. `target` is the path, optionally followed by a query string.
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

/// The route of a path, and the only method that the path supports.
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

/// The path at which the status of a job is polled.
pub fn poll_path(id: &str) -> String {
    format!("{JOBS_PATH}/{id}")
}

/// The path at which a job is cancelled.
pub fn cancel_path(id: &str) -> String {
    format!("{JOBS_PATH}/{id}/{CANCEL_SEGMENT}")
}
