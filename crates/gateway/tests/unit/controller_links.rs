//! Timeouts of connection attempts and links to controllers.

use crate::applied_configuration::ConfigurationVersions;
use crate::connection_reuse_tests::options;
use crate::connections::ConnectionRole;
use crate::controller_links::{ControllerLinks, ControllerState, HeartbeatTiming, LinkTask};
use crate::gateway::Gateway;
use event_loop::ConnectionId;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

const TIMING: HeartbeatTiming = HeartbeatTiming {
    interval_ms: 400,
    silence_ms: 1_600,
};
/// Timeout of a first connection attempt, in milliseconds.
const FIRST_TIMEOUT_MS: u64 = 200;
/// Interval at which the tests check the links, in milliseconds.
const STEP_MS: usize = 10;

/// The links of a gateway that knows one controller, and a connection to use for them.
struct Links {
    links: ControllerLinks,
    address: String,
    connection: ConnectionId,
    gateway: Gateway,
    _listener: TcpListener,
}

fn connect(gateway: &mut Gateway, address: &str) -> ConnectionId {
    let role = ConnectionRole::Controller(address.into());
    let connection = gateway.connections.connect(address, 1 << 10, role);
    connection.expect("a connection")
}

impl Links {
    fn new() -> Self {
        let mut gateway = Gateway::open(options()).unwrap();
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let connection = connect(&mut gateway, &address.to_string());
        Self {
            links: ControllerLinks::new(&[address]),
            address: address.to_string(),
            connection,
            gateway,
            _listener: listener,
        }
    }

    /// Opens another connection to the controller.
    fn connect(&mut self) -> ConnectionId {
        connect(&mut self.gateway, &self.address)
    }

    fn begin(&mut self, now: u64) {
        let task = self.links.next_task(&self.address, now, TIMING);
        assert_eq!(task, LinkTask::Connect, "at {now}");
        self.links.opened(&self.address, self.connection, now);
    }

    /// The time at which a link that began at `from` is closed.
    fn timed_out_at(&mut self, from: u64) -> u64 {
        let mut times = (from..from + 10_000).step_by(STEP_MS);
        let timed_out = times.find(|now| {
            let task = self.links.next_task(&self.address, *now, TIMING);
            matches!(task, LinkTask::Close(_))
        });
        timed_out.expect("the link is closed")
    }
}

#[test]
fn a_hung_connect_attempt_times_out_before_a_silent_link() {
    let mut links = Links::new();
    links.begin(100);
    assert_eq!(links.timed_out_at(100), 100 + FIRST_TIMEOUT_MS);
    // The next attempt follows at once, because the pause between attempts has passed.
    links.begin(100 + FIRST_TIMEOUT_MS);
}

#[test]
fn an_established_link_is_kept_until_the_silence_timeout() {
    let mut links = Links::new();
    links.begin(100);
    links.links.established(&links.address);
    assert!(links.timed_out_at(100) > 100 + TIMING.silence_ms);
}

#[test]
fn the_connect_timeout_doubles_after_every_second_attempt() {
    let mut links = Links::new();
    let mut now = 10_000;
    let mut timeouts = Vec::new();
    for _ in 0..7 {
        links.begin(now);
        let timed_out = links.timed_out_at(now);
        timeouts.push(timed_out - now);
        now = timed_out + TIMING.interval_ms;
    }
    assert_eq!(timeouts, [200, 200, 400, 400, 800, 800, 1_600]);
    links.begin(now);
    links.links.established(&links.address);
    links.links.ended(&links.address);
    now += TIMING.interval_ms;
    links.begin(now);
    assert_eq!(links.timed_out_at(now), now + FIRST_TIMEOUT_MS);
}

#[test]
fn a_controller_is_notified_once_per_link_that_membership_changes_are_accepted() {
    let mut links = Links::new();
    links.begin(100);
    assert!(links.links.accept_membership_changes(&links.address));
    assert!(!links.links.accept_membership_changes(&links.address));
    links.links.ended(&links.address);
    links.begin(10_000);
    assert!(links.links.accept_membership_changes(&links.address));
    assert!(!links.links.accept_membership_changes("127.0.0.1:9"));
}

#[test]
fn a_scaler_is_new_over_each_link_and_in_each_term() {
    let mut links = Links::new();
    let state = |term| ControllerState {
        versions: ConfigurationVersions::default(),
        term,
        zone: String::new(),
        is_current: true,
    };
    links.begin(100);
    links.links.record_heartbeat(&links.address, state(1));
    let mut is_new = |now| links.links.scaler(now).map(|scaler| scaler.is_new);
    assert_eq!(is_new(110), Some(true));
    assert_eq!(is_new(120), Some(false));
    // Messages sent over the former link may have been lost with it.
    links.links.ended(&links.address);
    links.connection = links.connect();
    links.begin(600);
    links.links.record_heartbeat(&links.address, state(1));
    let mut is_new = |now| links.links.scaler(now).map(|scaler| scaler.is_new);
    assert_eq!(is_new(610), Some(true));
    assert_eq!(is_new(620), Some(false));
    links.links.record_heartbeat(&links.address, state(2));
    assert_eq!(
        links.links.scaler(630).map(|scaler| scaler.is_new),
        Some(true)
    );
}
