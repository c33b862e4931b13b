//! The decisions: pure functions and tables. Time and randomness are handed in; nothing here
//! reads a clock, opens a socket or logs.

pub mod admit;
pub mod adopt;
pub mod allowance;
mod answer;
pub mod breaker;
pub mod claim;
pub mod demand;
pub mod desk;
pub mod drain;
pub mod event;
pub mod fleet;
pub mod flow;
mod hold;
pub mod lease;
pub mod ledger;
pub mod line;
pub mod load;
pub mod member;
pub mod offer;
pub mod outlier;
pub mod owner;
pub mod patience;
pub mod place;
pub mod pool;
pub mod prefill;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod retry;
pub mod route;
pub mod share;
mod show;
pub mod spread;
pub mod stop;
pub mod store;
pub mod trend;
