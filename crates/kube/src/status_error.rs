//! What a client is told when its request is not carried out.

use k8s_openapi::apimachinery::pkg::apis::meta::v1::{Status, StatusCause, StatusDetails};

/// Why a field is not taken, by the names of Kubernetes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusReason {
    Required,
    Invalid,
    /// A value, or a field, that is right there but not served here.
    NotSupported,
    Forbidden,
}

impl StatusReason {
    fn reason(self) -> &'static str {
        match self {
            StatusReason::Required => "FieldValueRequired",
            StatusReason::Invalid => "FieldValueInvalid",
            StatusReason::NotSupported => "FieldValueNotSupported",
            StatusReason::Forbidden => "FieldValueForbidden",
        }
    }
}

/// What is wrong with one field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cause {
    pub path: String,
    pub why: StatusReason,
    pub what: String,
}

impl Cause {
    pub fn new(path: impl Into<String>, why: StatusReason, what: impl Into<String>) -> Cause {
        Cause {
            path: path.into(),
            why,
            what: what.into(),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StatusError {
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

impl StatusError {
    /// Status code and reason.
    pub fn code(&self) -> (u16, &'static str) {
        match self {
            StatusError::BadRequest(_) => (400, "BadRequest"),
            StatusError::Unauthorized => (401, "Unauthorized"),
            StatusError::Forbidden(_) => (403, "Forbidden"),
            StatusError::NoSuchPath | StatusError::NotFound { .. } => (404, "NotFound"),
            StatusError::NotAllowed => (405, "MethodNotAllowed"),
            StatusError::Exists { .. } => (409, "AlreadyExists"),
            StatusError::Conflict { .. } => (409, "Conflict"),
            StatusError::Expired(_) => (410, "Expired"),
            StatusError::TooLarge(_) => (413, "RequestEntityTooLarge"),
            StatusError::MediaType(_) => (415, "UnsupportedMediaType"),
            StatusError::Invalid { .. } => (422, "Invalid"),
            StatusError::TooMany => (429, "TooManyRequests"),
            StatusError::Unavailable(_) => (503, "ServiceUnavailable"),
        }
    }

    /// Seconds after which it is worth asking again.
    pub fn retry_after(&self) -> Option<u32> {
        matches!(self, StatusError::TooMany | StatusError::Unavailable(_)).then_some(1)
    }

    fn details(&self) -> Option<StatusDetails> {
        let (kind, name, causes) = match self {
            StatusError::Invalid { kind, name, causes } => (*kind, name.clone(), causes.as_slice()),
            StatusError::NotFound { resource, name }
            | StatusError::Exists { resource, name, .. }
            | StatusError::Conflict { resource, name, .. } => (*resource, name.clone(), &[][..]),
            StatusError::TooMany | StatusError::Unavailable(_) => ("", String::new(), &[][..]),
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
