//! Files written by operators: service files and the settings of each process.

pub mod de;
pub mod file;
pub mod node;
pub mod publish;
pub mod service;
pub mod set;
pub mod settings;
pub mod snapshot;

use std::fmt;

use serde::Serialize;

/// Fault in a configuration file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// File name as the operator gave it.
    pub file: String,
    /// Line number, from 1, if known.
    pub line: Option<u64>,
    /// What is wrong and what is allowed.
    pub reason: String,
}

/// Refusal of a configuration, with every fault found and not only the first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Faults found; never empty.
    pub faults: Vec<Fault>,
}

impl Error {
    /// Creates an error with a single fault.
    pub fn single(file: &str, line: Option<u64>, reason: impl Into<String>) -> Self {
        Error { faults: vec![Fault { file: file.to_string(), line, reason: reason.into() }] }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{}: {}", self.file, line, self.reason),
            None => write!(f, "{}: {}", self.file, self.reason),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
