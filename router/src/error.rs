//! Why a router process can't start or go on.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::settings::Problem;

/// Errors of the router process.
#[derive(Debug, Error)]
pub enum Error {
    /// Flags or environment variables are wrong.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Settings(Vec<Problem>),
    /// A listening socket could not be opened.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// Some other operation of the system failed.
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
    /// Exit code of the process: 2 for wrong settings, else 1.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Settings(_) => 2,
            _ => 1,
        }
    }
}
