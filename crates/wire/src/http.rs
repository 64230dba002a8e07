//! HTTP requests to the store and the cloud.

/// An HTTP request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method, in upper case.
    pub method: &'static str,
    /// The path and the query string.
    pub target: String,
    /// The `MessagePack` body; empty if the request has none.
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
