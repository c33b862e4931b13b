//! Deserialization of a tree of nodes into a settings type that reports every fault.
//!
//! A derived deserializer stops at its first fault. Therefore each faulty field is reported and
//! removed from the tree, and deserialization is repeated: the field's default replaces it, or the
//! missing field ends deserialization after all other fields were checked.

use std::fmt;

use serde::de;
use serde::de::DeserializeOwned;
use serde::de::DeserializeSeed;
use serde::de::IntoDeserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde::forward_to_deserialize_any;
use serde_saphyr::Spanned;

use crate::config::Error;
use crate::config::node::Faults;
use crate::config::node::Node;
use crate::config::node::Tree;

/// Step from a node to one of its children.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Key(String),
    Index(usize),
}

/// Deserialization failure and its location.
#[derive(Debug)]
struct Failure {
    reason: String,
    line: Option<u64>,
    /// Path from the faulty node up to the root.
    path: Vec<Step>,
}

impl Failure {
    fn with_step(mut self, step: Step, line: u64) -> Self {
        self.line.get_or_insert(line);
        self.path.push(step);
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for Failure {}

impl de::Error for Failure {
    fn custom<T: fmt::Display>(reason: T) -> Self {
        Failure { reason: reason.to_string(), line: None, path: Vec::new() }
    }
}

/// Deserializes the tree of `file` into a `T`, or returns every fault found.
pub fn read<T: DeserializeOwned>(file: &str, mut root: Node) -> Result<T, Error> {
    let mut faults = Faults::new(file);
    remove_duplicates(&mut root, &mut faults);
    let mut removed = Vec::new();
    loop {
        let failure = match T::deserialize(Reader(&root)) {
            Ok(value) if faults.list.is_empty() => return Ok(value),
            Ok(_) => break,
            Err(failure) => failure,
        };
        // A field that was removed for its fault is not reported as missing as well.
        let is_removed = |name: &String| failure.reason == format!("missing field `{name}`");
        if !removed.iter().any(is_removed) {
            faults.add(failure.line.unwrap_or(root.line), failure.reason);
        }
        if let Some(Step::Key(name)) = failure.path.first() {
            removed.push(name.clone());
        }
        if !remove(&mut root, failure.path) {
            break;
        }
    }
    Err(faults.into())
}

/// Reports duplicate keys of a map and keeps the first occurrence of each.
fn remove_duplicates(node: &mut Node, faults: &mut Faults) {
    match &mut node.tree {
        Tree::List(list) => list.iter_mut().for_each(|node| remove_duplicates(node, faults)),
        Tree::Map(pairs) => {
            let mut seen: Vec<Spanned<String>> = Vec::with_capacity(pairs.len());
            pairs.retain(|(key, _)| {
                let first = seen.iter().find(|other| other.value == key.value);
                if let Some(first) = first {
                    let line = first.referenced.line();
                    let reason =
                        format!("duplicate field `{}`; first set on line {line}", key.value);
                    faults.add(key.referenced.line(), reason);
                    return false;
                }
                seen.push(key.clone());
                true
            });
            pairs.iter_mut().for_each(|(_, node)| remove_duplicates(node, faults));
        }
        _ => {}
    }
}

/// Removes the node at `path`. Returns false if there is none or it is the root.
fn remove(root: &mut Node, mut path: Vec<Step>) -> bool {
    let mut node = root;
    while let Some(step) = path.pop() {
        let last = path.is_empty();
        match (&mut node.tree, step) {
            (Tree::List(list), Step::Index(index)) if last => {
                list.remove(index);
                return true;
            }
            (Tree::Map(pairs), Step::Key(name)) if last => {
                pairs.retain(|(key, _)| key.value != name);
                return true;
            }
            (Tree::List(list), Step::Index(index)) => node = &mut list[index],
            (Tree::Map(pairs), Step::Key(name)) => {
                match pairs.iter_mut().find(|(key, _)| key.value == name) {
                    Some((_, child)) => node = child,
                    None => return false,
                }
            }
            _ => return false,
        }
    }
    false
}

/// Deserializer of one node.
struct Reader<'a>(&'a Node);

impl<'de> de::Deserializer<'de> for Reader<'_> {
    type Error = Failure;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Failure> {
        match &self.0.tree {
            Tree::Null => visitor.visit_unit(),
            Tree::Bool(value) => visitor.visit_bool(*value),
            Tree::Integer(value) => visitor.visit_u64(*value),
            Tree::Float(value) => visitor.visit_f64(*value),
            Tree::Text(text) => visitor.visit_str(text),
            Tree::List(list) => visitor.visit_seq(Items { list, index: 0 }),
            Tree::Map(pairs) => visitor.visit_map(Pairs { pairs, index: 0 }),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Failure> {
        match &self.0.tree {
            Tree::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _: &'static str,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Failure> {
        match &self.0.tree {
            Tree::Text(text) => visitor.visit_enum(text.as_str().into_deserializer()),
            _ => Err(de::Error::custom("must be a name")),
        }
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 u8 u16 u32 u64 f32 f64 char str string bytes byte_buf unit unit_struct
        newtype_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

struct Items<'a> {
    list: &'a [Node],
    index: usize,
}

impl<'de> SeqAccess<'de> for Items<'_> {
    type Error = Failure;

    fn next_element_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Failure> {
        let Some(node) = self.list.get(self.index) else {
            return Ok(None);
        };
        self.index += 1;
        let value = seed.deserialize(Reader(node));
        value.map(Some).map_err(|failure| failure.with_step(Step::Index(self.index - 1), node.line))
    }
}

struct Pairs<'a> {
    pairs: &'a [(Spanned<String>, Node)],
    index: usize,
}

impl<'de> MapAccess<'de> for Pairs<'_> {
    type Error = Failure;

    fn next_key_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Failure> {
        let Some((key, _)) = self.pairs.get(self.index) else {
            return Ok(None);
        };
        let value = seed.deserialize(key.value.as_str().into_deserializer());
        let step = || Step::Key(key.value.clone());
        value.map(Some).map_err(|failure: Failure| failure.with_step(step(), key.referenced.line()))
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, Failure> {
        let (key, node) = &self.pairs[self.index];
        self.index += 1;
        seed.deserialize(Reader(node)).map_err(|mut failure| {
            // Serde's reason names only types, so the field name is added.
            if failure.path.is_empty() && !failure.reason.starts_with("missing field") {
                failure.reason = format!("{}: {}", key.value, failure.reason);
            }
            failure.with_step(Step::Key(key.value.clone()), node.line)
        })
    }
}
