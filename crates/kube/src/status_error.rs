//! Errors that clients receive, as Kubernetes `Status` objects.

use k8s_openapi::apimachinery::pkg::apis::meta::v1::{Status, StatusCause, StatusDetails};

/// Why a field is rejected; each has a reason in a Kubernetes `StatusCause`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CauseReason {
    Required,
    Invalid,
    /// A field or a value that is valid in Kubernetes but not supported here.
    NotSupported,
    Forbidden,
}

impl CauseReason {
    fn name(self) -> &'static str {
        match self {
            CauseReason::Required => "FieldValueRequired",
            CauseReason::Invalid => "FieldValueInvalid",
            CauseReason::NotSupported => "FieldValueNotSupported",
            CauseReason::Forbidden => "FieldValueForbidden",
        }
    }
}

/// The error in one field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cause {
    /// The path of the field.
    pub field: String,
    pub reason: CauseReason,
    pub message: String,
}

impl Cause {
    pub fn new(field: impl Into<String>, reason: CauseReason, message: impl Into<String>) -> Cause {
        Cause {
            field: field.into(),
            reason,
            message: message.into(),
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
    MethodNotAllowed,
    #[error("{resource} {name:?} already exists{detail}")]
    AlreadyExists {
        resource: &'static str,
        name: String,
        /// Empty, or a colon and an explanation.
        detail: String,
    },
    #[error("{resource} {name:?}: {message}")]
    Conflict {
        resource: &'static str,
        name: String,
        message: String,
    },
    #[error("{0}")]
    Expired(String),
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    #[error("{0}")]
    UnsupportedMediaType(String),
    #[error("{kind} {name:?} is invalid: {}", join_causes(causes))]
    Invalid {
        kind: &'static str,
        name: String,
        causes: Vec<Cause>,
    },
    #[error("too many requests")]
    TooManyRequests,
    #[error("{0}")]
    Unavailable(&'static str),
}

fn join_causes(causes: &[Cause]) -> String {
    let each = causes.iter().map(|c| format!("{}: {}", c.field, c.message));
    each.collect::<Vec<_>>().join("; ")
}

impl StatusError {
    /// The HTTP status code and the `reason` of the `Status` object.
    pub fn code_and_reason(&self) -> (u16, &'static str) {
        match self {
            StatusError::BadRequest(_) => (400, "BadRequest"),
            StatusError::Unauthorized => (401, "Unauthorized"),
            StatusError::Forbidden(_) => (403, "Forbidden"),
            StatusError::NoSuchPath | StatusError::NotFound { .. } => (404, "NotFound"),
            StatusError::MethodNotAllowed => (405, "MethodNotAllowed"),
            StatusError::AlreadyExists { .. } => (409, "AlreadyExists"),
            StatusError::Conflict { .. } => (409, "Conflict"),
            StatusError::Expired(_) => (410, "Expired"),
            StatusError::BodyTooLarge(_) => (413, "RequestEntityTooLarge"),
            StatusError::UnsupportedMediaType(_) => (415, "UnsupportedMediaType"),
            StatusError::Invalid { .. } => (422, "Invalid"),
            StatusError::TooManyRequests => (429, "TooManyRequests"),
            StatusError::Unavailable(_) => (503, "ServiceUnavailable"),
        }
    }

    /// Seconds after which the client should retry.
    pub fn retry_after(&self) -> Option<u32> {
        matches!(
            self,
            StatusError::TooManyRequests | StatusError::Unavailable(_)
        )
        .then_some(1)
    }

    fn details(&self) -> Option<StatusDetails> {
        let (kind, name, causes) = match self {
            StatusError::Invalid { kind, name, causes } => (*kind, name.clone(), causes.as_slice()),
            StatusError::NotFound { resource, name }
            | StatusError::AlreadyExists { resource, name, .. }
            | StatusError::Conflict { resource, name, .. } => (*resource, name.clone(), &[][..]),
            StatusError::TooManyRequests | StatusError::Unavailable(_) => {
                ("", String::new(), &[][..])
            }
            _ => return None,
        };
        let causes = causes.iter().map(|c| StatusCause {
            field: Some(c.field.clone()),
            message: Some(c.message.clone()),
            reason: Some(c.reason.name().into()),
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
        let (code, reason) = self.code_and_reason();
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
