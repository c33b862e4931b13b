//! Memory of an engine's accelerators: what orders did to it, and the most it ever held.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use poplarmux::edge::endpoint::Accelerator;
use poplarmux::edge::endpoint::Action;
use poplarmux::edge::endpoint::Order;
use poplarmux::edge::endpoint::Report;
use poplarmux::edge::endpoint::Resident;
use poplarmux::edge::endpoint::Stage;
use poplarmux::table::Bytes;
use poplarmux::table::Fence;
use poplarmux::table::Incarnation;
use poplarmux::table::OrderId;

/// How many applied orders a report names.
const APPLIED_MAX: usize = 64;

/// What an order did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Applied; work is left that takes time.
    Started(Resident),
    /// Applied, or applied before: nothing is left to do.
    Done,
    /// Refused: its fencing number is old.
    Fenced,
    /// Refused: memory would pass the capacity. Recorded as an overcommit.
    Full,
    /// Refused: it names what is not there.
    Absent,
}

/// All accelerators of an engine.
#[derive(Debug, Clone)]
pub struct Memory {
    /// Capacity and use.
    pub accelerators: Vec<Accelerator>,
    /// What takes memory.
    pub resident: Vec<Resident>,
    /// The latest orders applied, oldest first.
    pub applied: VecDeque<OrderId>,
    seen: BTreeSet<OrderId>,
    fence: Fence,
    /// The most memory ever asked of each accelerator, refused orders included; outlives restarts.
    pub peak: Vec<Bytes>,
    /// The most that was ever asked beyond a capacity; outlives restarts.
    pub overcommit: Bytes,
}

impl Memory {
    /// Empty accelerators.
    pub fn new(accelerators: u32, capacity: Bytes) -> Self {
        let count = accelerators as usize;
        Memory {
            accelerators: vec![Accelerator { capacity, used: 0 }; count],
            resident: Vec::new(),
            applied: VecDeque::new(),
            seen: BTreeSet::new(),
            fence: 0,
            peak: vec![0; count],
            overcommit: 0,
        }
    }

    /// What an idle engine with this memory reports.
    pub fn report(&self, incarnation: Incarnation, sequence: u64) -> Report {
        Report {
            incarnation,
            sequence,
            accelerators: self.accelerators.clone(),
            resident: self.resident.clone(),
            applied: self.applied.iter().copied().collect(),
            running: 0,
            waiting: 0,
            draining: false,
        }
    }

    /// Forgets all but the records, as a restart does.
    pub fn clear(&mut self) {
        for accelerator in &mut self.accelerators {
            accelerator.used = 0;
        }
        self.resident.clear();
        self.applied.clear();
        self.seen.clear();
        self.fence = 0;
    }

    /// Applies an order unless it was applied before; `check` refuses old fencing numbers.
    pub fn order(&mut self, order: &Order, check: bool) -> Verdict {
        if check && order.fence < self.fence {
            return Verdict::Fenced;
        }
        self.fence = self.fence.max(order.fence);
        if self.seen.contains(&order.order) {
            return Verdict::Done;
        }
        let verdict = match order.action {
            Action::Load | Action::LoadAdapter => self.load(order),
            Action::Unload | Action::UnloadAdapter => self.unload(order),
            Action::SetRole => Verdict::Done,
        };
        if matches!(verdict, Verdict::Started(_) | Verdict::Done) {
            self.seen.insert(order.order);
            self.applied.push_back(order.order);
            if self.applied.len() > APPLIED_MAX {
                self.applied.pop_front();
            }
        }
        verdict
    }

    /// Takes memory for a resident; false when it does not fit.
    pub fn hold(&mut self, resident: Resident) -> bool {
        let at = resident.accelerator as usize;
        let Some(accelerator) = self.accelerators.get_mut(at) else {
            return false;
        };
        let wanted = accelerator.used + resident.memory;
        self.peak[at] = self.peak[at].max(wanted);
        if wanted > accelerator.capacity {
            self.overcommit = self.overcommit.max(wanted - accelerator.capacity);
            return false;
        }
        accelerator.used = wanted;
        self.resident.push(resident);
        true
    }

    /// Ends a load or an unload that was started.
    pub fn settle(&mut self, started: &Resident) {
        let Some(at) = self.resident.iter().position(|held| same(held, started)) else {
            return;
        };
        match started.stage {
            Stage::Loading if self.resident[at].stage == Stage::Loading => {
                self.resident[at].stage = Stage::Resident;
            }
            Stage::Loading | Stage::Resident => {}
            Stage::Unloading => {
                let gone = self.resident.remove(at);
                self.accelerators[gone.accelerator as usize].used -= gone.memory;
                if gone.adapter.is_none() {
                    self.drop_adapters(&gone);
                }
            }
        }
    }

    /// Whether requests for a model, and its adapter if one is named, can be served.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        let has = |adapter: Option<&str>| {
            self.resident.iter().any(|held| {
                held.stage == Stage::Resident
                    && held.model == model
                    && held.adapter.as_deref() == adapter
            })
        };
        has(None) && (adapter.is_none() || has(adapter))
    }

    fn load(&mut self, order: &Order) -> Verdict {
        let resident = Resident {
            model: order.model.clone(),
            version: order.version,
            adapter: order.adapter.clone(),
            accelerator: order.accelerator,
            memory: order.memory,
            stage: Stage::Loading,
        };
        let base = |held: &Resident| held.model == order.model && held.adapter.is_none();
        if order.action == Action::LoadAdapter && !self.resident.iter().any(base) {
            return Verdict::Absent;
        }
        let held = self.resident.iter().find(|held| same(held, &resident));
        match held.map(|held| held.stage) {
            Some(Stage::Loading | Stage::Resident) => Verdict::Done,
            Some(Stage::Unloading) | None => match self.hold(resident.clone()) {
                true => Verdict::Started(resident),
                false => Verdict::Full,
            },
        }
    }

    fn unload(&mut self, order: &Order) -> Verdict {
        let named = |held: &&mut Resident| {
            held.model == order.model
                && held.adapter == order.adapter
                && held.version == order.version
                && held.accelerator == order.accelerator
        };
        match self.resident.iter_mut().find(named) {
            None => Verdict::Absent,
            Some(held) => {
                held.stage = Stage::Unloading;
                Verdict::Started(held.clone())
            }
        }
    }

    /// A model's adapters go with its last copy on the accelerator.
    fn drop_adapters(&mut self, model: &Resident) {
        let beside =
            |held: &Resident| held.model == model.model && held.accelerator == model.accelerator;
        if self.resident.iter().any(|held| beside(held) && held.adapter.is_none()) {
            return;
        }
        let (gone, kept) = self.resident.drain(..).partition(|held| beside(held));
        self.resident = kept;
        let gone: Vec<Resident> = gone;
        for adapter in gone {
            self.accelerators[adapter.accelerator as usize].used -= adapter.memory;
        }
    }
}

fn same(held: &Resident, other: &Resident) -> bool {
    held.model == other.model
        && held.adapter == other.adapter
        && held.version == other.version
        && held.accelerator == other.accelerator
}
