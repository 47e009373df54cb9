//! Errors that end the router process.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::settings::Problem;

/// An error that ends the router process.
#[derive(Debug, Error)]
pub enum Error {
    /// Flags or environment variables are invalid.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Settings(Vec<Problem>),
    /// A listening socket could not be opened.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// Another system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The subcommand for the users' platform failed.
    #[error(transparent)]
    Platform(#[from] laburnumwheel_platform::cmd::Error),
    /// Logging could not be set up.
    #[error("can't set up logging: {0}")]
    Log(#[from] spdlog::Error),
}

impl Error {
    /// Returns the exit code of the process: 2 for invalid settings, otherwise 1.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Settings(_) => 2,
            _ => 1,
        }
    }
}
