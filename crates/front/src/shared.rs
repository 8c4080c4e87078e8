use crate::claims::ClaimStore;
use crate::continuations::{CallOutcome, Continuations};
use crate::{attempts, callers, operators, peer_view, update};
use arc_swap::ArcSwap;
use configuration::{Configuration, FrontSettings, PeerRef};
use crossbeam::channel::{bounded, Receiver, Sender};
use parking_lot::Mutex;
use peer_sampling::PartialView;
use rand::Rng;
use request_queue::{
    Action, AttemptOutcome, FrontMessage, QueuedRequest, Rejection, SeatGrant, SeatScheduler,
};
use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use transport::{now_ms, Envelope, Handler, Links, PeerMessage, PeerRole, Responder};

/// Most probes that may be queued.
const MAX_PENDING_PROBES: usize = 1_024;

/// Counters for `/metrics`.
#[derive(Default)]
pub struct Counts {
    pub answered: AtomicU64,
    pub refused: AtomicU64,
    pub unknown: AtomicU64,
    pub bad_seals: AtomicU64,
    pub retries: AtomicU64,
    pub attempts: AtomicU64,
}

/// State shared by all threads of a front. Lock order: `scheduler`, then `continuations`. No other lock is held
/// together with `view`.
pub struct Shared {
    pub settings: FrontSettings,
    pub links: Arc<Links>,
    pub configuration: ArcSwap<Configuration>,
    pub peers: ArcSwap<HashMap<String, (PeerRef, String)>>,
    pub continuations: Continuations,
    pub claim_store: ClaimStore,
    pub counts: Counts,
    pub is_stopping: AtomicBool,
    /// Number of calls in progress, and the time at which the latest call ended, in milliseconds.
    pub handling: AtomicUsize,
    pub handled_at: AtomicU64,
    pub update_requested_at: Mutex<HashMap<String, u64>>,
    pub view: Mutex<PartialView>,
    pub stop: Sender<()>,
    scheduler: Mutex<SeatScheduler>,
    attempts: Sender<(QueuedRequest, SeatGrant)>,
    probes: Sender<(String, String)>,
}

impl Shared {
    /// Runs `decide` on the scheduler and executes the resulting actions in order.
    pub fn with_scheduler<T>(&self, decide: impl FnOnce(&mut SeatScheduler, u64) -> T) -> T {
        let mut scheduler = self.scheduler.lock();
        let result = decide(&mut scheduler, now_ms());
        loop {
            let actions = scheduler.take_actions();
            if actions.is_empty() {
                return result;
            }
            for action in actions {
                self.execute(&mut scheduler, action);
            }
        }
    }

    fn execute(&self, scheduler: &mut SeatScheduler, action: Action) {
        match action {
            Action::Send(name, message) => self.send(&name, message),
            Action::Launch(queued_request, seat) => {
                if let Err(error) = self.attempts.try_send((queued_request, seat)) {
                    let (queued_request, seat) = error.into_inner();
                    scheduler.attempt_done(now_ms(), &seat, AttemptOutcome::Unsent);
                    scheduler.requeue_unsent(now_ms(), queued_request);
                }
            }
            Action::Refuse(queued_request, rejection) => {
                self.continuations
                    .end(queued_request.slot, CallOutcome::Refused(rejection));
            }
            Action::Probe { runner, address } => {
                let _ = self.probes.try_send((runner, address));
            }
        }
    }

    fn send(&self, name: &str, message: FrontMessage) {
        if let Some((_, address)) = self.peers.load().get(name) {
            self.links.cast(address, PeerMessage::Front(message));
        }
    }

    /// Wire addresses of all cores: the seeds and the voters.
    pub fn cores(&self) -> Vec<String> {
        let seeds = self.settings.seeds.iter();
        let mut cores: Vec<String> = seeds.map(ToString::to_string).collect();
        cores.extend(self.claim_store.voters());
        cores.sort();
        cores.dedup();
        cores
    }

    /// Records the address of a peer and its current incarnation.
    pub fn record_address(&self, peer: &PeerRef, address: &str) {
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
            (PeerMessage::Front(message), _)
                if envelope.role == PeerRole::Front
                    || matches!(message, FrontMessage::HeartbeatResponse { .. }) =>
            {
                shared.record_address(&envelope.from, &envelope.address);
                update::request_if_newer(shared, &envelope.address, &message);
                shared.with_scheduler(|scheduler, now| {
                    scheduler.on_message(now, &envelope.from, message)
                });
            }
            (
                PeerMessage::AwaitUpdate {
                    configuration,
                    plan,
                    ..
                },
                Some(responder),
            ) => update::answer(shared, configuration, plan, responder),
            (PeerMessage::Shuffle(part), Some(responder)) => {
                let answer = peer_view::exchange(shared, part);
                responder.answer(PeerMessage::Shuffle(answer));
            }
            _ => {}
        }
    }
}

/// Runs a front until it has received a stop signal and drained.
pub fn run(settings: FrontSettings) -> io::Result<()> {
    let me = PeerRef {
        name: settings.name.clone(),
        incarnation: rand::rng().random(),
    };
    let listener = TcpListener::bind(settings.wire)?;
    let links = Arc::new(Links::new(me.clone(), settings.address(), PeerRole::Front));
    let (attempts, launches) = bounded(settings.max_attempts);
    let (probes, probe_requests) = bounded(MAX_PENDING_PROBES);
    let (stop, stopped) = bounded(1);
    let shared = Arc::new(Shared {
        stop: stop.clone(),
        view: Mutex::new(PartialView::new(
            me.clone(),
            &settings.address().to_string(),
        )),
        claim_store: ClaimStore::new(links.clone()),
        links: links.clone(),
        configuration: ArcSwap::from_pointee(Configuration::empty()),
        peers: ArcSwap::default(),
        continuations: Continuations::default(),
        counts: Counts::default(),
        is_stopping: AtomicBool::new(false),
        handling: AtomicUsize::new(0),
        handled_at: AtomicU64::new(0),
        update_requested_at: Mutex::default(),
        scheduler: Mutex::new(SeatScheduler::new(me)),
        attempts,
        probes,
        settings,
    });
    links.listen(listener, Arc::new(Incoming(shared.clone())))?;
    for _ in 0..shared.settings.max_attempts {
        let (shared, launches) = (shared.clone(), launches.clone());
        spawn("front-try", move || {
            for (queued_request, seat) in &launches {
                attempts::run(&shared, queued_request, &seat);
            }
        })?;
    }
    for _ in 0..4 {
        let (shared, requests) = (shared.clone(), probe_requests.clone());
        spawn("front-probe", move || attempts::probe(&shared, &requests))?;
    }
    let updater = shared.clone();
    spawn("front-news", move || update::poll_cores(&updater))?;
    let peer_view = shared.clone();
    spawn("front-views", move || peer_view::run_shuffle(&peer_view))?;
    let claim_store = shared.clone();
    spawn("front-ledger", move || {
        claim_store.claim_store.resolve_claims()
    })?;
    callers::serve(&shared)?;
    log::info!(
        "front: {} serves callers on {}",
        shared.settings.name,
        shared.settings.http
    );
    let _ = ctrlc::set_handler(move || {
        let _ = stop.try_send(());
    });
    run_until_drained(&shared, &stopped)
}

/// Runs the periodic work of the scheduler and the reports until the front has drained after a stop signal.
fn run_until_drained(shared: &Shared, stopped: &Receiver<()>) -> io::Result<()> {
    let bounds = Configuration::empty().bounds;
    let mut drain_started_at = None;
    let mut closed_at = None;
    loop {
        if stopped
            .recv_timeout(Duration::from_millis(bounds.tick_ms()))
            .is_ok()
            && drain_started_at.is_none()
        {
            log::info!("front: drains before it stops");
            shared.is_stopping.store(true, Ordering::SeqCst);
            drain_started_at = Some(now_ms());
            shared.with_scheduler(|scheduler, _| scheduler.drain());
        }
        shared.with_scheduler(|scheduler, now| scheduler.tick(now));
        operators::report(shared);
        let Some(since) = drain_started_at else {
            continue;
        };
        let now = now_ms();
        if now >= since + operators::drain_limit_ms(&shared.configuration.load()) {
            log::warn!("front: stops with work left, since the drain took too long");
            return Ok(());
        }
        // For the duration of a lease, callers on keep-alive connections can still learn that this front is draining.
        let is_notified = now >= since + bounds.lease_ms();
        if closed_at.is_none() && is_notified && operators::has_drained(shared) {
            if !transport::reject_new_connections(shared.settings.http) {
                log::warn!("front: new connections could not be kept out");
            }
            closed_at = Some(now);
        }
        let is_quiet = closed_at.is_some_and(|closed| now >= closed + bounds.slack_ms());
        if is_quiet && operators::has_answered(shared) {
            log::info!("front: has drained and stops");
            return Ok(());
        }
    }
}

fn spawn(name: &str, task: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.into())
        .stack_size(512 * 1024)
        .spawn(task)
        .map(|_| ())
}

/// HTTP status and reason code of a rejection.
pub fn rejection_reason(rejection: Rejection) -> (u16, &'static str) {
    match rejection {
        Rejection::QueueFull => (503, "holding-full"),
        Rejection::Shed => (503, "shed-for-urgent-work"),
        Rejection::BudgetOver => (504, "budget-over"),
        Rejection::NoQuorum => (503, "no-standing"),
        Rejection::Unlisted => (404, "unknown-function"),
        Rejection::Draining => (503, "draining"),
        Rejection::Unreachable => (503, "no-runner-reached"),
    }
}
