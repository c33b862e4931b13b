//! Pages: immutable objects that hold a shard's older rows.

use std::collections::BTreeMap;
use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::decide::claim::Row;
use crate::decide::claim::row_issued_at;

/// Identifier of a page; never reused, so that a page is written once and never changes.
pub type PageId = String;

/// Rows that were moved out of the head.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Rows by name.
    pub rows: BTreeMap<String, Row>,
}

/// Reference to a page in a shard's head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reference {
    /// Identifier of the page.
    pub id: PageId,
    /// Size of the page, as JSON.
    pub bytes: usize,
    /// Time of the oldest key that carries one, in milliseconds since the epoch; above `last` if
    /// there is none.
    pub first: u64,
    /// Time of the newest key that carries one, in milliseconds since the epoch.
    pub last: u64,
    /// Whether the page holds keys without a time, which are kept permanently.
    pub opaque: bool,
}

impl Reference {
    /// Returns whether the page may hold a key that was made at this time.
    pub fn may_contain(&self, issued_at: Option<u64>) -> bool {
        match issued_at {
            Some(time) => self.first <= time && time <= self.last,
            None => self.opaque,
        }
    }

    /// Returns whether the floor refuses every key in the page.
    pub fn is_expired(&self, floor: u64) -> bool {
        !self.opaque && self.last <= floor
    }
}

impl Page {
    /// Returns a reference to this page for a head.
    pub fn reference(&self, id: PageId) -> Reference {
        let bytes = serde_json::to_string(self).map_or(0, |text| text.len());
        let times = || self.rows.keys().filter_map(|row_name| row_issued_at(row_name));
        let first = times().min().unwrap_or(u64::MAX);
        let last = times().max().unwrap_or(0);
        let opaque = self.rows.keys().any(|row_name| row_issued_at(row_name).is_none());
        Reference { id, bytes, first, last, opaque }
    }
}

/// Per-process cache of pages: an index of the keys in each page, and rows that were looked up.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    /// Hashes of the keys in each page, 8 bytes a row.
    indexes: BTreeMap<PageId, HashSet<u64>>,
    /// Results of lookups, including keys that are not in the page.
    rows: BTreeMap<(PageId, String), Option<Row>>,
}

/// Result of looking a key up in a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// The page holds this row.
    Found(Row),
    /// The page does not hold the key.
    Absent,
    /// The cache cannot tell; the page must be read.
    Unread,
}

impl Cache {
    /// Looks a row up in a page by its name.
    pub fn lookup(&self, id: &PageId, row_name: &str) -> Lookup {
        let Some(index) = self.indexes.get(id) else {
            return Lookup::Unread;
        };
        if !index.contains(&xxh3_64(row_name.as_bytes())) {
            return Lookup::Absent;
        }
        match self.rows.get(&(id.clone(), row_name.to_string())) {
            Some(Some(row)) => Lookup::Found(row.clone()),
            Some(None) => Lookup::Absent,
            None => Lookup::Unread,
        }
    }

    /// Adds a page that was read; of its rows only those with a name in `names` are kept.
    pub fn insert<'a, I>(&mut self, id: &PageId, page: &Page, names: I)
    where
        I: IntoIterator<Item = &'a str>,
    {
        let hashes = page.rows.keys().map(|row_name| xxh3_64(row_name.as_bytes())).collect();
        self.indexes.insert(id.clone(), hashes);
        for row_name in names {
            let row = page.rows.get(row_name).cloned();
            self.rows.insert((id.clone(), row_name.to_string()), row);
        }
    }

    /// Removes all rows, and the indexes of pages that are no longer referenced.
    pub fn trim(&mut self, references: &[Reference]) {
        self.rows.clear();
        self.indexes.retain(|id, _| references.iter().any(|reference| reference.id == *id));
    }
}
