//! Teams: who may call, how urgently, and how much.

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
    /// A key from its text.
    pub fn new(text: String) -> Self {
        Key(text)
    }

    fn hash(&self) -> Hash {
        Sha256::digest(self.0.as_bytes()).into()
    }

    /// The first bytes of its hash, by which operators tell keys apart in the log.
    pub fn mark(&self) -> String {
        self.hash().iter().take(4).map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({})", self.mark())
    }
}

type Hash = [u8; 32];

/// What a quota is counted in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of prompt and output together.
    Tokens {
        /// What a request counts as that does not say how many it takes.
        plain: u32,
    },
}

impl Unit {
    /// What a request counts as that names so many tokens.
    pub fn cost(self, tokens: Option<u32>) -> u32 {
        match self {
            Unit::Requests => 1,
            Unit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// How much a team may ask for, over all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units a second; above 0.
    pub rate: f64,
    /// Units at once after a pause; at least 0.
    pub burst: f64,
    /// What it is counted in.
    pub unit: Unit,
}

/// A team.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: TeamId,
    /// 0 is the most urgent; goes before the route's.
    pub priority: Option<u8>,
    /// None where it may ask for any amount.
    pub quota: Option<Quota>,
}

/// Two teams have the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Doubled {
    /// The one before.
    pub first: TeamId,
    /// The other one.
    pub second: TeamId,
}

/// All teams by their keys. Keys are found by their hashes, so that the time of a lookup says nothing of
/// any key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Teams {
    keys: HashMap<Hash, Rc<Team>>,
    names: HashMap<TeamId, Rc<Team>>,
}

impl Teams {
    /// The teams with their keys.
    pub fn new(rows: impl IntoIterator<Item = (Team, Vec<Key>)>) -> Result<Self, Doubled> {
        let mut keys: HashMap<Hash, Rc<Team>> = HashMap::new();
        let mut names = HashMap::new();
        for (team, own) in rows {
            let team = Rc::new(team);
            names.insert(team.name.clone(), team.clone());
            for key in own {
                let before = keys.insert(key.hash(), team.clone());
                if let Some(before) = before.filter(|before| before.name != team.name) {
                    return Err(Doubled { first: before.name.clone(), second: team.name.clone() });
                }
            }
        }
        Ok(Teams { keys, names })
    }

    /// The team that a key belongs to.
    pub fn find(&self, key: &Key) -> Option<&Rc<Team>> {
        self.keys.get(&key.hash())
    }

    /// A team by its name.
    pub fn get(&self, name: &str) -> Option<&Rc<Team>> {
        self.names.get(name)
    }

    /// How many keys there are.
    pub fn keys(&self) -> usize {
        self.keys.len()
    }
}
