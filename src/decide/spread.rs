//! Which engine holds which model, from demand alone.
//!
//! Load pattern: a few models get most requests and which ones changes within seconds, while every
//! model must stay reachable and the store allows few loads. Following each reading would spend
//! the store on swings; holding still would leave hot models on one engine.
//!
//! Every model gets one copy. What room is left goes copy by copy to the model with the most
//! demand for each copy. A copy that is missing goes where room is; else a copy goes that is not
//! the last of its model and whose model has clearly less demand for each copy that stays. An
//! engine does one step at a time.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::table::ModelId;
use crate::table::RegionId;
use crate::table::instance::Key;

/// A model may take the place of another when its demand for each copy is so many times the
/// other's: below that the next swing would undo the move.
const GAIN: f64 = 1.6;
/// Requests a second for each copy below which one copy more serves nobody better: an engine
/// serves several times as many.
const ENOUGH: f64 = 3.0;
/// Part of the room that is planned with: models do not fill engines to the brim.
const FILL: f64 = 0.97;

/// A model and how much it is asked for.
#[derive(Debug, Clone, PartialEq)]
pub struct Need {
    /// The model.
    pub model: ModelId,
    /// Its size, in MB.
    pub weights: f64,
    /// Requests a second.
    pub demand: f64,
}

/// An engine as the plan sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Which one.
    pub key: Key,
    /// Its region.
    pub region: RegionId,
    /// Room for weights, in MB, adapters left out.
    pub room: f64,
    /// What it holds, and what is on its way there; an order without an answer counts.
    pub resident: Vec<ModelId>,
    /// Of these, what is being dropped: it takes room but serves nobody.
    pub outgoing: Vec<ModelId>,
    /// Whether it carries out an order.
    pub busy: bool,
    /// Models that load from its memory or its disk.
    pub at_hand: Vec<ModelId>,
}

/// One step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Move {
    /// Bring a model.
    Load(Key, ModelId),
    /// Drop a model to make room.
    Unload(Key, ModelId),
}

/// The copies that each model should have.
pub fn targets(needs: &[Need], hosts: &[Host]) -> BTreeMap<ModelId, usize> {
    let room: f64 = hosts.iter().map(|host| host.room).sum::<f64>() * FILL;
    let mut used: f64 = needs.iter().map(|need| need.weights).sum();
    let mut out: BTreeMap<ModelId, usize> =
        needs.iter().map(|need| (need.model.clone(), 1)).collect();
    loop {
        let open = needs.iter().filter(|need| {
            let copies = out[&need.model];
            copies < hosts.len()
                && need.demand / copies as f64 > ENOUGH
                && used + need.weights <= room
        });
        let share = |need: &&Need| need.demand / out[&need.model] as f64;
        let Some(next) = open.max_by(|a, b| share(a).total_cmp(&share(b))) else {
            return out;
        };
        used += next.weights;
        *out.get_mut(&next.model).expect("every model has a target") += 1;
    }
}

struct Draft<'a> {
    needs: HashMap<&'a str, &'a Need>,
    hosts: Vec<Host>,
    targets: BTreeMap<ModelId, usize>,
    copies: HashMap<ModelId, usize>,
}

/// The steps that are due; at most one for each engine that is not busy. `cold` loads from the
/// weight store may begin.
pub fn plan(needs: &[Need], hosts: &[Host], mut cold: u32) -> Vec<Move> {
    let mut draft = Draft {
        needs: needs.iter().map(|need| (need.model.as_str(), need)).collect(),
        hosts: hosts.to_vec(),
        targets: targets(needs, hosts),
        copies: HashMap::new(),
    };
    for host in hosts {
        for model in host.resident.iter().filter(|model| !host.outgoing.contains(model)) {
            *draft.copies.entry(model.clone()).or_default() += 1;
        }
    }
    let mut short: Vec<&Need> =
        needs.iter().filter(|need| draft.count(&need.model) < draft.targets[&need.model]).collect();
    short.sort_by(|a, b| {
        let urgent = |need: &Need| (draft.count(&need.model) == 0, draft.share(need));
        let (a, b) = (urgent(a), urgent(b));
        b.0.cmp(&a.0).then(b.1.total_cmp(&a.1))
    });
    let mut moves = Vec::new();
    for need in short {
        for _ in draft.count(&need.model)..draft.targets[&need.model] {
            match draft.step(need, cold) {
                Some((step, taken)) => {
                    cold -= taken;
                    moves.push(step);
                }
                None => break,
            }
        }
    }
    moves
}

impl Draft<'_> {
    fn count(&self, model: &str) -> usize {
        self.copies.get(model).copied().unwrap_or(0)
    }

    /// Demand for each copy that is there.
    fn share(&self, need: &Need) -> f64 {
        need.demand / self.count(&need.model).max(1) as f64
    }

    fn free(&self, host: &Host) -> f64 {
        let weights = |model: &ModelId| self.needs.get(model.as_str()).map_or(0.0, |need| need.weights);
        host.room - host.resident.iter().map(weights).sum::<f64>()
    }

    /// One step towards one copy more, and the loads from the store that it takes.
    fn step(&mut self, need: &Need, cold: u32) -> Option<(Move, u32)> {
        let copies = self.count(&need.model);
        let fits = |host: &&Host| {
            !host.busy
                && !host.resident.contains(&need.model)
                && (cold > 0 || host.at_hand.contains(&need.model))
        };
        let order = |host: &Host| self.order(host, need);
        let open = self.hosts.iter().filter(fits).filter(|host| self.free(host) >= need.weights);
        if let Some(host) = open.min_by(|a, b| order(a).total_cmp(&order(b))) {
            let (key, warm) = (host.key.clone(), host.at_hand.contains(&need.model));
            self.change(&key, |host| host.resident.push(need.model.clone()));
            *self.copies.entry(need.model.clone()).or_default() += 1;
            return Some((Move::Load(key, need.model.clone()), u32::from(!warm)));
        }
        let (host, victim) = self
            .hosts
            .iter()
            .filter(fits)
            .filter_map(|host| Some((host, self.victim(host, need, copies == 0)?)))
            .min_by(|(a, _), (b, _)| order(a).total_cmp(&order(b)))?;
        let (key, victim) = (host.key.clone(), victim.clone());
        self.change(&key, |host| host.outgoing.push(victim.clone()));
        if let Some(count) = self.copies.get_mut(&victim) {
            *count -= 1;
        }
        // The copy itself follows when the room is there.
        *self.copies.entry(need.model.clone()).or_default() += 1;
        Some((Move::Unload(key, victim), 0))
    }

    fn change(&mut self, key: &Key, what: impl FnOnce(&mut Host)) {
        if let Some(host) = self.hosts.iter_mut().find(|host| host.key == *key) {
            what(host);
            host.busy = true;
        }
    }

    /// What speaks against an engine: copies in its region, what it serves already, a slow load.
    fn order(&self, host: &Host, need: &Need) -> f64 {
        let same = self.hosts.iter().filter(|other| other.region == host.region);
        let copies = same.filter(|other| other.resident.contains(&need.model)).count();
        let demand = |model: &ModelId| self.needs.get(model.as_str()).map_or(0.0, |need| self.share(need));
        let serves: f64 = host.resident.iter().map(demand).sum();
        let slow = if host.at_hand.contains(&need.model) { 0.0 } else { 12.0 };
        copies as f64 * 10.0 + serves + slow
    }

    /// The model whose place a copy may take at an engine: the one with the least demand.
    fn victim<'b>(&self, host: &'b Host, need: &Need, last: bool) -> Option<&'b ModelId> {
        let left = |model: &ModelId| {
            let copies = self.count(model).saturating_sub(1).max(1);
            self.needs.get(model.as_str()).map_or(0.0, |need| need.demand) / copies as f64
        };
        let own = self.share(need);
        let may = |model: &&ModelId| {
            !host.outgoing.contains(model)
                && (self.count(model) >= 2 || !self.needs.contains_key(model.as_str()))
                && (last || own > left(model) * GAIN)
        };
        let room = |model: &&ModelId| {
            let weights = self.needs.get(model.as_str()).map_or(0.0, |need| need.weights);
            self.free(host) + weights >= need.weights
        };
        let models = host.resident.iter().filter(may).filter(room);
        models.min_by(|a, b| left(a).total_cmp(&left(b)))
    }
}
