//! The state dump that every process returns on its peer port as `state.dump`.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::table::Incarnation;

/// Name of the method that returns a `Dump`.
pub const METHOD: &str = "state.dump";

/// The tables that a dump should contain.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Request {
    /// Table names; empty for all tables.
    #[serde(default)]
    pub tables: Vec<String>,
}

/// The state of a process at one moment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Dump {
    /// The program's name.
    pub program: String,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// Whether it is ready to work.
    pub ready: bool,
    /// Problems that an operator should look at; empty if there are none.
    pub faults: Vec<String>,
    /// Tables by name; each row is an object.
    pub tables: BTreeMap<String, Vec<Value>>,
}
