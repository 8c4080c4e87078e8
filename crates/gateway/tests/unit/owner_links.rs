//! Messages of a gateway to the owners of a function's seats when the owner changes. Each owner is a socket of the
//! test.

use crate::connection_reuse_tests::{options, pending_request};
use crate::connections::ConnectionRole;
use crate::downstream_connection::DownstreamConnection;
use crate::gateway::Gateway;
use crate::pending_request::RequestPhase;
use event_loop::{ConnectionId, Event};
use jobs::JobAdmission;
use protocol::{
    frame, take_frames, JobResult, Member, Message, RequestId, SeatLease, UpdateVersion,
};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub(crate) const FUNCTION: &str = "function-1";
const RUNNER: &str = "runner-1";
const POLL_TIMEOUT: Duration = Duration::from_millis(5);
const MESSAGE_WITHIN: Duration = Duration::from_secs(5);

/// Another gateway, simulated by a listening socket and the messages it received.
pub(crate) struct SimulatedPeer {
    name: &'static str,
    listener: TcpListener,
    stream: Option<TcpStream>,
    unread: Vec<u8>,
    pub(crate) received: Vec<Message>,
}

impl SimulatedPeer {
    pub(crate) fn new(name: &'static str) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        Self {
            name,
            listener,
            stream: None,
            unread: Vec::new(),
            received: Vec::new(),
        }
    }

    pub(crate) fn member(&self) -> Member {
        Member {
            name: self.name.into(),
            incarnation: 1,
            address: self.listener.local_addr().unwrap().to_string(),
            zone: "zone-1".into(),
        }
    }

    pub(crate) fn send(&mut self, message: &Message) {
        let stream = self.stream.as_mut().expect("a link");
        stream.write_all(&frame(message)).unwrap();
    }

    pub(crate) fn read(&mut self) {
        if self.stream.is_none() {
            self.stream = self.listener.accept().ok().map(|(stream, _)| stream);
        }
        let Some(stream) = &mut self.stream else {
            return;
        };
        stream.set_nonblocking(true).unwrap();
        let mut chunk = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut chunk) {
            self.unread.extend_from_slice(&chunk[..count]);
        }
        let (messages, _) = take_frames::<Message>(&mut self.unread);
        self.received.extend(messages);
    }
}

/// A gateway with one request, and the successive owners of its function.
struct OwnerChanges {
    gateway: Gateway,
    owners: Vec<SimulatedPeer>,
    membership_number: u64,
    runner: TcpListener,
}

impl OwnerChanges {
    fn new() -> Self {
        Self {
            gateway: Gateway::open(options()).unwrap(),
            owners: ["owner-1", "owner-2", "owner-3"]
                .map(SimulatedPeer::new)
                .into(),
            membership_number: 0,
            runner: TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap(),
        }
    }

    /// Creates a gateway with a request that was sent to its runner under a lease of the first owner.
    fn with_request_at_its_runner() -> (Self, RequestId) {
        let mut changes = Self::new();
        changes.make_owner(0);
        let id = changes.admit_request();
        changes.lease_and_send(id);
        (changes, id)
    }

    /// Makes this owner the only member.
    fn make_owner(&mut self, index: usize) {
        self.membership_number += 1;
        let version = UpdateVersion {
            term: 1,
            number: self.membership_number,
        };
        let members = vec![self.owners[index].member()];
        self.gateway.membership_received(version, members);
        self.gateway.flush_peers();
    }

    /// Makes the gateway under test the only member.
    fn make_own_gateway_owner(&mut self) {
        self.membership_number += 1;
        let version = UpdateVersion {
            term: 1,
            number: self.membership_number,
        };
        let members = vec![self.gateway.identity.clone()];
        self.gateway.membership_received(version, members);
    }

    /// Ends the link to an owner, discards what the owner received and lets it accept a new link.
    fn close_link_to(&mut self, index: usize) {
        let name = self.owners[index].name;
        let connections = self.gateway.connections.with_peer(name);
        for connection in connections {
            self.gateway.link_closed(connection);
        }
        self.gateway.peers.clear_suspects();
        let owner = &mut self.owners[index];
        owner.stream = None;
        owner.received.clear();
        owner.unread.clear();
    }

    fn admit_request(&mut self) -> RequestId {
        let role = ConnectionRole::Downstream(DownstreamConnection::accepted(0));
        let address = self.runner.local_addr().unwrap().to_string();
        let downstream = self.gateway.connections.connect(&address, 1 << 10, role);
        let mut pending = pending_request(downstream, true);
        pending.phase = RequestPhase::Backoff;
        let id = self.gateway.requests.add(pending);
        let connection = downstream.and_then(|one| self.gateway.connections.downstream(one));
        connection.expect("a client").request = Some(id);
        self.gateway.request_lease(id);
        self.gateway.flush_peers();
        id
    }

    /// Grants the request a lease of the first owner and sends the request to its runner.
    fn lease_and_send(&mut self, id: RequestId) {
        let lease = SeatLease {
            request_id: id,
            runner: RUNNER.into(),
            address: self.runner.local_addr().unwrap().to_string(),
            zone: "zone-1".into(),
        };
        self.gateway.lease_granted(self.owners[0].name, lease);
        let connection = self.connection_of(id);
        self.poll_until("the connection to the runner", |events, _| {
            events.contains(&Event::Connected(connection))
        });
        self.gateway.send_upstream_request(connection);
        assert!(self.gateway.requests.get(id).unwrap().is_sent());
    }

    fn connection_of(&mut self, id: RequestId) -> ConnectionId {
        let request = self.gateway.requests.get(id).unwrap();
        request.attempt().expect("it has a lease").connection
    }

    fn poll_until(&mut self, what: &str, is_met: impl Fn(&[Event], &[SimulatedPeer]) -> bool) {
        let until = Instant::now() + MESSAGE_WITHIN;
        let mut events = Vec::new();
        loop {
            self.gateway.flush_peers();
            self.gateway.connections.poll(POLL_TIMEOUT, &mut events);
            self.owners.iter_mut().for_each(SimulatedPeer::read);
            if is_met(&events, &self.owners) {
                return;
            }
            assert!(
                Instant::now() < until,
                "{what}: not within {MESSAGE_WITHIN:?}"
            );
        }
    }

    fn wait_for(&mut self, index: usize, what: &str, is_it: impl Fn(&Message) -> bool) {
        let what = format!("{what} at {}", self.owners[index].name);
        self.poll_until(&what, |_, owners| owners[index].received.iter().any(&is_it));
    }

    fn wait_for_release(&mut self, index: usize, id: RequestId) {
        self.wait_for(
            index,
            "a release",
            |message| matches!(message, Message::LeaseRelease(release) if release.request_id == id),
        );
    }

    /// Adds a request of a job that must run at most once.
    fn admit_job(&mut self) -> RequestId {
        let id = self.admit_request();
        let admission = JobAdmission::new("key".into(), [0; 16], true, 1);
        self.gateway.requests.get(id).unwrap().job = Some(Box::new(admission));
        self.gateway.request_lease(id);
        self.gateway.flush_peers();
        id
    }

    /// Handles events until an owner is notified that a job's request has not run.
    fn wait_for_not_run(&mut self, index: usize, id: RequestId) {
        let until = Instant::now() + MESSAGE_WITHIN;
        let is_it = |message: &Message| {
            matches!(message, Message::JobCompletion(completion)
                if completion.request_id == id && completion.result == JobResult::NotRun)
        };
        let mut events = Vec::new();
        while !self.owners[index].received.iter().any(is_it) {
            assert!(
                Instant::now() < until,
                "no completion with NotRun was received"
            );
            self.gateway.connections.poll(POLL_TIMEOUT, &mut events);
            for event in events.drain(..) {
                self.gateway.handle_event(event);
            }
            self.gateway.flush_peers();
            self.owners[index].read();
        }
    }

    fn wait_for_report(&mut self, index: usize) {
        self.wait_for(index, "a report of seats in use", |message| {
            matches!(message, Message::LeasesInUse { function, .. } if function == FUNCTION)
        });
    }
}

#[test]
fn a_lease_is_released_at_every_owner_it_was_reported_to() {
    let (mut changes, id) = OwnerChanges::with_request_at_its_runner();
    changes.make_owner(1);
    changes.wait_for_report(1);
    changes.make_owner(2);
    changes.wait_for_report(2);
    changes.gateway.attempt_lost(id, "the test ends it");
    for index in [0, 2, 1] {
        changes.wait_for_release(index, id);
    }
}

#[test]
fn a_gateway_that_becomes_owner_counts_the_seats_of_its_own_requests() {
    let (mut changes, id) = OwnerChanges::with_request_at_its_runner();
    changes.make_own_gateway_owner();
    assert_eq!(changes.gateway.lease_owner.usage().leased, 1);
    changes.make_owner(1);
    changes.wait_for_report(1);
    changes.gateway.attempt_lost(id, "the test ends it");
    assert_eq!(changes.gateway.lease_owner.usage().leased, 0);
    changes.wait_for_release(0, id);
    changes.wait_for_release(1, id);
}

#[test]
fn seats_in_use_are_reported_again_to_an_owner_whose_link_ended() {
    let (mut changes, _) = OwnerChanges::with_request_at_its_runner();
    changes.make_owner(1);
    changes.wait_for_report(1);
    changes.close_link_to(1);
    changes.admit_request();
    changes.wait_for_report(1);
}

#[test]
fn seats_in_use_are_reported_first_over_a_new_link() {
    let (mut changes, _) = OwnerChanges::with_request_at_its_runner();
    changes.close_link_to(0);
    // Whatever message opens the link, the report precedes it.
    changes
        .gateway
        .send_to_peer(changes.owners[0].name, &Message::Ping(1));
    changes.wait_for_report(0);
}

#[test]
fn a_claim_for_a_request_that_ended_without_running_is_released() {
    let mut changes = OwnerChanges::new();
    changes.make_owner(0);
    let id = changes.admit_job();
    changes.wait_for(
        0,
        "a lease request",
        |message| matches!(message, Message::LeaseRequest(request) if request.request_id == id),
    );
    changes.gateway.reject(id, 0, "the test ends it");
    changes.wait_for_not_run(0, id);
    // A network partition had delayed the lease request, so the owner took it for a new one.
    changes.owners[0].received.clear();
    changes.owners[0].send(&Message::JobClaimed {
        request_id: id,
        attempt: 1,
        register_version: 1,
    });
    changes.wait_for_not_run(0, id);
}
