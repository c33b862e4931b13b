//! Logging to standard error. Only state changes are logged.

use clap::Args;
use clap::ValueEnum;
use tracing_subscriber::EnvFilter;

use crate::error::Error;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// One line of plain text per event.
    Text,
    /// One JSON object per line.
    Json,
}

/// Logging arguments common to all programs.
#[derive(Debug, Clone, Args)]
pub struct Log {
    /// Filter that selects the logged lines, such as `info` or `poplarmux=debug`.
    #[arg(long, default_value = "info", global = true)]
    pub log: String,
    /// Format of log lines.
    #[arg(long, value_enum, default_value = "text", global = true)]
    pub log_format: Format,
}

impl Log {
    /// Installs the global logger. Later calls in the same process have no effect.
    pub fn start(&self) -> Result<(), Error> {
        let filter = EnvFilter::try_new(&self.log).map_err(|err| Error::Filter(err.to_string()))?;
        let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
        let _ = match self.log_format {
            Format::Text => lines.with_ansi(false).try_init(),
            Format::Json => lines.json().try_init(),
        };
        Ok(())
    }
}
