//! Teams: their keys, priorities and quotas.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use sha2::Digest;
use sha2::Sha256;

use crate::table::TeamId;

/// A caller's key. Its text is never shown.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(String);

impl Key {
    /// Creates a key from its text.
    pub fn new(text: String) -> Self {
        Key(text)
    }

    fn hash(&self) -> Hash {
        Sha256::digest(self.0.as_bytes()).into()
    }

    /// Returns the first bytes of its hash, which identify the key in the log.
    pub fn fingerprint(&self) -> String {
        self.hash().iter().take(4).map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({})", self.fingerprint())
    }
}

type Hash = [u8; 32];

/// The unit in which a quota is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of prompt and output together.
    Tokens {
        /// Tokens charged for a request that does not state its number of tokens.
        default_cost: u32,
    },
}

impl Unit {
    /// Returns the units that a request with this stated number of tokens costs.
    pub fn cost(self, tokens: Option<u32>) -> u32 {
        match self {
            Unit::Requests => 1,
            Unit::Tokens { default_cost: plain } => tokens.unwrap_or(plain),
        }
    }
}

/// The request limit of a team over all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units per second; above 0.
    pub rate: f64,
    /// Units available at once after a pause; at least 0.
    pub burst: f64,
    /// The unit in which both are counted.
    pub unit: Unit,
}

impl Quota {
    /// Returns a part of the quota; `ratio` is at least 0 and at most 1.
    pub fn scaled(&self, ratio: f64) -> Self {
        Quota { rate: self.rate * ratio, burst: self.burst * ratio, unit: self.unit }
    }
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: TeamId,
    /// Priority of its requests, instead of the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Its quota; none if it is unlimited.
    pub quota: Option<Quota>,
}

/// Error: two teams have the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Duplicate {
    /// The team listed first.
    pub first: TeamId,
    /// The team listed second.
    pub second: TeamId,
}

/// All teams by their keys and names. Keys are looked up by hash, so that the duration of a lookup
/// reveals nothing about any key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Teams {
    keys: HashMap<Hash, Rc<Team>>,
    names: HashMap<TeamId, Rc<Team>>,
}

impl Teams {
    /// Creates the table from the teams and their keys.
    pub fn new(rows: impl IntoIterator<Item = (Team, Vec<Key>)>) -> Result<Self, Duplicate> {
        let mut keys: HashMap<Hash, Rc<Team>> = HashMap::new();
        let mut names = HashMap::new();
        for (team, team_keys) in rows {
            let team = Rc::new(team);
            names.insert(team.name.clone(), team.clone());
            for key in team_keys {
                let previous = keys.insert(key.hash(), team.clone());
                if let Some(previous) = previous.filter(|previous| previous.name != team.name) {
                    return Err(Duplicate {
                        first: previous.name.clone(),
                        second: team.name.clone(),
                    });
                }
            }
        }
        Ok(Teams { keys, names })
    }

    /// Returns the team that a key belongs to.
    pub fn find(&self, key: &Key) -> Option<&Rc<Team>> {
        self.keys.get(&key.hash())
    }

    /// Returns a team by its name.
    pub fn get(&self, name: &str) -> Option<&Rc<Team>> {
        self.names.get(name)
    }

    /// Returns the number of keys.
    pub fn keys(&self) -> usize {
        self.keys.len()
    }
}
