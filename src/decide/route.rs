//! Routing: selects the endpoint for a request, or lets the request wait.
//!
//! Load pattern: several entries choose among the same endpoints from outdated reports. Without
//! this module they all choose the endpoint that was idle a moment ago, prompts are computed again
//! where their prefix isn't cached, and each peak crosses the paid links.
//!
//! The candidates are the endpoints that have the target and a free slot for this entry. Of these,
//! two drawn at random and those that have the prompt's prefix cached are compared by expected
//! seconds. Drawing two keeps entries with the same outdated load from choosing alike; drawing more
//! would make them choose alike again. An endpoint beyond its pace (`decide::pace`) is a candidate only
//! if no established one in its region has a free slot.
//!
//! A request goes to another region only if its chance of being late in this region exceeds
//! `SPILL_START_CHANCE` plus the cost of the bytes on the paid link. Requests then continue to go
//! there until the chance is below `SPILL_STOP_CHANCE`, so that the choice of region doesn't
//! alternate with each finished request.
//!
//! `LOAD_SLOWDOWN`: a decode step of 32 requests takes about twice as long as a step of one
//! request. `BYTES_PER_LATE_ANSWER`: the users rate a late draft above any cost; one draft's 4 kB
//! of prompt and 50 kB of stream events count as 2.7 % of a lapsed deadline.

use std::cell::LazyCell;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::decide::event::Job;
use crate::decide::outlier::State;
use crate::decide::pool::Pool;
use crate::decide::pool::Row;
use crate::decide::prefix;
use crate::table::EndpointId;

/// Increase of a request's run time for each other request at the endpoint, as a ratio.
const LOAD_SLOWDOWN: f64 = 1.0 / 32.0;
/// Chance of being late above which requests start to go to other regions.
const SPILL_START_CHANCE: f64 = 0.1;
/// Chance of being late below which they stop.
const SPILL_STOP_CHANCE: f64 = 0.02;
/// Bytes over a paid link that cost as much as one late answer.
const BYTES_PER_LATE_ANSWER: f64 = 2_000_000.0;
/// Bytes of one token's event on a stream.
const EVENT_BYTES: f64 = 100.0;
/// Bytes of one token in a prompt.
const PROMPT_TOKEN_BYTES: f64 = 4.0;
/// Ratio of needed to available time up to which a request is never late.
const SAFE_SLACK_RATIO: f64 = 0.5;
/// One-way delay between regions, in seconds.
const LINK_DELAY_S: f64 = 0.03;

/// Requirements of a request that is to be sent.
pub struct Requirements<'a> {
    /// The request.
    pub job: &'a Job,
    /// Expected number of generated tokens.
    pub tokens: f64,
    /// Endpoints of earlier attempts.
    pub tried: &'a [EndpointId],
    /// Whether it must not run at the same endpoint as another suspect.
    pub avoids_suspects: bool,
    /// Whether it must not run at the last replica, because it may crash it.
    pub avoids_last_replica: bool,
    /// Whether it leaves part of each endpoint's slots to shorter or more urgent requests.
    pub leaves_headroom: bool,
    /// Computes the expected wait in this region, in seconds; called only if no slot is free there.
    pub wait_seconds: &'a dyn Fn() -> f64,
    /// Number of cached blocks of its prompt, and the endpoints that have them.
    pub cached: (usize, Vec<EndpointId>),
}

/// Routing decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Send it to the endpoint at this position of the pool.
    Send(usize),
    /// No slot is free.
    Wait,
    /// No remaining endpoint can serve it.
    None,
}

impl Requirements<'_> {
    /// Returns the seconds for which it will run at an endpoint.
    pub fn run_seconds(&self, row: &Row) -> f64 {
        self.run_seconds_for(row, self.tokens)
    }

    /// Returns the seconds for which it will run at an endpoint if it generates `tokens`.
    pub fn run_seconds_for(&self, row: &Row, tokens: f64) -> f64 {
        let cached_tokens = if self.cached.1.contains(&row.instance.address) {
            self.cached.0 as f64 * f64::from(prefix::BLOCK_TOKENS)
        } else {
            0.0
        };
        let prompt = (f64::from(self.job.prompt_tokens) - cached_tokens).max(0.0);
        let link_delay = if row.near { 0.0 } else { 2.0 * LINK_DELAY_S };
        row.timing.run_seconds(prompt, tokens) + link_delay
    }

    /// Returns the expected seconds at an endpoint under its present load.
    fn expected_seconds(&self, row: &Row) -> f64 {
        self.run_seconds(row) * (1.0 + LOAD_SLOWDOWN * f64::from(row.load()))
    }

    fn has_slot(&self, now: Duration, row: &Row) -> bool {
        let slots = row.slots(now);
        // A long or batch request never takes the last slots, since a short one that arrives a
        // moment later would wait for its whole run.
        let slots = if self.leaves_headroom { slots - slots / 4 } else { slots };
        row.running < slots && !(self.avoids_suspects && row.suspects > 0)
    }

    fn is_eligible(&self, row: &Row) -> bool {
        !row.leaving && !self.tried.contains(&row.instance.address)
    }
}

/// Returns the chance of being late if `needed` of `slack` seconds are used.
pub fn late_chance(needed: f64, slack: f64) -> f64 {
    if slack <= 0.0 {
        return 1.0;
    }
    ((needed / slack - SAFE_SLACK_RATIO) / (1.0 - SAFE_SLACK_RATIO)).clamp(0.0, 1.0)
}

/// Selects an endpoint for a request. Also returns whether requests for its target go to other
/// regions now.
pub fn choose(
    now: Duration,
    pool: &Pool,
    requirements: &Requirements<'_>,
    rng: &mut SmallRng,
) -> (Choice, bool) {
    let Some(group) = pool.group(&requirements.job.target) else {
        return (Choice::None, false);
    };
    if requirements.avoids_last_replica && is_last_replica(now, pool, &group.near, &group.far) {
        return (Choice::Wait, group.spilled);
    }
    let any_eligible = |positions: &[usize]| {
        positions.iter().any(|position| {
            requirements.is_eligible(pool.row(*position)) && pool.row(*position).usable(now)
        })
    };
    let (near_eligible, far_eligible) = (any_eligible(&group.near), any_eligible(&group.far));
    if !near_eligible && !far_eligible {
        return (last_resort(now, pool, requirements, &group.near, &group.far), group.spilled);
    }
    let near = pick(now, pool, requirements, &group.near, rng);
    if !near_eligible {
        let far = pick(now, pool, requirements, &group.far, rng);
        return (far.map_or(Choice::Wait, Choice::Send), group.spilled);
    }
    if !far_eligible {
        return (near.map_or(Choice::Wait, Choice::Send), group.spilled);
    }
    let slack = requirements.job.deadline.saturating_sub(now).as_secs_f64();
    let chance = match near {
        Some(position) => late_chance(requirements.run_seconds(pool.row(position)), slack),
        None => {
            let best = group
                .near
                .iter()
                .map(|position| requirements.run_seconds(pool.row(*position)))
                .fold(f64::MAX, f64::min);
            late_chance((requirements.wait_seconds)() + best, slack)
        }
    };
    let bytes = f64::from(requirements.job.prompt_tokens) * PROMPT_TOKEN_BYTES
        + requirements.tokens * EVENT_BYTES;
    let threshold = if group.spilled { SPILL_STOP_CHANCE } else { SPILL_START_CHANCE };
    let spills = chance > threshold + bytes / BYTES_PER_LATE_ANSWER;
    let far = if spills { pick(now, pool, requirements, &group.far, rng) } else { None };
    let better = far.filter(|position| {
        late_chance(requirements.run_seconds(pool.row(*position)), slack)
            + bytes / BYTES_PER_LATE_ANSWER
            < chance
    });
    (better.or(near).map_or(Choice::Wait, Choice::Send), spills)
}

/// Returns whether at most one endpoint remains that serves the target. An ejected endpoint may
/// still be down and counts again only after it has answered.
fn is_last_replica(now: Duration, pool: &Pool, near: &[usize], far: &[usize]) -> bool {
    let rows = near.iter().chain(far).map(|position| pool.row(*position));
    let healthy = |row: &&Row| !row.leaving && row.health.state(now) == State::In;
    rows.filter(healthy).take(2).count() < 2
}

/// Selects the endpoint with the least expected time among two drawn at random from those with a
/// free slot and those that have the prompt's prefix cached.
fn pick(
    now: Duration,
    pool: &Pool,
    requirements: &Requirements<'_>,
    positions: &[usize],
    rng: &mut SmallRng,
) -> Option<usize> {
    if positions.is_empty() {
        return None;
    }
    let has_slot = |position: usize| {
        let row = pool.row(position);
        requirements.is_eligible(row) && row.usable(now) && requirements.has_slot(now, row)
    };
    let has_alternative = LazyCell::new(|| {
        let is_alternative =
            |position: &usize| pool.row(*position).is_established(now) && has_slot(*position);
        positions.iter().any(is_alternative)
    });
    let available = |position: usize| {
        has_slot(position) && (pool.is_within_pace(now, position) || !*has_alternative)
    };
    let mut draw = || {
        let start = rng.random_range(0..positions.len());
        let (tail, head) = (&positions[start..], &positions[..start]);
        tail.iter().chain(head).copied().find(|position| available(*position))
    };
    let first = draw()?;
    let second = draw().unwrap_or(first);
    let holders = requirements.cached.1.iter().filter_map(|endpoint| pool.find(endpoint));
    let holders = holders.filter(|position| positions.contains(position) && available(*position));
    let cost = |position: &usize| requirements.expected_seconds(pool.row(*position));
    [first, second]
        .into_iter()
        .chain(holders)
        .min_by(|left, right| cost(left).total_cmp(&cost(right)))
}

/// Selects an endpoint when all that have the target are ejected, since using one of them is better
/// than refusing.
fn last_resort(
    now: Duration,
    pool: &Pool,
    requirements: &Requirements<'_>,
    near: &[usize],
    far: &[usize],
) -> Choice {
    let rows = near
        .iter()
        .chain(far)
        .copied()
        .filter(|position| requirements.is_eligible(pool.row(*position)));
    let mut any = false;
    for position in rows {
        any = true;
        if requirements.has_slot(now, pool.row(position)) {
            return Choice::Send(position);
        }
    }
    if any { Choice::Wait } else { Choice::None }
}
