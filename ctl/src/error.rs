//! Errors of commands and their exit codes.

use std::io;

use laburnumwheel_core::config::Findings;
use laburnumwheel_router::publish;
use thiserror::Error;

/// Error of a command.
#[derive(Debug, Error)]
pub enum Error {
    #[error("{0}")]
    Usage(String),
    #[error("{0}")]
    Config(#[from] Findings),
    #[error("{0}: {1}")]
    File(String, io::Error),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Publish(#[from] publish::Error),
    #[error(transparent)]
    Router(#[from] laburnumwheel_router::error::Error),
    #[error(transparent)]
    Replay(#[from] laburnumwheel_replay::error::Error),
    #[error("the router answered {0}: {1}")]
    Answer(u16, String),
    #[error("{0}")]
    Failed(String),
}

impl From<lexopt::Error> for Error {
    fn from(e: lexopt::Error) -> Error {
        Error::Usage(e.to_string())
    }
}

impl Error {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Usage(_) | Error::Config(_) => 2,
            Error::Publish(publish::Error::Conflict { .. }) => 3,
            Error::Publish(publish::Error::OutcomeUnknown(..)) => 4,
            _ => 1,
        }
    }
}
