//! The edges of a process: each a trait, its wire shapes and one HTTP implementation.
//!
//! Nothing behind an edge knows a path or a header, so that a real protocol that differs changes
//! one file here.

pub mod caller;
pub mod dialect;
pub mod endpoint;
pub mod http;
pub mod peer;
pub mod platform;
