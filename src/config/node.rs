//! YAML tree that keeps the line number of each value.
//!
//! Deserializing a file directly into its type stops at the first fault. Parsing it into this tree
//! first lets the checks continue and report all faults of a file at once, each with its line.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::de;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::DuplicateKeyPolicy;
use serde_saphyr::Spanned;

use crate::config::Error;
use crate::config::Fault;

/// Maximum size of a settings or service file, in bytes.
pub const MAX_FILE_BYTES: usize = 64 << 10;

/// Value and its line number.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Line number, from 1.
    pub line: u64,
    /// Parsed value.
    pub tree: Tree,
}

impl Node {
    /// Returns the line of the field at this dotted path, or of its nearest existing ancestor.
    pub fn line_of(&self, path: &str) -> u64 {
        let mut node = self;
        for name in path.split('.') {
            let Tree::Map(pairs) = &node.tree else {
                break;
            };
            match pairs.iter().find(|(key, _)| key.value == name) {
                Some((_, child)) => node = child,
                None => break,
            }
        }
        node.line
    }
}

/// Value of YAML's core schema.
#[derive(Debug, Clone, PartialEq)]
pub enum Tree {
    /// Empty value or `null`.
    Null,
    /// Boolean.
    Bool(bool),
    /// Non-negative integer.
    Integer(u64),
    /// Negative or fractional number.
    Float(f64),
    /// String.
    Text(String),
    /// Sequence of values.
    List(Vec<Node>),
    /// Map with its keys in file order, including duplicates.
    Map(Vec<(Spanned<String>, Node)>),
}

impl Tree {
    /// Returns a description of the value's type for error messages.
    fn type_name(&self) -> &'static str {
        match self {
            Tree::Null => "null",
            Tree::Bool(_) => "true or false",
            Tree::Integer(_) => "a whole number",
            Tree::Float(_) => "a negative or fractional number",
            Tree::Text(_) => "text",
            Tree::List(_) => "a list",
            Tree::Map(_) => "a map",
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Tree>::deserialize(deserializer)?;
        Ok(Node { line: spanned.referenced.line(), tree: spanned.value })
    }
}

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Builder)
    }
}

/// Visitor that builds a tree from the parser's events.
struct Builder;

impl<'de> Visitor<'de> for Builder {
    type Value = Tree;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E: de::Error>(self) -> Result<Tree, E> {
        Ok(Tree::Null)
    }

    fn visit_none<E: de::Error>(self) -> Result<Tree, E> {
        Ok(Tree::Null)
    }

    fn visit_bool<E: de::Error>(self, value: bool) -> Result<Tree, E> {
        Ok(Tree::Bool(value))
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Tree, E> {
        Ok(Tree::Integer(value))
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Tree, E> {
        let float = || Tree::Float(value as f64);
        Ok(u64::try_from(value).map_or_else(|_| float(), Tree::Integer))
    }

    fn visit_f64<E: de::Error>(self, value: f64) -> Result<Tree, E> {
        Ok(Tree::Float(value))
    }

    fn visit_str<E: de::Error>(self, value: &str) -> Result<Tree, E> {
        Ok(Tree::Text(value.to_string()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Tree, A::Error> {
        let mut list = Vec::new();
        while let Some(node) = seq.next_element()? {
            list.push(node);
        }
        Ok(Tree::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tree, A::Error> {
        let mut list = Vec::new();
        while let Some(pair) = map.next_entry()? {
            list.push(pair);
        }
        Ok(Tree::Map(list))
    }
}

/// Parses the text of a YAML file.
pub fn parse(file: &str, text: &str) -> Result<Node, Error> {
    if text.len() > MAX_FILE_BYTES {
        let reason = format!("{} bytes; at most {MAX_FILE_BYTES} are allowed", text.len());
        return Err(Error::single(file, Some(1), reason));
    }
    // Only `true` and `false` are booleans; `no` and `y` are valid names and remain strings.
    let options = serde_saphyr::options! {
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        strict_booleans: true,
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|err| {
        let line = err.location().map(|location| location.line());
        let text = err.without_snippet().to_string();
        let reason = text.lines().next().unwrap_or("invalid YAML");
        Error::single(file, line, reason.split(" at line ").next().unwrap_or(reason))
    })
}

/// Collected faults of one file.
#[derive(Debug)]
pub struct Faults {
    /// File name as the operator gave it.
    pub file: String,
    /// Faults in the order found.
    pub list: Vec<Fault>,
}

impl Faults {
    /// Creates an empty list for `file`.
    pub fn new(file: &str) -> Self {
        Faults { file: file.to_string(), list: Vec::new() }
    }

    /// Records a fault at `line`.
    pub fn add(&mut self, line: u64, reason: impl Into<String>) {
        let fault = Fault { file: self.file.clone(), line: Some(line), reason: reason.into() };
        self.list.push(fault);
    }
}

impl From<Faults> for Error {
    fn from(mut faults: Faults) -> Self {
        faults.list.sort_by_key(|fault| fault.line);
        Error { faults: faults.list }
    }
}

/// Fields of a map that are still to be read.
#[derive(Debug)]
pub struct Fields {
    /// Line number where the map begins.
    pub line: u64,
    pairs: Vec<(Spanned<String>, Node)>,
}

impl Fields {
    /// Returns the fields of `node`, or records a fault if it is not a map. Duplicate fields are
    /// faults.
    pub fn from_node(node: Node, label: &str, faults: &mut Faults) -> Option<Self> {
        let Tree::Map(pairs) = node.tree else {
            faults.add(node.line, format!("{label} must be a map, not {}", node.tree.type_name()));
            return None;
        };
        let mut seen: Vec<(Spanned<String>, Node)> = Vec::with_capacity(pairs.len());
        for (key, value) in pairs {
            match seen.iter().find(|(other, _)| other.value == key.value) {
                Some((first, _)) => faults.add(
                    key.referenced.line(),
                    format!(
                        "duplicate field `{}`; first set on line {}",
                        key.value,
                        first.referenced.line()
                    ),
                ),
                None => seen.push((key, value)),
            }
        }
        Some(Fields { line: node.line, pairs: seen })
    }

    /// Removes and returns an optional field.
    pub fn take(&mut self, name: &str) -> Option<Node> {
        let index = self.pairs.iter().position(|(key, _)| key.value == name)?;
        Some(self.pairs.remove(index).1)
    }

    /// Removes and returns a required field; records a fault if it is missing.
    pub fn require(&mut self, name: &str, faults: &mut Faults) -> Option<Node> {
        let node = self.take(name);
        if node.is_none() {
            faults.add(self.line, format!("field `{name}` is missing"));
        }
        node
    }

    /// Reports every remaining field as unknown.
    pub fn reject_unknown(self, known: &[&str], faults: &mut Faults) {
        for (key, _) in self.pairs {
            let reason =
                format!("unknown field `{}`; it must be one of {}", key.value, known.join(", "));
            faults.add(key.referenced.line(), reason);
        }
    }
}

/// Returns a name: 1 to 64 letters, digits, `-`, `_` and `.`, starting with a letter or digit.
pub fn name(node: Node, label: &str, faults: &mut Faults) -> Option<String> {
    let line = node.line;
    let text = text(node, label, faults)?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let valid_start = text.chars().next().is_some_and(|c| c.is_ascii_alphanumeric());
    if valid_start && text.len() <= 64 && text.chars().all(is_allowed) {
        return Some(text);
    }
    faults.add(
        line,
        format!("{label} `{text}` must be 1 to 64 letters, digits, `-`, `_` or `.`, the first a letter or digit"),
    );
    None
}

/// Returns a string.
pub fn text(node: Node, label: &str, faults: &mut Faults) -> Option<String> {
    match node.tree {
        Tree::Text(text) => Some(text),
        other => {
            faults.add(node.line, format!("{label} must be text, not {}", other.type_name()));
            None
        }
    }
}

/// Returns an integer within `range`.
pub fn number(
    node: &Node,
    label: &str,
    range: &RangeInclusive<u64>,
    faults: &mut Faults,
) -> Option<u64> {
    let (low, high) = (range.start(), range.end());
    match &node.tree {
        Tree::Integer(value) if range.contains(value) => return Some(*value),
        Tree::Integer(value) => {
            faults.add(node.line, format!("{label} is {value}; it must be from {low} to {high}"));
        }
        other => faults.add(
            node.line,
            format!(
                "{label} must be a whole number from {low} to {high}, not {}",
                other.type_name()
            ),
        ),
    }
    None
}

/// Returns a boolean.
pub fn boolean(node: &Node, label: &str, faults: &mut Faults) -> Option<bool> {
    match &node.tree {
        Tree::Bool(value) => Some(*value),
        other => {
            faults.add(
                node.line,
                format!("{label} must be true or false, not {}", other.type_name()),
            );
            None
        }
    }
}

/// Returns the value of type `T` that the node names; `names` lists the allowed names.
pub fn choice<T: FromStr>(
    node: Node,
    label: &str,
    names: &[&str],
    faults: &mut Faults,
) -> Option<T> {
    let line = node.line;
    let text = text(node, label, faults)?;
    let value = T::from_str(&text).ok();
    if value.is_none() {
        faults.add(line, format!("{label} is `{text}`; it must be one of {}", names.join(", ")));
    }
    value
}

/// Returns the elements of a list.
pub fn list(node: Node, label: &str, faults: &mut Faults) -> Vec<Node> {
    match node.tree {
        Tree::List(list) => list,
        other => {
            faults.add(node.line, format!("{label} must be a list, not {}", other.type_name()));
            Vec::new()
        }
    }
}
