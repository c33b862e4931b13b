//! Counters and histograms, in the text format of Prometheus.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

use strum::IntoEnumIterator;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::contact;
use crate::decide::body::End;
use crate::decide::body::Framing;
use crate::decide::connection::Port;
use crate::edge::dialect::Kind;
use crate::table::TeamId;
use crate::table::routing;

/// Upper bounds of the latency buckets, in milliseconds.
const BUCKETS: [u64; 12] = [5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800];

#[derive(Debug, Default, Clone)]
struct Histogram {
    counts: [u64; BUCKETS.len()],
    total: u64,
    sum_ms: u64,
}

/// Outcome of a request's admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Admission {
    /// Admitted; it is served if there is capacity.
    Taken,
    /// Its key is missing, unknown or withdrawn.
    UnknownKey,
    /// Its team's quota is used up.
    OverQuota,
}

/// Outcome of a request that was passed on for another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Forwarding {
    /// The endpoint began to answer.
    Answered,
    /// No part of it reached the endpoint.
    Undelivered,
    /// It may have run, and there is no answer.
    Indeterminate,
}

/// Bound on rows by team and outcome; requests that would need another row are counted together.
const MAX_TEAM_ROWS: usize = 128;

/// Bound on rows by team and how their requests ended: fifty teams with ten refusal codes each.
const MAX_ENDED_ROWS: usize = 512;

/// Counters kept in addition to the log's event counts.
#[derive(Debug, Default)]
pub struct Gauges {
    first_bytes: RefCell<HashMap<routing::Kind, Histogram>>,
    /// Requests by team; the empty name holds those of teams without a row of their own.
    requests: RefCell<HashMap<(TeamId, Admission), u64>>,
    /// Requests by team and how they ended: `on_time`, `late`, `failed`, or the code of a refusal.
    ended: RefCell<HashMap<(TeamId, &'static str), u64>>,
    /// Bodies of endpoints' answers by how they were delimited and how they ended.
    bodies: RefCell<HashMap<(Framing, End), u64>>,
    /// Responses that did not name the request they came for, by whether they named another one and
    /// whether they stated that it was not run.
    foreign: RefCell<HashMap<(bool, bool), u64>>,
    /// Requests that were passed on for other daemons.
    forwarded: RefCell<HashMap<Forwarding, u64>>,
    opened_connections: Cell<u64>,
    total_lateness: Cell<Duration>,
    max_lateness: Cell<Duration>,
}

impl Gauges {
    /// Records the time to the first byte of an answer.
    pub fn record_first_byte(&self, kind: routing::Kind, took: Duration) {
        let mut first_bytes = self.first_bytes.borrow_mut();
        let row = first_bytes.entry(kind).or_default();
        let ms = took.as_millis() as u64;
        row.total += 1;
        row.sum_ms += ms;
        for (bound, count) in BUCKETS.iter().zip(&mut row.counts) {
            *count += u64::from(ms <= *bound);
        }
    }

    /// Counts a request of a team.
    pub fn record_request(&self, team: Option<&str>, admission: Admission) {
        let mut requests = self.requests.borrow_mut();
        let team_name = team.unwrap_or_default();
        let row = (team_name.to_string(), admission);
        let has_row = requests.contains_key(&row) || requests.len() < MAX_TEAM_ROWS;
        let row = if has_row { row } else { (TeamId::new(), admission) };
        *requests.entry(row).or_default() += 1;
    }

    /// Counts how a request of a team has ended. Without a team nothing is counted.
    pub fn record_end(&self, team: Option<&str>, end: &'static str) {
        let Some(team) = team else {
            return;
        };
        let mut ended = self.ended.borrow_mut();
        let row = (team.to_string(), end);
        let has_row = ended.contains_key(&row) || ended.len() < MAX_ENDED_ROWS;
        let row = if has_row { row } else { (TeamId::new(), end) };
        *ended.entry(row).or_default() += 1;
    }

    /// Counts the body of an endpoint's answer.
    pub fn record_body(&self, framing: Framing, end: End) {
        *self.bodies.borrow_mut().entry((framing, end)).or_default() += 1;
    }

    /// Counts a response that does not name the request that it came for. `is_named` says whether it
    /// names another one, `not_run` whether it states that the request was not run.
    pub fn record_foreign(&self, is_named: bool, not_run: bool) {
        *self.foreign.borrow_mut().entry((is_named, not_run)).or_default() += 1;
    }

    /// Counts a request that was passed on for another daemon.
    pub fn record_forwarding(&self, outcome: Forwarding) {
        *self.forwarded.borrow_mut().entry(outcome).or_default() += 1;
    }

    /// Counts a connection opened to an endpoint.
    pub fn record_connection(&self) {
        self.opened_connections.set(self.opened_connections.get() + 1);
    }

    /// Records the delay of a tick of the event loop.
    pub fn record_lateness(&self, late: Duration) {
        self.total_lateness.set(self.total_lateness.get() + late);
        self.max_lateness.set(self.max_lateness.get().max(late));
    }

    /// Returns all metrics as text.
    pub fn text(&self, daemon: &Daemon) -> String {
        let mut out = String::new();
        // Writing to a String cannot fail.
        let _ = self.render(daemon, &mut out);
        out
    }

    fn render(&self, daemon: &Daemon, out: &mut String) -> std::fmt::Result {
        let now = clock::now();
        writeln!(out, "# TYPE poplarmux_events_total counter")?;
        for (kind, count) in daemon.journal.borrow().counts() {
            writeln!(out, "poplarmux_events_total{{event=\"{kind}\"}} {count}")?;
        }
        let version = daemon.config_version();
        let fleet = daemon.fleet.borrow();
        let (grants, waiting) = daemon.broker.borrow().counts();
        let (suspects, refused) = daemon.quarantine.borrow().counts(now);
        let max_crashes = daemon.quarantine.borrow().max_crash_count(now);
        let (suspect_parts, refused_parts) = daemon.quarantine.borrow().part_counts(now);
        let (unreached, known) = fleet.unreached_count();
        let (held, max_held) = daemon.read_ahead.held();
        let (replaced, rejected) = daemon.connections.closed();
        let values = [
            ("poplarmux_endpoints", known as u64),
            ("poplarmux_endpoints_unreached", unreached as u64),
            ("poplarmux_endpoints_stalled", fleet.stalled_count() as u64),
            ("poplarmux_isolated", u64::from(contact::is_isolated(daemon))),
            ("poplarmux_open_requests", daemon.open_requests.get() as u64),
            ("poplarmux_waiting_requests", daemon.queue.borrow().len() as u64),
            ("poplarmux_config_version", version),
            ("poplarmux_store_up", u64::from(daemon.store.is_up())),
            ("poplarmux_endpoint_connections_total", self.opened_connections.get()),
            ("poplarmux_idle_connections", daemon.pool.borrow().len() as u64),
            ("poplarmux_unsolicited_answers_total", daemon.pool.borrow().unsolicited()),
            ("poplarmux_nodes", daemon.nodes.borrow().live_count(now) as u64),
            ("poplarmux_loop_late_ms_total", self.total_lateness.get().as_millis() as u64),
            ("poplarmux_loop_late_ms_max", self.max_lateness.get().as_millis() as u64),
            ("poplarmux_broker_grants", grants as u64),
            ("poplarmux_broker_waiting", waiting as u64),
            ("poplarmux_suspects", suspects as u64),
            ("poplarmux_quarantined", refused as u64),
            ("poplarmux_suspect_parts", suspect_parts as u64),
            ("poplarmux_refused_parts", refused_parts as u64),
            ("poplarmux_suspect_crashes_max", max_crashes as u64),
            ("poplarmux_leads", u64::from(daemon.placer.borrow().holds_lease(now))),
            ("poplarmux_held_bytes", held as u64),
            ("poplarmux_held_bytes_max", max_held as u64),
            ("poplarmux_connections_replaced_total", replaced),
            ("poplarmux_connections_rejected_total", rejected),
            ("poplarmux_slow_callers", daemon.read_ahead.behind_count() as u64),
            ("poplarmux_late_orders", daemon.placer.borrow().late_orders.count(now) as u64),
        ];
        for (name, value) in values {
            writeln!(out, "{name} {value}")?;
        }
        for port in Port::iter() {
            let (name, open): (&str, _) = (port.into(), daemon.connections.open(port));
            writeln!(out, "poplarmux_connections{{port=\"{name}\"}} {open}")?;
        }
        for kind in [Kind::Config, Kind::Instances, Kind::Nodes] {
            let (name, live): (&str, _) = (kind.into(), daemon.relay.is_followed(kind));
            writeln!(out, "poplarmux_reads_store{{object=\"{name}\"}} {}", u8::from(live))?;
        }
        for ((team, admission), count) in self.requests.borrow().iter() {
            let outcome: &str = admission.into();
            let labels = format!("team=\"{team}\",outcome=\"{outcome}\"");
            writeln!(out, "poplarmux_team_requests_total{{{labels}}} {count}")?;
        }
        for ((team, end), count) in self.ended.borrow().iter() {
            let labels = format!("team=\"{team}\",end=\"{end}\"");
            writeln!(out, "poplarmux_team_ended_total{{{labels}}} {count}")?;
        }
        for ((framing, end), count) in self.bodies.borrow().iter() {
            let (framing, end): (&str, &str) = (framing.into(), end.into());
            let labels = format!("framing=\"{framing}\",end=\"{end}\"");
            writeln!(out, "poplarmux_answer_bodies_total{{{labels}}} {count}")?;
        }
        for ((is_named, not_run), count) in self.foreign.borrow().iter() {
            let names = if *is_named { "other" } else { "none" };
            let labels = format!("names=\"{names}\",not_run=\"{not_run}\"");
            writeln!(out, "poplarmux_foreign_answers_total{{{labels}}} {count}")?;
        }
        for (cause, count) in daemon.read_ahead.ended() {
            let cause: &str = cause.into();
            writeln!(out, "poplarmux_answers_ended_total{{cause=\"{cause}\"}} {count}")?;
        }
        let origins = daemon.origins.borrow();
        writeln!(out, "poplarmux_origins {}", origins.len())?;
        for (source, count) in origins.outcomes() {
            let source: &'static str = source.into();
            writeln!(out, "poplarmux_streams_taken_up_total{{source=\"{source}\"}} {count}")?;
        }
        for (outcome, count) in self.forwarded.borrow().iter() {
            let outcome: &str = outcome.into();
            writeln!(out, "poplarmux_forwarded_total{{outcome=\"{outcome}\"}} {count}")?;
        }
        for ((object, op, outcome), count) in daemon.store.tally().rows() {
            let (op, outcome): (&str, &str) = (op.into(), outcome.into());
            let labels = format!("object=\"{object}\",op=\"{op}\",outcome=\"{outcome}\"");
            writeln!(out, "poplarmux_store_calls_total{{{labels}}} {count}")?;
        }
        for (outcome, count) in daemon.limits.borrow().outcomes() {
            let outcome: &str = outcome.into();
            writeln!(out, "poplarmux_permits_total{{outcome=\"{outcome}\"}} {count}")?;
        }
        for (outcome, count, total) in daemon.waits.borrow().rows() {
            let (labels, ms) = (format!("outcome=\"{outcome}\""), total.as_millis());
            writeln!(out, "poplarmux_waits_total{{{labels}}} {count}")?;
            writeln!(out, "poplarmux_wait_ms_total{{{labels}}} {ms}")?;
        }
        for (outcome, count) in daemon.exchange.borrow().outcomes() {
            writeln!(out, "poplarmux_slot_offers_total{{outcome=\"{outcome}\"}} {count}")?;
        }
        for (outcome, count) in daemon.retries.borrow().iter() {
            let outcome: &str = outcome.into();
            writeln!(out, "poplarmux_retries_total{{outcome=\"{outcome}\"}} {count}")?;
        }
        for (grantor, units) in daemon.quotas.borrow().granted() {
            let grantor: &str = grantor.into();
            writeln!(out, "poplarmux_quota_units_total{{grantor=\"{grantor}\"}} {units}")?;
        }
        for (service, left, held) in daemon.allowance.borrow().rows(now) {
            writeln!(out, "poplarmux_retries_left{{service=\"{service}\"}} {left}")?;
            writeln!(out, "poplarmux_retries_held{{service=\"{service}\"}} {held}")?;
        }
        for row in fleet.rows() {
            let (id, service) = (&row.instance.key.id, &row.instance.service);
            let labels = format!("endpoint=\"{id}\",service=\"{service}\"");
            writeln!(out, "poplarmux_endpoint_running{{{labels}}} {}", row.running)?;
            writeln!(out, "poplarmux_endpoint_load{{{labels}}} {}", row.load(now))?;
            writeln!(
                out,
                "poplarmux_endpoint_usable{{{labels}}} {}",
                u8::from(row.is_usable(now))
            )?;
            writeln!(out, "poplarmux_endpoint_slowness{{{labels}}} {:.3}", row.slowness())?;
            writeln!(
                out,
                "poplarmux_endpoint_beat_ms{{{labels}}} {}",
                row.event_interval().as_millis()
            )?;
            writeln!(out, "poplarmux_control_calls_total{{{labels}}} {}", row.control_calls)?;
            let backoff = row.remaining_backoff(now).as_millis();
            writeln!(out, "poplarmux_endpoint_backoff_ms{{{labels}}} {backoff}")?;
            if let Some(bound) = row.pace_bound() {
                writeln!(out, "poplarmux_endpoint_pace{{{labels}}} {bound}")?;
            }
            if let Some(max) = row.max_rejections(now) {
                writeln!(out, "poplarmux_endpoint_max_rejections{{{labels}}} {max}")?;
            }
            let held = row.held_tokens();
            writeln!(out, "poplarmux_endpoint_held_tokens{{{labels}}} {held}")?;
            if let Some(percent) = row.work_percent(now) {
                writeln!(out, "poplarmux_endpoint_work_percent{{{labels}}} {percent}")?;
            }
            if let Some(limit) = row.limit() {
                writeln!(out, "poplarmux_endpoint_limit{{{labels}}} {}", limit.per_second())?;
            }
        }
        for (model, ms_per_token) in fleet.speeds().rows() {
            writeln!(out, "poplarmux_read_ms_per_token{{model=\"{model}\"}} {ms_per_token:.4}")?;
        }
        for (kind, row) in self.first_bytes.borrow().iter() {
            let kind: &'static str = kind.into();
            for (bound, count) in BUCKETS.iter().zip(&row.counts) {
                writeln!(
                    out,
                    "poplarmux_first_byte_ms_bucket{{kind=\"{kind}\",le=\"{bound}\"}} {count}"
                )?;
            }
            writeln!(
                out,
                "poplarmux_first_byte_ms_bucket{{kind=\"{kind}\",le=\"+Inf\"}} {}",
                row.total
            )?;
            writeln!(out, "poplarmux_first_byte_ms_sum{{kind=\"{kind}\"}} {}", row.sum_ms)?;
            writeln!(out, "poplarmux_first_byte_ms_count{{kind=\"{kind}\"}} {}", row.total)?;
        }
        Ok(())
    }
}
