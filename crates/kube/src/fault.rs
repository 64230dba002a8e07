//! What a client is told when its request is not carried out.

use k8s_openapi::apimachinery::pkg::apis::meta::v1::{Status, StatusCause, StatusDetails};

/// Why a field is not taken, by the names of Kubernetes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    Required,
    Invalid,
    /// A value, or a field, that is right there but not served here.
    NotSupported,
    Forbidden,
}

impl Why {
    fn reason(self) -> &'static str {
        match self {
            Why::Required => "FieldValueRequired",
            Why::Invalid => "FieldValueInvalid",
            Why::NotSupported => "FieldValueNotSupported",
            Why::Forbidden => "FieldValueForbidden",
        }
    }
}

/// What is wrong with one field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cause {
    pub path: String,
    pub why: Why,
    pub what: String,
}

impl Cause {
    pub fn new(path: impl Into<String>, why: Why, what: impl Into<String>) -> Cause {
        Cause {
            path: path.into(),
            why,
            what: what.into(),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("{0}")]
    BadRequest(String),
    #[error("a valid bearer token is needed")]
    Unauthorized,
    #[error("{0}")]
    Forbidden(String),
    #[error("the server could not find the requested resource")]
    NoSuchPath,
    #[error("{resource} {name:?} not found")]
    NotFound {
        resource: &'static str,
        name: String,
    },
    #[error("the method is not served here")]
    NotAllowed,
    #[error("{resource} {name:?} already exists{more}")]
    Exists {
        resource: &'static str,
        name: String,
        /// What else there is to say of it, beginning with a colon.
        more: String,
    },
    #[error("{resource} {name:?}: {why}")]
    Conflict {
        resource: &'static str,
        name: String,
        why: String,
    },
    #[error("{0}")]
    Expired(String),
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    #[error("{0}")]
    MediaType(String),
    #[error("{kind} {name:?} is invalid: {}", list(causes))]
    Invalid {
        kind: &'static str,
        name: String,
        causes: Vec<Cause>,
    },
    #[error("too many requests")]
    TooMany,
    #[error("{0}")]
    Unavailable(&'static str),
}

fn list(causes: &[Cause]) -> String {
    let each = causes.iter().map(|c| format!("{}: {}", c.path, c.what));
    each.collect::<Vec<_>>().join("; ")
}

impl Fault {
    /// Status code and reason.
    pub fn code(&self) -> (u16, &'static str) {
        match self {
            Fault::BadRequest(_) => (400, "BadRequest"),
            Fault::Unauthorized => (401, "Unauthorized"),
            Fault::Forbidden(_) => (403, "Forbidden"),
            Fault::NoSuchPath | Fault::NotFound { .. } => (404, "NotFound"),
            Fault::NotAllowed => (405, "MethodNotAllowed"),
            Fault::Exists { .. } => (409, "AlreadyExists"),
            Fault::Conflict { .. } => (409, "Conflict"),
            Fault::Expired(_) => (410, "Expired"),
            Fault::TooLarge(_) => (413, "RequestEntityTooLarge"),
            Fault::MediaType(_) => (415, "UnsupportedMediaType"),
            Fault::Invalid { .. } => (422, "Invalid"),
            Fault::TooMany => (429, "TooManyRequests"),
            Fault::Unavailable(_) => (503, "ServiceUnavailable"),
        }
    }

    /// Seconds after which it is worth asking again.
    pub fn retry_after(&self) -> Option<u32> {
        matches!(self, Fault::TooMany | Fault::Unavailable(_)).then_some(1)
    }

    fn details(&self) -> Option<StatusDetails> {
        let (kind, name, causes) = match self {
            Fault::Invalid { kind, name, causes } => (*kind, name.clone(), causes.as_slice()),
            Fault::NotFound { resource, name }
            | Fault::Exists { resource, name, .. }
            | Fault::Conflict { resource, name, .. } => (*resource, name.clone(), &[][..]),
            Fault::TooMany | Fault::Unavailable(_) => ("", String::new(), &[][..]),
            _ => return None,
        };
        let causes = causes.iter().map(|c| StatusCause {
            field: Some(c.path.clone()),
            message: Some(c.what.clone()),
            reason: Some(c.why.reason().into()),
        });
        Some(StatusDetails {
            kind: Some(kind.into()).filter(|k: &String| !k.is_empty()),
            name: Some(name).filter(|n| !n.is_empty()),
            causes: Some(causes.collect()).filter(|c: &Vec<_>| !c.is_empty()),
            retry_after_seconds: self.retry_after().map(|s| s as i32),
            ..StatusDetails::default()
        })
    }

    pub fn status(&self) -> Status {
        let (code, reason) = self.code();
        Status {
            code: Some(i32::from(code)),
            reason: Some(reason.into()),
            message: Some(self.to_string()),
            status: Some("Failure".into()),
            details: self.details(),
            ..Status::default()
        }
    }
}
