//! A serving system for many models on fewer accelerators.
//!
//! `cmd` holds one file per program. `decide` holds the decisions, which are pure functions: time
//! and randomness are parameters. `table` holds the entities, `edge` the traits and formats of all
//! I/O, and `config` the files that operators write.

pub mod cmd;
pub mod config;
pub mod daemon;
pub mod decide;
pub mod edge;
pub mod entry;
pub mod error;
pub mod log;
pub mod metric;
pub mod placer;
pub mod state;
pub mod table;
