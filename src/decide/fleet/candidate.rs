//! Assesses each endpoint as a candidate for a request: what excludes it, or what it would cost.

use std::time::Duration;

use super::Fleet;
use crate::decide::endpoint::Distance;
use crate::decide::endpoint::Endpoint;
use crate::decide::endpoint::Requirements;

/// Why an endpoint of the service is no candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Obstacle {
    /// It is leaving, gone or can't be reached.
    Unusable,
    /// Another region is required.
    OtherRegion,
    /// Another version of the software is required.
    OtherSoftware,
    /// The request's daemon does not call it.
    Excluded,
    /// It has not loaded the model.
    ModelAbsent,
    /// The request has failed there.
    Tried,
    /// It has no slot.
    Full,
    /// It has no memory for the tokens.
    NoMemory,
    /// It has reached the limit that it states, for this long.
    Limited(Duration),
    /// It wants no calls for this long.
    Backoff(Duration),
}

impl Obstacle {
    /// Returns whether the endpoint could serve requests for other models.
    pub(super) fn is_usable(self) -> bool {
        match self {
            Obstacle::Unusable
            | Obstacle::OtherRegion
            | Obstacle::OtherSoftware
            | Obstacle::Excluded => false,
            Obstacle::ModelAbsent => true,
            _ => self.is_resident(),
        }
    }

    /// Returns whether the endpoint has loaded the model.
    pub(super) fn is_resident(self) -> bool {
        matches!(
            self,
            Obstacle::Tried
                | Obstacle::Full
                | Obstacle::NoMemory
                | Obstacle::Limited(_)
                | Obstacle::Backoff(_)
        )
    }
}

/// An endpoint that could take a request now.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub row: &'a Endpoint,
    /// What the request would cost there, in milliseconds of delay.
    pub cost: f64,
    /// Whether the adapter is loaded.
    pub is_ready: bool,
    /// For how long the prefill of other prompts has to go on first.
    pub delay: Duration,
    /// Whether the endpoint's pace allows another request.
    pub is_within_pace: bool,
}

impl Candidate<'_> {
    /// Returns whether the request could begin at once, at an endpoint whose pace is not bounded.
    pub(super) fn is_alternative(&self, now: Duration) -> bool {
        self.is_within_pace
            && self.is_ready
            && self.delay.is_zero()
            && self.row.distance != Distance::OtherRegion
            && self.row.is_established(now)
    }
}

impl Fleet {
    /// Assesses all endpoints of the service of a request.
    pub fn assess_all<'a>(
        &'a self,
        now: Duration,
        requirements: &Requirements<'_>,
        is_engine: bool,
    ) -> impl Iterator<Item = (&'a Endpoint, Result<Candidate<'a>, Obstacle>)> {
        let rows = self.rows.values().filter(|row| row.instance.service == requirements.service);
        rows.map(move |row| (row, self.assess(now, requirements, is_engine, row)))
    }

    /// Assesses an endpoint of the service of a request.
    pub(super) fn assess<'a>(
        &self,
        now: Duration,
        requirements: &Requirements<'_>,
        is_engine: bool,
        row: &'a Endpoint,
    ) -> Result<Candidate<'a>, Obstacle> {
        if !row.is_usable(now) {
            return Err(Obstacle::Unusable);
        }
        if requirements
            .required_region
            .is_some_and(|required| self.regions.get(&row.instance.data_center) != Some(required))
        {
            return Err(Obstacle::OtherRegion);
        }
        if requirements.software.is_some_and(|required| {
            self.software(&row.instance.key).is_none_or(|software| software != required)
        }) {
            return Err(Obstacle::OtherSoftware);
        }
        let backoff = requirements.remaining_backoff(now, row).ok_or(Obstacle::Excluded)?;
        let is_ready = match requirements.model {
            None => true,
            Some(model) if row.is_resident(now, model, requirements.adapter) => true,
            Some(model) if row.is_resident(now, model, None) => false,
            Some(_) => return Err(Obstacle::ModelAbsent),
        };
        if requirements.tried.contains(&row.instance.key) {
            return Err(Obstacle::Tried);
        }
        if !row.has_room(now, is_engine, self.sharing, &self.growth) {
            return Err(Obstacle::Full);
        }
        let tokens = requirements.tokens();
        if is_engine && !self.memory.has_room(now, &row.memory_situation(now), tokens) {
            return Err(Obstacle::NoMemory);
        }
        let limit_pause = row.remaining_pause(now);
        if !limit_pause.is_zero() || !backoff.is_zero() {
            return Err(match backoff >= limit_pause {
                true => Obstacle::Backoff(backoff),
                false => Obstacle::Limited(limit_pause),
            });
        }
        let load_cost = if is_ready { 0.0 } else { row.adapter_load_cost(now, requirements) };
        let max_pause = requirements.max_pause.filter(|_| is_engine);
        let estimate = row.estimate(now, requirements, &self.speeds);
        let delay = max_pause
            .map_or(Duration::ZERO, |max_pause| row.prefill_delay(now, max_pause, &estimate));
        // The daemon of the request has a path of its own.
        let path_cost = if requirements.excluded.is_none() { row.path_cost() } else { 0.0 };
        let cost = row.cost(now, is_engine, max_pause, &estimate, &self.growth)
            + row.delay_cost(delay)
            + load_cost
            + path_cost;
        let is_within_pace = row.is_within_pace(now, is_engine, self.sharing, self.seat);
        Ok(Candidate { row, cost, is_ready, delay, is_within_pace })
    }
}
