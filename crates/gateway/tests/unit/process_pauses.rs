//! After a process pause, a gateway handles the messages received meanwhile before it considers any daemon silent,
//! and leases nothing from earlier state until the scaler has confirmed it. The other daemons are sockets of the
//! test, and the test controls the clock.

use crate::agreed_owners_tests::{Fleet, OWNER};
use crate::gateway::TimerEvent;
use crate::pause_confirmation::{Confirmation, PauseConfirmation};
use crate::peer_links::Liveness;
use protocol::{
    FunctionUpdate, LeaseRequest, Message, RequestId, RunnerStage, RunnerUpdate, UpdateVersion,
};
use seat_leases::UpdateAge;

const SCALER: &str = "scaler:1";
const OTHER: &str = "other:1";
const TERM: u64 = 7;
/// Longer than the silence timeouts of gateways and controllers.
const PAUSE_MS: u64 = 2_000;

fn awaiting_confirmation() -> (PauseConfirmation, u64) {
    let mut confirmation = PauseConfirmation::default();
    let linked = [SCALER, OTHER].map(String::from);
    let number = confirmation.record_pause(linked.into_iter());
    (confirmation, number)
}

#[test]
fn the_scalers_pong_confirms_once() {
    let (mut confirmation, number) = awaiting_confirmation();
    assert_eq!(confirmation.ping_answered(OTHER, number, 0), None);
    let confirmed = confirmation.ping_answered(SCALER, number, TERM);
    assert_eq!(confirmed, Some(Confirmation::TableAndLists));
    assert_eq!(confirmation.ping_answered(SCALER, number, TERM), None);
}

#[test]
fn a_pong_to_an_earlier_ping_confirms_nothing() {
    let (mut confirmation, former) = awaiting_confirmation();
    let number = confirmation.record_pause([SCALER.to_string()].into_iter());
    assert_eq!(confirmation.ping_answered(SCALER, former, TERM), None);
    assert_eq!(confirmation.age_of_messages(SCALER), UpdateAge::Unknown);
    let confirmed = confirmation.ping_answered(SCALER, number, TERM);
    assert!(confirmed.is_some());
    assert_eq!(confirmation.age_of_messages(SCALER), UpdateAge::Fresh);
}

#[test]
fn a_table_confirms_after_a_reconnect_or_after_the_pong() {
    let (mut confirmation, number) = awaiting_confirmation();
    // The table may have waited in the socket during the pause.
    assert_eq!(confirmation.table_published(SCALER), None);
    confirmation.link_opened(SCALER);
    assert_eq!(
        confirmation.table_published(SCALER),
        Some(Confirmation::Table)
    );
    let (mut confirmation, _) = awaiting_confirmation();
    // The scaler role has moved to a controller that did not have it when it answered.
    assert_eq!(confirmation.ping_answered(OTHER, number, 0), None);
    assert_eq!(
        confirmation.table_published(OTHER),
        Some(Confirmation::Table)
    );
}

/// Regression test from an aimed series (seed 9004): a gateway paused, was removed, reconnected, and paused again
/// before it received an ownership table. The pong over the new link was taken as confirmation of its old runner
/// lists, which was reported as "DRAIN: 1.584532499s after i-20 of function-4 was listed as leaving".
#[test]
fn a_pong_over_a_reopened_link_does_not_confirm_runner_lists() {
    let (mut confirmation, _) = awaiting_confirmation();
    confirmation.link_opened(SCALER);
    let number = confirmation.record_pause([SCALER.to_string()].into_iter());
    assert_eq!(confirmation.ping_answered(SCALER, number, TERM), None);
    assert_eq!(
        confirmation.table_published(SCALER),
        Some(Confirmation::Table)
    );
    // The same if the table arrives before the pong.
    let (mut confirmation, _) = awaiting_confirmation();
    confirmation.link_opened(SCALER);
    let number = confirmation.record_pause([SCALER.to_string()].into_iter());
    assert_eq!(confirmation.table_published(SCALER), None);
    let confirmed = confirmation.ping_answered(SCALER, number, TERM);
    assert_eq!(confirmed, Some(Confirmation::Table));
}

/// Creates a gateway that pinged the owner before a pause; the owner's pong waits in the gateway's socket.
fn fleet_after_a_pause() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.connect_scaler();
    let now = fleet.gateway.now;
    fleet.gateway.read_clock(now);
    fleet.gateway.send_to_peer(OWNER, &Message::Ping(0));
    fleet.wait_for("a link", |fleet| !fleet.owner.received.is_empty());
    fleet.gateway.peers.check_liveness(OWNER, now + 200);
    fleet.gateway.flush_peers();
    fleet.owner.send(&Message::Pong(0));
    fleet
}

#[test]
fn a_peer_that_answered_during_a_pause_is_not_considered_silent() {
    let mut fleet = fleet_after_a_pause();
    let resumed_at = fleet.gateway.now + PAUSE_MS;
    fleet.gateway.read_clock(resumed_at);
    let liveness = fleet.gateway.peers.check_liveness(OWNER, resumed_at);
    assert_eq!(liveness, Liveness::Alive);
}

#[test]
fn controller_links_survive_a_pause_and_owners_are_not_replaced() {
    let mut fleet = fleet_after_a_pause();
    let resumed_at = fleet.gateway.now + fleet.gateway.options.silence_ms() * 2;
    fleet.gateway.peers.suspect(OWNER, resumed_at);
    fleet.gateway.read_clock(resumed_at);
    fleet.gateway.maintain_controller_links();
    fleet.gateway.maintain_ownership();
    assert_eq!(fleet.gateway.controllers.linked(), 1);
    let function = fleet.function.clone();
    let status = fleet.gateway.lease_owner.seat_status(&function);
    assert_eq!(*status, seat_leases::SeatStatus::OwnedBy(OWNER.into()));
}

#[test]
fn events_received_during_a_pause_are_handled_before_timers() {
    let mut fleet = fleet_after_a_pause();
    let resumed_at = fleet.gateway.now + PAUSE_MS;
    let timers = &mut fleet.gateway.timers;
    timers.schedule(0, TimerEvent::BackoffOver(RequestId(1)));
    fleet.gateway.read_clock(resumed_at);
    let mut events = Vec::new();
    fleet.gateway.take_turn(&mut events, || resumed_at + 1);
    assert_eq!(fleet.gateway.timers.len(), 1);
    for turn in 2..10 {
        fleet.gateway.take_turn(&mut events, || resumed_at + turn);
    }
    assert!(fleet.gateway.timers.is_empty());
}

/// Returns a function that the gateway under test owns, with one runner in its list.
fn own_function(fleet: &mut Fleet) -> String {
    let table = fleet.gateway.configuration.ownership().unwrap();
    let names = (0..).map(|number| format!("own-{number}"));
    let own = &fleet.gateway.identity.name;
    let is_own = |name: &String| table.owner_of(name).is_some_and(|owner| owner.name == *own);
    let function = names.into_iter().find(is_own).unwrap();
    let update = update(&function, 1);
    let now = fleet.gateway.now;
    fleet.gateway.lease_owner.update_runners(now, update);
    function
}

fn update(function: &str, number: u64) -> FunctionUpdate {
    FunctionUpdate {
        function: function.into(),
        version: UpdateVersion { term: 1, number },
        runners: vec![RunnerUpdate {
            id: "runner-1".into(),
            address: "127.0.0.1:1".into(),
            zone: "zone-1".into(),
            quota: 4,
            stage: RunnerStage::Serving,
            starts_in_ms: 0,
        }],
        start_block: None,
    }
}

fn leased(fleet: &Fleet, function: &str) -> u32 {
    let usage = fleet.gateway.lease_owner.runner_usage(function);
    usage.iter().map(|runner| runner.in_use).sum()
}

fn request_lease(fleet: &mut Fleet, function: &str) {
    let request = LeaseRequest {
        request_id: RequestId(1),
        function: function.into(),
        timeout_ms: 3_000,
        ..LeaseRequest::default()
    };
    let now = fleet.gateway.now;
    let owner = &mut fleet.gateway.lease_owner;
    owner.request_lease(now, "peer", "zone-1", request);
}

#[test]
fn nothing_is_leased_after_a_pause_until_the_scaler_has_answered() {
    let mut fleet = fleet_after_a_pause();
    let function = own_function(&mut fleet);
    let now = fleet.gateway.now + PAUSE_MS;
    fleet.gateway.read_clock(now);
    request_lease(&mut fleet, &function);
    // An update that was sent before the pause and is read after it is as old as the pause.
    let address = fleet.scaler.member().address;
    let stale = Message::FunctionUpdates(vec![update(&function, 2)]);
    fleet.gateway.controller_message(&address, stale);
    assert_eq!(leased(&fleet, &function), 0);
    let is_ping =
        |message: &Message| matches!(message, Message::Ping(number) if *number >= 1 << 48);
    fleet.wait_for("a ping", |fleet| fleet.scaler.received.iter().any(is_ping));
    assert!(fleet.scaler.received.contains(&Message::RequestHeartbeat));
    let pings = fleet.scaler.received.iter().filter_map(|one| match one {
        Message::Ping(number) => Some(*number),
        _ => None,
    });
    let number = pings.max().unwrap();
    fleet
        .gateway
        .controller_message(&address, Message::Pong(number));
    assert_eq!(leased(&fleet, &function), 1);
}

#[test]
fn leasing_resumes_after_a_timeout_without_a_scaler() {
    let mut fleet = fleet_after_a_pause();
    let function = own_function(&mut fleet);
    let resumed_at = fleet.gateway.now + PAUSE_MS;
    fleet.gateway.read_clock(resumed_at);
    request_lease(&mut fleet, &function);
    for now in (resumed_at..resumed_at + 1_000).step_by(50) {
        fleet.gateway.lease_owner.tick(now);
        assert_eq!(leased(&fleet, &function), 0, "at {}", now - resumed_at);
    }
    fleet.gateway.lease_owner.tick(resumed_at + 1_000);
    assert_eq!(leased(&fleet, &function), 1);
}

#[test]
fn a_table_over_a_new_link_does_not_confirm_runner_lists_until_they_are_sent_again() {
    let mut fleet = fleet_after_a_pause();
    let function = own_function(&mut fleet);
    let resumed_at = fleet.gateway.now + PAUSE_MS;
    fleet.gateway.read_clock(resumed_at);
    request_lease(&mut fleet, &function);
    fleet
        .gateway
        .lease_owner
        .confirm_table_after_pause(resumed_at);
    for now in (resumed_at..resumed_at + 500).step_by(50) {
        fleet.gateway.lease_owner.tick(now);
        assert_eq!(leased(&fleet, &function), 0, "at {}", now - resumed_at);
    }
    let reports = fleet.gateway.lease_owner.reports(resumed_at + 500, false);
    let report = reports.iter().find(|one| one.function == function);
    assert_eq!(report.expect("a report").update_number, 0);
    let update = update(&function, 2);
    fleet
        .gateway
        .lease_owner
        .update_runners(resumed_at + 510, update);
    assert_eq!(leased(&fleet, &function), 1);
}
