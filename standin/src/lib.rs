//! Stand-ins for the systems that poplarmux communicates with: the platform, engines, plain
//! services and callers.
//!
//! Each is a library, so that a test can run it in its own process and inject faults, and a program
//! that accepts the same commands as JSON at `POST /control`.

pub mod caller;
pub mod crowd;
pub mod engine;
pub mod gate;
pub mod host;
pub mod measure;
pub mod platform;
pub mod process;
pub mod program;
pub mod scene;
pub mod service;
pub mod site;
