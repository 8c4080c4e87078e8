//! A restarted gateway is a new incarnation, although the link of its former incarnation may still appear open: after
//! a power failure nothing closes it. Each incarnation is a socket of the test.

use crate::connection_reuse_tests::options;
use crate::gateway::Gateway;
use event_loop::Event;
use jobs::JobAdmission;
use protocol::{
    frame, take_frames, FunctionUpdate, LeaseRequest, Member, Message, RequestId, RunnerLeases,
    RunnerStage, RunnerUpdate, UpdateVersion,
};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const FUNCTION: &str = "function-1";
const PEER: &str = "peer-1";
/// Silence after which a link counts as abandoned by its peer, in milliseconds.
const SILENT_FOR_MS: u64 = 1_000;
const POLL_TIMEOUT: Duration = Duration::from_millis(5);
const MESSAGE_WITHIN: Duration = Duration::from_secs(5);

/// The link of one incarnation of another gateway.
struct PeerLink {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl PeerLink {
    fn open(address: SocketAddr, incarnation: u64) -> Self {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_nonblocking(true).unwrap();
        let hello = Message::GatewayHello(Member {
            name: PEER.into(),
            incarnation,
            address: "127.0.0.1:1".into(),
            zone: "zone-1".into(),
        });
        stream.write_all(&frame(&hello)).unwrap();
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    fn request_lease(&mut self, number: u64) {
        let request = Message::LeaseRequest(LeaseRequest {
            request_id: RequestId(number),
            function: FUNCTION.into(),
            priority: 0,
            timeout_ms: 4_000,
            excluded_runners: Vec::new(),
            job: None,
            allowed_regions: Vec::new(),
            tenant: None,
        });
        self.stream.write_all(&frame(&request)).unwrap();
    }

    fn request_lease_of_job(&mut self, number: u64) {
        let attempt = JobAdmission::new("key".into(), [0; 16], true, 1).begin_attempt("owner");
        let request = Message::LeaseRequest(LeaseRequest {
            request_id: RequestId(number),
            function: FUNCTION.into(),
            timeout_ms: 4_000,
            job: Some(attempt),
            ..LeaseRequest::default()
        });
        self.stream.write_all(&frame(&request)).unwrap();
    }

    fn report_seat_in_use(&mut self, number: u64) {
        let report = Message::LeasesInUse {
            function: FUNCTION.into(),
            runners: vec![RunnerLeases {
                runner: "runner-1".into(),
                address: "127.0.0.1:1".into(),
                zone: "zone-1".into(),
                requests: vec![RequestId(number)],
            }],
        };
        self.stream.write_all(&frame(&report)).unwrap();
    }

    fn leases(&mut self) -> Vec<RequestId> {
        let mut chunk = [0; 4_096];
        while let Ok(count @ 1..) = self.stream.read(&mut chunk) {
            self.unread.extend_from_slice(&chunk[..count]);
        }
        let (messages, _) = take_frames::<Message>(&mut self.unread);
        let leases = messages.into_iter().filter_map(|message| match message {
            Message::SeatLease(lease) => Some(lease.request_id),
            _ => None,
        });
        leases.collect()
    }
}

/// A gateway that owns one function with one runner of one seat.
struct Owner {
    gateway: Gateway,
    address: SocketAddr,
}

impl Owner {
    fn new() -> Self {
        let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = free.local_addr().unwrap();
        drop(free);
        let mut options = options();
        options.peer_address = address;
        let mut gateway = Gateway::open(options).unwrap();
        let version = UpdateVersion { term: 1, number: 1 };
        let members = vec![gateway.identity.clone()];
        gateway.membership_received(version, members);
        gateway.lease_owner.update_runners(0, one_seat(version));
        Self { gateway, address }
    }

    fn turn(&mut self) {
        let mut events = Vec::new();
        self.gateway.connections.poll(POLL_TIMEOUT, &mut events);
        for event in events {
            self.gateway.handle_event(event);
        }
        self.gateway.run_actions();
        self.gateway.flush_peers();
    }

    /// Handles events until a link has ended, and runs the resulting actions only afterwards.
    fn handle_until_closed(&mut self) {
        let until = Instant::now() + MESSAGE_WITHIN;
        let mut events = Vec::new();
        let mut is_closed = false;
        while !is_closed {
            assert!(Instant::now() < until, "no link has ended");
            self.gateway.connections.poll(POLL_TIMEOUT, &mut events);
            for event in events.drain(..) {
                is_closed |= matches!(event, Event::Closed(..));
                self.gateway.handle_event(event);
            }
        }
        self.gateway.run_actions();
    }

    fn wait_for_lease(&mut self, link: &mut PeerLink, number: u64) {
        let until = Instant::now() + MESSAGE_WITHIN;
        while !link.leases().contains(&RequestId(number)) {
            assert!(Instant::now() < until, "no lease for request {number}");
            self.turn();
        }
    }

    /// Waits until a report of the seat in use by this request was processed.
    fn wait_for_holder(&mut self, number: u64) {
        let until = Instant::now() + MESSAGE_WITHIN;
        while !self.gateway.lease_owner.is_holder(PEER, RequestId(number)) {
            assert!(Instant::now() < until, "the report was not processed");
            self.turn();
        }
    }

    fn wait_for_leased_seats(&mut self, seats: u64) {
        let until = Instant::now() + MESSAGE_WITHIN;
        while self.gateway.lease_owner.usage().leased != seats {
            assert!(Instant::now() < until, "not {seats} seats are leased");
            self.turn();
        }
    }
}

fn one_seat(version: UpdateVersion) -> FunctionUpdate {
    FunctionUpdate {
        function: FUNCTION.into(),
        version,
        runners: vec![RunnerUpdate {
            id: "runner-1".into(),
            address: "127.0.0.1:1".into(),
            zone: "zone-1".into(),
            quota: 1,
            stage: RunnerStage::Serving,
            starts_in_ms: 0,
        }],
        start_block: None,
    }
}

#[test]
fn a_restarted_peer_is_answered_on_its_new_link() {
    let mut owner = Owner::new();
    let mut former = PeerLink::open(owner.address, 1);
    former.request_lease(1);
    owner.wait_for_lease(&mut former, 1);
    // The former incarnation holds the only seat, and its link stays open.
    let mut present = PeerLink::open(owner.address, 2);
    present.request_lease(1);
    owner.wait_for_lease(&mut present, 1);
    assert_eq!(owner.gateway.lease_owner.usage().leased, 1);
}

#[test]
fn seats_leased_over_a_replaced_link_are_released() {
    let mut owner = Owner::new();
    let mut former = PeerLink::open(owner.address, 1);
    former.request_lease(1);
    owner.wait_for_lease(&mut former, 1);
    // The lease never reached the peer, which considered this gateway dead and opened another link.
    owner.gateway.now += SILENT_FOR_MS;
    let mut present = PeerLink::open(owner.address, 1);
    present.request_lease(2);
    owner.wait_for_lease(&mut present, 2);
    assert_eq!(owner.gateway.lease_owner.usage().leased, 1);
}

#[test]
fn state_received_over_an_abandoned_link_ends_with_that_link() {
    let mut owner = Owner::new();
    let mut present = PeerLink::open(owner.address, 1);
    present.request_lease(1);
    owner.wait_for_lease(&mut present, 1);
    // A link of the same incarnation, which a network partition delayed together with the messages sent on it.
    let mut held_back = PeerLink::open(owner.address, 1);
    held_back.report_seat_in_use(5);
    owner.wait_for_holder(5);
    drop(held_back);
    owner.wait_for_leased_seats(0);
    // The peer connects again.
    let mut next = PeerLink::open(owner.address, 1);
    next.request_lease(6);
    owner.wait_for_lease(&mut next, 6);
}

#[test]
fn no_seat_is_leased_for_a_job_whose_link_has_ended() {
    let mut owner = Owner::new();
    let mut held_back = PeerLink::open(owner.address, 1);
    held_back.request_lease_of_job(3);
    drop(held_back);
    owner.handle_until_closed();
    let usage = owner.gateway.lease_owner.usage();
    assert_eq!((usage.leased, usage.waiting), (0, 0));
}
