//! Estimates which part of all daemons a daemon reaches.
//!
//! Load pattern: the network is cut between daemons, all of which go on serving callers, whether or
//! not they reach the store, so each part takes the other for dead. Whoever grants something on behalf of all may
//! then grant only its part.
//!
//! Daemons send their heartbeats to a random choice of the others. Where there are more than that,
//! a daemon hears only some of those it reaches within a short time. Therefore what it has heard is
//! compared with what it would hear if it reached all.
//!
//! Bound: for daemons that are cut into parts, the ratios of all parts add up to 1 on average. The
//! error of one ratio is a few in a hundred with hundreds of daemons, and none where each hears all
//! others.

/// Chance that a daemon is taken for silent that is reached.
const MAX_FALSE_SILENCE: f64 = 0.01;

/// Returns the ratio of the daemons that a daemon reaches, itself included, given the number of
/// daemons that are known and how many of the others it has heard in the last `rounds` rounds,
/// in each of which every daemon sends heartbeats to `fanout` of the others.
pub fn ratio(known: usize, heard: usize, fanout: usize, rounds: i32) -> f64 {
    let others = known.saturating_sub(1) as f64;
    if others == 0.0 {
        return 1.0;
    }
    let missed = 1.0 - (fanout as f64 / others).min(1.0);
    let expected = others * (1.0 - missed.powi(rounds));
    let reached = others * (heard as f64 / expected).min(1.0);
    (1.0 + reached) / (1.0 + others)
}

/// Returns the number of rounds without a heartbeat after which a daemon counts as not reached.
pub fn silence_rounds(known: usize, fanout: usize) -> u32 {
    let others = known.saturating_sub(1) as f64;
    let missed = 1.0 - (fanout as f64 / others.max(1.0)).min(1.0);
    if missed == 0.0 { 1 } else { (MAX_FALSE_SILENCE.ln() / missed.ln()).ceil() as u32 }
}
