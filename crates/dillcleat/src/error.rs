//! Why a command failed, and with which exit code.

#[derive(Debug, thiserror::Error)]
pub enum CliError {
    #[error("{0}: {1}")]
    Settings(String, String),
    #[error("cannot listen on {0}: {1}")]
    Listen(String, std::io::Error),
    #[error("{0}")]
    Usage(String),
    #[error("{0}")]
    Refused(String),
    /// From whom, and for how many seconds it was tried.
    #[error("no answer from {0} in {1} s")]
    NoAnswer(String, u64),
}

impl CliError {
    /// 2: what was given is wrong; 1: it was right and did not work.
    pub fn code(&self) -> u8 {
        match self {
            CliError::Settings(..) | CliError::Usage(_) => 2,
            CliError::Listen(..) | CliError::Refused(_) | CliError::NoAnswer(..) => 1,
        }
    }
}
