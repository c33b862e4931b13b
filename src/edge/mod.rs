//! Interfaces to other processes: each is a trait with its wire types and one HTTP implementation.
//!
//! Paths and headers appear only here, so a platform whose protocol differs needs changes in this
//! module alone.

pub mod caller;
pub mod dialect;
pub mod endpoint;
pub mod event_stream;
pub mod http;
pub mod peer;
pub mod platform;
pub mod response_filter;
pub mod text;
pub mod time;
