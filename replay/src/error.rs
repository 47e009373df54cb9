//! Errors of replays.

use std::io;

use laburnumwheel_core::config::Findings;
use thiserror::Error;

/// Error of a replay.
#[derive(Debug, Error)]
pub enum Error {
    /// A file can't be read or written; the first field is its name.
    #[error("{0}: {1}")]
    File(String, io::Error),
    /// A line of a trace is not a valid record.
    #[error("{file}:{line}: {message}")]
    Trace {
        /// Name of the trace's file.
        file: String,
        /// Line number, starting at 1.
        line: usize,
        /// Description of the error.
        message: String,
    },
    /// The file of a site is invalid; the first field is its name.
    #[error("{0}: {1}")]
    Outcomes(String, toml::de::Error),
    /// The configuration of a site is invalid.
    #[error(transparent)]
    Config(#[from] Findings),
    /// Required outcomes of a site were not reached.
    #[error("missed: {}", .0.join("; "))]
    Missed(Vec<String>),
}
