//! Errors of the commands, and their exit codes.

#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file that cannot be read or is invalid, and the error in it.
    #[error("{0}: {1}")]
    Settings(String, String),
    #[error("cannot listen on {0}: {1}")]
    Listen(String, std::io::Error),
    #[error("{0}")]
    Usage(String),
    #[error("{0}")]
    Refused(String),
    /// The server, and the timeout in seconds.
    #[error("no answer from {0} in {1} s")]
    NoAnswer(String, u64),
}

impl CliError {
    /// The exit code: 2 for invalid arguments or files, 1 for a failure at run time.
    pub fn code(&self) -> u8 {
        match self {
            CliError::Settings(..) | CliError::Usage(_) => 2,
            CliError::Listen(..) | CliError::Refused(_) | CliError::NoAnswer(..) => 1,
        }
    }
}
