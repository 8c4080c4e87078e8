use crate::continuations::{Continuations, Ending};
use crate::once::Ledger;
use crate::{callers, news, operators, tries, viewing};
use arc_swap::ArcSwap;
use configuration::{Blueprint, FrontSettings, PeerRef};
use crossbeam::channel::{bounded, Receiver, Sender};
use parking_lot::Mutex;
use peer_sampling::View;
use rand::Rng;
use request_queue::{Action, Desk, DeskMessage, Refusal, SeatGrant, Ticket, TryEnd};
use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use transport::{now_ms, Envelope, Handler, Links, Message, Responder, Role};

/// Probes that may wait at once.
const PROBES_MAX: usize = 1_024;

/// Counts for `/metrics`.
#[derive(Default)]
pub struct Counts {
    pub answered: AtomicU64,
    pub refused: AtomicU64,
    pub unknown: AtomicU64,
    pub bad_seals: AtomicU64,
    pub retries: AtomicU64,
    pub tries: AtomicU64,
}

/// What all threads of a front share. Lock order: desk, then continuations;
/// the view's lock is held alone.
pub struct Shared {
    pub settings: FrontSettings,
    pub links: Arc<Links>,
    pub blueprint: ArcSwap<Blueprint>,
    pub peers: ArcSwap<HashMap<String, (PeerRef, String)>>,
    pub continuations: Continuations,
    pub ledger: Ledger,
    pub counts: Counts,
    pub is_stopping: AtomicBool,
    /// Callers' requests that are being handled, and when the last that was taken ended.
    pub handling: AtomicUsize,
    pub handled_at: AtomicU64,
    pub asked: Mutex<HashMap<String, u64>>,
    pub view: Mutex<View>,
    pub stop: Sender<()>,
    desk: Mutex<Desk>,
    tries: Sender<(Ticket, SeatGrant)>,
    probes: Sender<(String, String)>,
}

impl Shared {
    /// Lets the desk decide something and carries its actions out, in the order it gave them.
    pub fn with_desk<T>(&self, decide: impl FnOnce(&mut Desk, u64) -> T) -> T {
        let mut desk = self.desk.lock();
        let result = decide(&mut desk, now_ms());
        loop {
            let actions = desk.take_actions();
            if actions.is_empty() {
                return result;
            }
            for action in actions {
                self.carry_out(&mut desk, action);
            }
        }
    }

    fn carry_out(&self, desk: &mut Desk, action: Action) {
        match action {
            Action::Send(name, message) => self.send(&name, message),
            Action::Launch(ticket, seat) => {
                if let Err(error) = self.tries.try_send((ticket, seat)) {
                    let (ticket, seat) = error.into_inner();
                    desk.try_done(now_ms(), &seat, TryEnd::Unsent);
                    desk.hold_again(now_ms(), ticket);
                }
            }
            Action::Refuse(ticket, refusal) => {
                self.continuations
                    .end(ticket.slot, Ending::Refused(refusal));
            }
            Action::Probe { runner, address } => {
                let _ = self.probes.try_send((runner, address));
            }
        }
    }

    fn send(&self, name: &str, message: DeskMessage) {
        if let Some((_, address)) = self.peers.load().get(name) {
            self.links.cast(address, Message::Desk(message));
        }
    }

    /// Wire addresses of all cores: the seeds and whoever votes.
    pub fn cores(&self) -> Vec<String> {
        let seeds = self.settings.seeds.iter();
        let mut cores: Vec<String> = seeds.map(ToString::to_string).collect();
        cores.extend(self.ledger.voters());
        cores.sort();
        cores.dedup();
        cores
    }

    /// Learns where a front is reached, by its newest life.
    pub fn meet(&self, peer: &PeerRef, address: &str) {
        let is_known = self
            .peers
            .load()
            .get(&peer.name)
            .is_some_and(|(known, at)| known == peer && at == address);
        if is_known || peer.name == self.settings.name {
            return;
        }
        self.peers.rcu(|peers| {
            let mut peers = HashMap::clone(peers);
            peers.insert(peer.name.clone(), (peer.clone(), address.to_string()));
            peers
        });
    }
}

struct Incoming(Arc<Shared>);

impl Handler for Incoming {
    fn on_message(&self, envelope: Envelope, responder: Option<Responder>) {
        let shared = &self.0;
        match (envelope.body, responder) {
            (Message::Desk(message), _)
                if envelope.role == Role::Front
                    || matches!(message, DeskMessage::BeatAnswer { .. }) =>
            {
                shared.meet(&envelope.from, &envelope.address);
                news::ask_if_newer(shared, &envelope.address, &message);
                shared.with_desk(|desk, now| desk.on_message(now, &envelope.from, message));
            }
            (
                Message::Ask {
                    blueprint, plan, ..
                },
                Some(responder),
            ) => news::answer(shared, blueprint, plan, responder),
            (Message::Shuffle(part), Some(responder)) => {
                let answer = viewing::take_in(shared, part);
                responder.answer(Message::Shuffle(answer));
            }
            _ => {}
        }
    }
}

/// Runs a front until it is told to stop and has drained.
pub fn run(settings: FrontSettings) -> io::Result<()> {
    let me = PeerRef {
        name: settings.name.clone(),
        incarnation: rand::rng().random(),
    };
    let listener = TcpListener::bind(settings.wire)?;
    let links = Arc::new(Links::new(me.clone(), settings.address(), Role::Front));
    let (tries, launched) = bounded(settings.tries_max);
    let (probes, wanted_probes) = bounded(PROBES_MAX);
    let (stop, stopped) = bounded(1);
    let shared = Arc::new(Shared {
        stop: stop.clone(),
        view: Mutex::new(View::new(me.clone(), &settings.address().to_string())),
        ledger: Ledger::new(links.clone()),
        links: links.clone(),
        blueprint: ArcSwap::from_pointee(Blueprint::empty()),
        peers: ArcSwap::default(),
        continuations: Continuations::default(),
        counts: Counts::default(),
        is_stopping: AtomicBool::new(false),
        handling: AtomicUsize::new(0),
        handled_at: AtomicU64::new(0),
        asked: Mutex::default(),
        desk: Mutex::new(Desk::new(me)),
        tries,
        probes,
        settings,
    });
    links.listen(listener, Arc::new(Incoming(shared.clone())))?;
    for _ in 0..shared.settings.tries_max {
        let (shared, launched) = (shared.clone(), launched.clone());
        spawn("front-try", move || {
            for (ticket, seat) in &launched {
                tries::run(&shared, ticket, &seat);
            }
        })?;
    }
    for _ in 0..4 {
        let (shared, wanted) = (shared.clone(), wanted_probes.clone());
        spawn("front-probe", move || tries::probe(&shared, &wanted))?;
    }
    let following = shared.clone();
    spawn("front-news", move || news::follow_all(&following))?;
    let viewing = shared.clone();
    spawn("front-views", move || viewing::keep(&viewing))?;
    let ledger = shared.clone();
    spawn("front-ledger", move || ledger.ledger.free_leftovers())?;
    callers::serve(&shared)?;
    log::info!(
        "front: {} serves callers on {}",
        shared.settings.name,
        shared.settings.http
    );
    let _ = ctrlc::set_handler(move || {
        let _ = stop.try_send(());
    });
    tend(&shared, &stopped)
}

/// Lets time go on, until the front is told to stop and has drained.
fn tend(shared: &Shared, stopped: &Receiver<()>) -> io::Result<()> {
    let bounds = Blueprint::empty().bounds;
    let mut told_at = None;
    let mut shut_at = None;
    loop {
        if stopped
            .recv_timeout(Duration::from_millis(bounds.tick_ms()))
            .is_ok()
            && told_at.is_none()
        {
            log::info!("front: drains before it stops");
            shared.is_stopping.store(true, Ordering::SeqCst);
            told_at = Some(now_ms());
            shared.with_desk(|desk, _| desk.drain());
        }
        shared.with_desk(|desk, now| desk.tick(now));
        operators::report(shared);
        let Some(since) = told_at else {
            continue;
        };
        let now = now_ms();
        if now >= since + operators::drain_limit_ms(&shared.blueprint.load()) {
            log::warn!("front: stops with work left, since the drain took too long");
            return Ok(());
        }
        // Callers on connections that they keep are told for the length of a lease that it drains.
        let is_told = now >= since + bounds.lease_ms();
        if shut_at.is_none() && is_told && operators::has_drained(shared) {
            if !transport::close_door(shared.settings.http) {
                log::warn!("front: new connections could not be kept out");
            }
            shut_at = Some(now);
        }
        let is_quiet = shut_at.is_some_and(|shut| now >= shut + bounds.slack_ms());
        if is_quiet && operators::has_answered(shared) {
            log::info!("front: has drained and stops");
            return Ok(());
        }
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.into())
        .stack_size(512 * 1024)
        .spawn(work)
        .map(|_| ())
}

/// Words for why a ticket was not run, and the status that goes with them.
pub fn refusal_words(refusal: Refusal) -> (u16, &'static str) {
    match refusal {
        Refusal::HoldingFull => (503, "holding-full"),
        Refusal::Shed => (503, "shed-for-urgent-work"),
        Refusal::BudgetOver => (504, "budget-over"),
        Refusal::NoStanding => (503, "no-standing"),
        Refusal::Unlisted => (404, "unknown-function"),
        Refusal::Draining => (503, "draining"),
        Refusal::Unreachable => (503, "no-runner-reached"),
    }
}
