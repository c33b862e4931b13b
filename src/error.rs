//! The error type shared by all programs.
//!
//! Each edge module has its own error enum; `From` conversions let a program's `run` use `?`
//! throughout. The top level of a program wraps the error in an `error_stack::Report`.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::process::Termination;

use error_stack::Report;

use crate::config;
use crate::edge::endpoint;
use crate::edge::http;
use crate::edge::peer;
use crate::edge::platform;

/// Failure of a program or of one of its steps.
#[derive(Debug)]
pub enum Error {
    /// The operating system refused a file or socket operation.
    Io(io::Error),
    /// Binding a listener to this address failed.
    Listen(SocketAddr, io::Error),
    /// A settings file, a service file or a set of service files was invalid.
    Config(config::Error),
    /// A call to the platform failed or was refused.
    Platform(platform::Error),
    /// A call to an endpoint failed or was refused.
    Endpoint(endpoint::Error),
    /// A call to another process of the system failed or was refused.
    Peer(peer::Error),
    /// An HTTP exchange failed.
    Http(http::Error),
    /// Encoding or decoding JSON failed.
    Json(serde_json::Error),
    /// No line of the logs names a model.
    Unlogged {
        /// The model or adapter.
        name: String,
        /// Lines that could not be read.
        unreadable: u64,
        /// Lines that the daemons omitted.
        omitted: u64,
    },
    /// The log filter on the command line is invalid.
    Filter(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(err) => write!(f, "I/O error: {err}"),
            Error::Listen(addr, err) => write!(f, "cannot listen on {addr}: {err}"),
            Error::Config(err) => write!(f, "{err}"),
            Error::Platform(err) => write!(f, "platform: {err}"),
            Error::Endpoint(err) => write!(f, "endpoint: {err}"),
            Error::Peer(err) => write!(f, "peer: {err}"),
            Error::Http(err) => write!(f, "http: {err}"),
            Error::Json(err) => write!(f, "json: {err}"),
            Error::Unlogged { name, unreadable, omitted } => write!(
                f,
                "no line of the logs names {name:?}; {unreadable} lines could not be read, and \
                 daemons omitted {omitted}"
            ),
            Error::Filter(text) => write!(f, "invalid log filter: {text}"),
        }
    }
}

/// Returns the program's own exit code, or prints the error to standard error and returns failure.
pub fn exit<T: Termination>(result: Result<T, Error>) -> ExitCode {
    match result {
        Ok(result) => result.report(),
        Err(err) => {
            eprintln!("{:?}", Report::new(err));
            ExitCode::FAILURE
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(err: io::Error) -> Self {
        Error::Io(err)
    }
}

impl From<config::Error> for Error {
    fn from(err: config::Error) -> Self {
        Error::Config(err)
    }
}

impl From<platform::Error> for Error {
    fn from(err: platform::Error) -> Self {
        Error::Platform(err)
    }
}

impl From<endpoint::Error> for Error {
    fn from(err: endpoint::Error) -> Self {
        Error::Endpoint(err)
    }
}

impl From<peer::Error> for Error {
    fn from(err: peer::Error) -> Self {
        Error::Peer(err)
    }
}

impl From<http::Error> for Error {
    fn from(err: http::Error) -> Self {
        Error::Http(err)
    }
}

impl From<serde_json::Error> for Error {
    fn from(err: serde_json::Error) -> Self {
        Error::Json(err)
    }
}
