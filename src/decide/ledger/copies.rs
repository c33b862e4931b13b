//! Decides which replica of a model must stay: one platform object per model, changed by
//! conditional update.
//!
//! Load pattern: two writes for each replica that is released. Without it, two regions that each
//! release a replica they consider redundant could together release both.
//!
//! One replica is the anchor and may not be released. A replica to be released is first recorded as
//! leaving, and only a replica that is not leaving may become the anchor. Both are stored in one
//! object, so of two concurrent writers one fails and has to read again.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use crate::table::EndpointId;
use crate::table::Release;

/// The object kind of copies; each object is named after its model.
pub const KIND: &str = "copies";

/// A replica of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Copy {
    /// The endpoint at which it is loaded.
    pub endpoint: EndpointId,
    /// The model's version.
    pub version: Release,
}

/// Why a replica may not be released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The replica is the anchor.
    Anchor,
    /// The anchor is not known to be resident.
    Unseen,
}

/// The anchor and the leaving replicas of one model.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copies {
    /// The replica that must stay; never one of `leaving`.
    pub anchor: Option<Copy>,
    /// Replicas that are being released or have been released.
    pub leaving: Vec<Copy>,
}

impl Copies {
    /// Makes `copy` the anchor unless it is leaving, and returns whether anything changed.
    pub fn set_anchor(&mut self, copy: Copy) -> bool {
        if self.anchor == Some(copy) || self.leaving.contains(&copy) {
            return false;
        }
        self.anchor = Some(copy);
        true
    }

    /// Records `copy` as leaving. `resident` are the replicas that both reports and ledgers show.
    pub fn mark_leaving(&mut self, copy: Copy, resident: &[Copy]) -> Result<(), Refusal> {
        let anchor = self.anchor.ok_or(Refusal::Unseen)?;
        if anchor == copy {
            return Err(Refusal::Anchor);
        }
        if !resident.contains(&anchor) {
            return Err(Refusal::Unseen);
        }
        if !self.leaving.contains(&copy) {
            self.leaving.push(copy);
        }
        Ok(())
    }

    /// Removes leaving replicas that are gone, and returns whether anything changed.
    pub fn remove_departed(&mut self, gone: impl Fn(&Copy) -> bool) -> bool {
        let before = self.leaving.len();
        self.leaving.retain(|copy| !gone(copy));
        self.leaving.len() != before
    }
}
