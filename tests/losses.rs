//! Counting failed and late requests from log lines.

use std::time::Duration;

use poplarmux::cmd::losses::Account;
use poplarmux::cmd::losses::Cause;

fn account(lines: &[&str]) -> Account {
    let mut account = Account::new(Duration::from_secs(2));
    for line in lines {
        account.add_line(line);
    }
    account.evaluate();
    account
}

fn count(account: &Account, route: &str, cause: &Cause) -> u64 {
    let rows = account
        .totals()
        .filter(|((row_route, row_cause), _)| row_route == route && row_cause == cause);
    rows.map(|(_, count)| count).sum()
}

const SENT: &str = r#"n1 {"at":1000,"event":"sent","request":"a","route":"r","endpoint":"e1","model":"m","waited":10,"aim":400,"gap":150}"#;

#[test]
fn stream_outcome_depends_on_first_event_and_pauses() {
    let outcomes = [
        (300, 100, Cause::InTime),
        (391, 100, Cause::LateFirstByte),
        (300, 151, Cause::LongPause),
        (391, 151, Cause::LateFirstByte),
    ];
    for (took, pause, cause) in outcomes {
        let answered = format!(
            r#"{{"at":1400,"event":"answered","request":"a","endpoint":"e1","status":200,"took":{took},"outcome":"stream"}}"#
        );
        let ended = format!(
            r#"{{"at":2400,"event":"ended","request":"a","endpoint":"e1","pause":{pause}}}"#
        );
        assert_eq!(count(&account(&[SENT, &answered, &ended]), "r", &cause), 1, "{cause}");
    }
}

/// The logs of several daemons are read one after another, so lines are not sorted by time.
#[test]
fn unsorted_lines_are_evaluated_in_order_of_time() {
    let end = r#"{"at":1200,"event":"cut","request":"a","endpoint":"e1","reason":"timeout"}"#;
    let account = account(&[end, SENT]);
    assert_eq!(count(&account, "r", &Cause::Cut("timeout".to_string())), 1);
    assert_eq!(account.occupancy().map(|(_, row)| row.requests).max(), Some(0));
}

/// A killed daemon leaves an incomplete line and a request that never ends.
#[test]
fn malformed_lines_are_skipped_and_open_requests_count_at_their_engine() {
    let other = r#"{"at":6100,"event":"refused","request":"b","route":"s","reason":"full"}"#;
    let account = account(&["{", "no json", r#"{"at":"x"}"#, SENT, other]);
    assert_eq!(count(&account, "s", &Cause::Refused("full".to_string())), 1);
    let rows: Vec<usize> = account.occupancy().map(|(_, row)| row.requests).collect();
    assert_eq!(rows, [1, 1, 1]);
}

/// A failed attempt no longer counts at its engine; the next attempt counts at another one.
#[test]
fn retried_request_counts_at_one_engine() {
    let failed = r#"{"at":1100,"event":"failed","request":"a","endpoint":"e1"}"#;
    let again = SENT.replace("1000", "1200").replace("e1", "e2");
    let account = account(&[SENT, failed, &again]);
    let (_, row) = account.occupancy().next().expect("at least one window");
    assert_eq!((row.requests, row.engines, row.idle), (1, 2, 1));
}

#[test]
fn store_calls_are_summed_and_omitted_lines_counted() {
    let calls = r#"{"at":1000,"event":"calls","object":"config","op":"watch","outcome":"answered","count":3}"#;
    let later = calls.replace("1000", "9000");
    let account =
        account(&[calls, &later, r#"{"at":1,"event":"omitted","kind":"sent","lines":7}"#]);
    assert_eq!(account.calls().map(|(_, count)| count).collect::<Vec<_>>(), [6]);
    assert_eq!(account.calls_by_window().count(), 2);
    assert_eq!(account.omitted(), 7);
}

/// Engine e1 with one slot holds model m, engine e2 of the same service only model n.
const ENGINES: [&str; 3] = [
    r#"{"at":900,"event":"seen","endpoint":"e1","born":1,"service":"s","state":"live","slots":1}"#,
    r#"{"at":900,"event":"seen","endpoint":"e2","born":1,"service":"s","state":"live","slots":1}"#,
    r#"{"at":950,"event":"goal","endpoint":"e2","model":"n","holds":["n"],"outcome":"begun"}"#,
];
const REFUSED: &str = r#"{"at":1300,"event":"refused","request":"b","route":"r","service":"s","team":"t","model":"m","status":503,"reason":"full"}"#;

fn refusal(lines: &[&str]) -> (u64, u64, u64) {
    let account = account(&[&ENGINES[..], lines, &[REFUSED]].concat());
    let (_, row) = account.refusals().next().expect("slots are stated");
    (row.requests, row.free_at_holder, row.free_in_service)
}

/// A slot that is taken, or at an engine that has left, restarted or unloaded the model, must not be
/// taken for one that the refused request could have had.
#[test]
fn free_slots_at_refusals_depend_on_load_and_models() {
    let cut = r#"{"at":1200,"event":"cut","request":"a","endpoint":"e1","reason":"timeout"}"#;
    assert_eq!(refusal(&[SENT]), (1, 0, 1), "the engine with the model is full");
    assert_eq!(refusal(&[SENT, cut]), (1, 1, 1), "its request has ended");
    let leaving = ENGINES[0].replace("900", "1250").replace("live", "leaving");
    assert_eq!(refusal(&[SENT, cut, &leaving]), (1, 0, 1), "it leaves");
    let restarted = ENGINES[0].replace("900", "1250").replace(r#""born":1"#, r#""born":2"#);
    assert_eq!(refusal(&[SENT, cut, &restarted]), (1, 0, 1), "it has restarted empty");
    let unloaded = r#"{"at":1250,"event":"order","endpoint":"e1","action":"unload","model":"m","adapter":null,"holds":["m"],"outcome":"accepted"}"#;
    assert_eq!(refusal(&[SENT, cut, unloaded]), (1, 0, 1), "it has unloaded the model");
    let gone = ENGINES[1].replace("seen", "gone").replace("900", "1250");
    assert_eq!(refusal(&[SENT, &gone]), (1, 0, 0), "the other engine is gone");
}

#[test]
fn slots_in_use_are_counted_by_second_beside_refusals() {
    let later = r#"{"at":2950,"event":"refused","request":"c","model":"m","reason":"full"}"#;
    let account = account(&[&ENGINES[..], &[SENT, REFUSED, later]].concat());
    let rows: Vec<_> =
        account.usage().map(|(second, row)| (second, row.used, row.slots, row.refused)).collect();
    assert_eq!(rows, [(0, 1, Some(2), 1), (1, 1, Some(2), 0), (2, 1, Some(2), 1)]);
}

/// A status that does not promise that the request has not run is a failure, not a refusal.
#[test]
fn teams_are_counted_by_outcome() {
    let sent = SENT.replace(r#""route""#, r#""team":"t","route""#);
    let left = r#"{"at":1500,"event":"left","request":"a"}"#;
    let failed = REFUSED.replace("503", "502").replace(r#""b""#, r#""c""#);
    let over_quota = r#"{"at":1400,"event":"over_quota","request":"d","team":"u"}"#;
    let open = sent.replace(r#""a""#, r#""e""#);
    let account = account(&[&sent, left, REFUSED, &failed, over_quota, &open]);
    let rows: Vec<_> = account.teams().map(|(sender, row)| (sender.to_string(), row)).collect();
    let [(first, t), (second, u)] = &rows[..] else { panic!("two teams: {rows:?}") };
    assert_eq!((first.as_str(), second.as_str()), ("t", "u"));
    assert_eq!((t.received, t.disconnected, t.failed, t.refused["full"]), (4, 1, 1, 1));
    assert_eq!((u.received, u.refused["over_quota"]), (1, 1));
}

/// Logs of earlier releases name neither teams in refusals nor slots.
#[test]
fn earlier_logs_have_no_teams_or_slots() {
    let seen = ENGINES[0].replace(r#","slots":1"#, "");
    let refused = REFUSED.replace(r#""service":"s","team":"t","#, "");
    let account = account(&[&seen, SENT, &refused]);
    assert_eq!((account.teams().count(), account.refusals().count()), (0, 0));
    let rows: Vec<_> = account.usage().map(|(_, row)| (row.slots, row.refused)).collect();
    assert_eq!(rows, [(None, 1)]);
}
