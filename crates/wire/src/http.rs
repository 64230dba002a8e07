//! What is sent to the store and to the cloud, both of which speak HTTP.

/// A request over HTTP.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method, in capitals.
    pub method: &'static str,
    /// The path and the query.
    pub target: String,
    /// The body in `MessagePack`; empty for a request without one.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// A `GET` request.
    pub(crate) fn get(target: impl Into<String>) -> HttpRequest {
        HttpRequest::new("GET", target, Vec::new())
    }

    /// A `POST` request.
    pub(crate) fn post(target: impl Into<String>, body: Vec<u8>) -> HttpRequest {
        HttpRequest::new("POST", target, body)
    }

    /// A `DELETE` request.
    pub(crate) fn delete(target: impl Into<String>) -> HttpRequest {
        HttpRequest::new("DELETE", target, Vec::new())
    }

    fn new(method: &'static str, target: impl Into<String>, body: Vec<u8>) -> HttpRequest {
        HttpRequest {
            method,
            target: target.into(),
            body,
        }
    }
}
