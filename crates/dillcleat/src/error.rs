//! Errors of the commands, and their exit codes.

#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file that cannot be read or is invalid, and the cause.
    #[error("{0}: {1}")]
    File(String, String),
    #[error("cannot listen on {0}: {1}")]
    Listen(String, std::io::Error),
    #[error("{0}")]
    Usage(String),
    #[error("{0}")]
    Failed(String),
    /// The server, and the timeout in seconds.
    #[error("no answer from {0} in {1} s")]
    NoAnswer(String, u64),
}

impl CliError {
    /// The exit code: 2 for invalid arguments or files, 1 for a failure at run time.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::File(..) | CliError::Usage(_) => 2,
            CliError::Listen(..) | CliError::Failed(_) | CliError::NoAnswer(..) => 1,
        }
    }
}
