//! Tests of the socket options of connections, by a model of the kernel's timers: packets can't be
//! held up on the loopback interface.

use std::net::TcpListener;
use std::time::Duration;

use rustix::net::sockopt;
use smol::net::TcpStream;

use poplarmux::daemon::link;

/// Longest time for which a sound peer sends nothing, not even acknowledgements.
const MAX_SILENCE: Duration = Duration::from_secs(2);
/// Time within which a dead peer has to be detected.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// First retransmission timeout of a connection with a short round trip.
const MIN_RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// Step between the times at which the silence begins.
const PHASE_STEP: Duration = Duration::from_millis(50);

/// Time-related options of a socket.
struct Options {
    user_timeout: Duration,
    idle: Duration,
    interval: Duration,
    probes: u32,
}

/// Returns the options that a daemon sets.
fn options() -> Options {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = listener.local_addr().expect("an address");
    let stream = smol::block_on(TcpStream::connect(addr)).expect("a connection");
    link::set_socket_options(&stream).expect("options");
    let user_timeout = sockopt::tcp_user_timeout(&stream).expect("an option");
    Options {
        user_timeout: Duration::from_millis(user_timeout.into()),
        idle: sockopt::tcp_keepidle(&stream).expect("an option"),
        interval: sockopt::tcp_keepintvl(&stream).expect("an option"),
        probes: sockopt::tcp_keepcnt(&stream).expect("an option"),
    }
}

/// Returns when an idle connection, whose last packet arrived at 0, is closed by the kernel while
/// packets are lost; none if it goes on. With a user timeout the number of probes does not count.
fn idle_end(options: &Options, is_lost: impl Fn(Duration) -> bool) -> Option<Duration> {
    let (mut received_at, mut unanswered) = (Duration::ZERO, 0);
    let mut now = options.idle;
    while now < 10 * CONTACT_TIME {
        let gives_up = if options.user_timeout.is_zero() {
            unanswered >= options.probes
        } else {
            unanswered > 0 && now - received_at >= options.user_timeout
        };
        if gives_up {
            return Some(now);
        }
        if is_lost(now) {
            unanswered += 1;
            now += options.interval;
        } else {
            (received_at, unanswered) = (now, 0);
            now += options.idle;
        }
    }
    None
}

/// Returns when a connection is closed by the kernel on which bytes were sent at 0 while packets are
/// lost; none if they arrive.
fn unacked_end(options: &Options, is_lost: impl Fn(Duration) -> bool) -> Option<Duration> {
    let (mut now, mut timeout) = (Duration::ZERO, MIN_RETRANSMISSION_TIMEOUT);
    while is_lost(now) {
        let remaining = options.user_timeout.saturating_sub(now);
        if remaining.is_zero() {
            return Some(now);
        }
        now += timeout.min(remaining);
        timeout *= 2;
    }
    None
}

/// Returns the times at which a silence may begin after the last packet.
fn phases() -> impl Iterator<Item = Duration> {
    (0..60).map(|step| PHASE_STEP * step)
}

/// Guards against closing the connection to a sound endpoint that is silent for a second or two,
/// while a caller waits for its answer.
#[test]
fn connection_outlives_a_short_silence() {
    let options = options();
    for began in phases() {
        let is_lost = |now| began < now && now <= began + MAX_SILENCE;
        assert_eq!(idle_end(&options, is_lost), None, "silent from {began:?}");
    }
    assert_eq!(unacked_end(&options, |now| now < MAX_SILENCE), None);
}

/// Guards against waiting for a dead endpoint for longer than callers may notice it.
#[test]
fn connection_to_a_dead_peer_ends_in_time() {
    let options = options();
    let idle = idle_end(&options, |_| true).expect("an end");
    let unacked = unacked_end(&options, |_| true).expect("an end");
    assert!(idle <= CONTACT_TIME && unacked <= CONTACT_TIME, "{idle:?}, {unacked:?}");
}
