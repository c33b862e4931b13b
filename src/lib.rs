//! A serving system for many models on fewer accelerators.
//!
//! `cmd` holds one file per program, `decide` the decisions (pure: time and randomness are handed
//! in), `table` the entities, `edge` all traits and all I/O shapes, `config` what operators write.

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
