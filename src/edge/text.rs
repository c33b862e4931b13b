//! Documents with entries of several writers.
//!
//! An entry that can't be read must not hide the others. So a document is split into its entries
//! first, which looks at its brackets and quotes only, and each entry is decoded by itself.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

/// Lists and maps that an entry may have within each other. Entries are passed on within other
/// documents, whose readers accept 127.
const MAX_DEPTH: usize = 100;

/// A JSON document as it was received.
pub struct Document<'a> {
    text: Cow<'a, str>,
}

impl<'a> Document<'a> {
    /// Returns a document whose bytes need not be UTF-8.
    pub fn new(bytes: &'a [u8]) -> Self {
        Document { text: String::from_utf8_lossy(bytes) }
    }

    /// Decodes the document; entries that are `RawValue` may hold anything.
    pub fn parse<'b, T: Deserialize<'b>>(&'b self) -> Result<T, serde_json::Error> {
        serde_json::from_str(&self.text)
    }

    /// Decodes an entry of this document, or a part of one; none if it can't be read or passed on.
    pub fn entry<'b, T: Deserialize<'b>>(&self, entry: &'b RawValue) -> Option<T> {
        let has_invalid_bytes =
            matches!(self.text, Cow::Owned(_)) && entry.get().contains(char::REPLACEMENT_CHARACTER);
        if has_invalid_bytes { None } else { serde_json::from_str(entry.get()).ok() }
    }

    /// Decodes an entry of this document to a value; none if it can't be read or passed on.
    pub fn value(&self, entry: &RawValue) -> Option<Value> {
        self.entry(entry).filter(|value| depth(value) <= MAX_DEPTH)
    }
}

/// Returns how many lists and maps a value has within each other.
fn depth(value: &Value) -> usize {
    match value {
        Value::Array(items) => 1 + items.iter().map(depth).max().unwrap_or(0),
        Value::Object(fields) => 1 + fields.values().map(depth).max().unwrap_or(0),
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => 0,
    }
}
