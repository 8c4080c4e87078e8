use crate::store::Store;
use crate::update::{self, UpdateSubscribers};
use crate::voting::{self, VoterTask};
use crate::{identity, operators, platform, repair, scaler_role, scaling, set, witness};
use arc_swap::ArcSwap;
use configuration::{CoreSettings, PeerRef, Version};
use crossbeam::channel::{bounded, Receiver, Sender};
use error_stack::Report;
use leader_election::{LeaderElection, Leadership};
use parking_lot::Mutex;
use rand::Rng;
use request_queue::{FrontMessage, FrontReport};
use scaler::{FrontObservation, FunctionDecision};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use std::{fmt, io, thread};
use transport::{now_ms, unix_ms, Envelope, Handler, Links, PeerMessage, PeerRole, Responder};
use voter::median_wall_clock;
use voter::VoterError;

/// Most tasks that may be queued for this core's voter.
const MAX_VOTER_TASKS: usize = 16_384;
/// Most fronts and witnesses that a core keeps reports of.
const MAX_FRONTS: usize = 512;

/// Why a core failed to start.
#[derive(Debug)]
pub enum CoreError {
    /// A port or the data folder could not be opened.
    Io(io::Error),
    /// The voter's disk could not be read.
    Voter(Report<VoterError>),
    /// The data folder is in use, unreadable, of a newer format or of another daemon.
    UnusableDataFolder(String),
}

impl fmt::Display for CoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "{error}"),
            Self::Voter(report) => write!(formatter, "{report:#}"),
            Self::UnusableDataFolder(reason) => formatter.write_str(reason),
        }
    }
}

impl std::error::Error for CoreError {}

/// The latest report of a front or witness, as received by this core.
pub struct KnownFront {
    pub observation: FrontObservation,
    pub address: String,
    /// How far its wall clock was ahead of this core's at its latest report, in milliseconds.
    pub clock_offset_ms: i64,
}

/// Who holds the scaler role, as known to this core, and the term if it is this core.
#[derive(Clone, Default)]
pub struct ScalerRoleView {
    pub tenure: Leadership,
    pub term: Option<u64>,
}

/// State shared by all threads of a core. Lock order: `fronts`, then the list of update subscribers.
pub struct Shared {
    pub settings: CoreSettings,
    pub disk: u64,
    pub links: Arc<Links>,
    pub store: Store,
    pub voter: Sender<VoterTask>,
    pub subscribers: UpdateSubscribers,
    pub fronts: Mutex<BTreeMap<String, KnownFront>>,
    pub platform: ArcSwap<platform::PlatformLists>,
    pub scaler_role: ArcSwap<ScalerRoleView>,
    pub decisions: ArcSwap<BTreeMap<String, FunctionDecision>>,
    /// Whether this incarnation has read configuration and plan at a majority. Before, it could report an older
    /// plan than it did before its restart.
    pub is_certain: AtomicBool,
    /// Number of operator requests in progress.
    pub handling: AtomicUsize,
    certain_requests: Sender<(Version, Version, Responder)>,
}

impl Shared {
    pub fn set_tenure(&self, scaler_role: &LeaderElection, now: u64) {
        let term = scaler_role.term(now);
        let known = self.scaler_role.load();
        if known.term != term || known.tenure != *scaler_role.leadership() {
            let tenure = scaler_role.leadership().clone();
            self.scaler_role
                .store(Arc::new(ScalerRoleView { tenure, term }));
        }
    }

    /// Timeout of one request to another daemon.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(
            self.store
                .committed()
                .configuration
                .bounds
                .request_timeout_ms(),
        )
    }

    /// Records the configuration version of a front's update request, which arrives well before its next report.
    /// The plan version stays as reported, since the seats in the report belong to it.
    fn record_configuration(&self, from: &PeerRef, configuration: Version) {
        let mut fronts = self.fronts.lock();
        let known = fronts.get_mut(&from.name);
        if let Some(known) = known.filter(|known| known.observation.peer == *from) {
            let report = &mut known.observation.report;
            report.configuration = report.configuration.max(configuration);
        }
    }

    /// Median of the wall clocks of this core and the fronts, in milliseconds since 1970.
    pub fn median_wall_clock(&self) -> u64 {
        let fronts = self.fronts.lock();
        let reported = fronts.values();
        let reported = reported.filter(|known| !known.observation.report.is_witness);
        median_wall_clock(unix_ms(), reported.map(|known| known.clock_offset_ms))
    }

    /// The newest epoch of a value that any front has reported, including fronts no longer heard from.
    pub fn fronts_epoch(&self) -> u64 {
        let fronts = self.fronts.lock();
        let reports = fronts.values().map(|known| &known.observation.report);
        let reported = reports.filter(|report| !report.is_witness);
        reported
            .map(|report| report.configuration.epoch.max(report.plan.epoch))
            .max()
            .unwrap_or(0)
    }

    pub fn record_report(&self, peer: PeerRef, address: String, report: FrontReport) {
        let mut fronts = self.fronts.lock();
        if fronts.len() >= MAX_FRONTS && !fronts.contains_key(&peer.name) {
            return;
        }
        let clock_offset_ms = report.wall_ms as i64 - unix_ms() as i64;
        let observation = FrontObservation {
            peer: peer.clone(),
            heard_at: now_ms(),
            report,
        };
        fronts.insert(
            peer.name,
            KnownFront {
                observation,
                address,
                clock_offset_ms,
            },
        );
    }
}

struct Incoming(Arc<Shared>);

impl Handler for Incoming {
    fn on_message(&self, envelope: Envelope, responder: Option<Responder>) {
        let shared = &self.0;
        match (envelope.body, responder) {
            (PeerMessage::Voter(message), Some(responder)) => {
                // If the voter's queue is full the request is dropped, as on a lossy link.
                let _ = shared.voter.try_send(VoterTask::Ask(message, responder));
            }
            (
                PeerMessage::AwaitUpdate {
                    configuration,
                    plan,
                    wants_certain,
                },
                Some(responder),
            ) => {
                shared.record_configuration(&envelope.from, configuration);
                if wants_certain {
                    let _ = shared
                        .certain_requests
                        .try_send((configuration, plan, responder));
                } else {
                    shared
                        .subscribers
                        .ask(shared, configuration, plan, responder);
                }
            }
            (PeerMessage::Front(FrontMessage::Heartbeat { stamp, .. }), None) => {
                witness::answer(shared, &envelope.address, stamp);
            }
            (PeerMessage::Report(report), None)
                if report.is_witness == (envelope.role == PeerRole::Core) =>
            {
                shared.record_report(envelope.from, envelope.address, report);
            }
            (PeerMessage::Hello, Some(responder)) => {
                let _ = shared.voter.try_send(VoterTask::Hello(
                    shared.disk,
                    shared.fronts_epoch(),
                    responder,
                ));
            }
            (message, responder) => repair::on_message(shared, message, responder),
        }
    }
}

/// Runs a core until it receives a stop signal.
pub fn run(settings: CoreSettings) -> Result<(), CoreError> {
    let (identity, _lock) = identity::open(&settings.data, &settings.name)?;
    let voter = voting::open(&settings.data)?;
    let listener = TcpListener::bind(settings.wire).map_err(CoreError::Io)?;
    let me = PeerRef {
        name: settings.name.clone(),
        incarnation: rand::rng().random(),
    };
    let links = Arc::new(Links::new(me, settings.address(), PeerRole::Core));
    let (tasks_out, tasks_in) = bounded(MAX_VOTER_TASKS);
    let (certain_requests, requests) = bounded(256);
    let shared = Arc::new(Shared {
        disk: identity.disk,
        store: Store::new(links.clone()),
        links: links.clone(),
        voter: tasks_out,
        subscribers: UpdateSubscribers::default(),
        fronts: Mutex::default(),
        platform: ArcSwap::default(),
        scaler_role: ArcSwap::default(),
        decisions: ArcSwap::default(),
        is_certain: AtomicBool::new(false),
        handling: AtomicUsize::new(0),
        certain_requests,
        settings,
    });
    let core = shared.clone();
    spawn("core-voter", move || voting::run(&core, voter, &tasks_in))?;
    links
        .listen(listener, Arc::new(Incoming(shared.clone())))
        .map_err(CoreError::Io)?;
    spawn_with(&shared, "core-set", set::maintain_voter_set)?;
    spawn_with(&shared, "core-repair", repair::run)?;
    spawn_with(&shared, "core-scaler-role", scaler_role::run)?;
    spawn_with(&shared, "core-lists", platform::poll_lists)?;
    spawn_with(&shared, "core-scaler", scaling::run)?;
    let reader = shared.clone();
    spawn("core-certain", move || answer_certain(&reader, &requests))?;
    operators::serve(&shared).map_err(CoreError::Io)?;
    log::info!(
        "core: {} serves operators on {}",
        shared.settings.name,
        shared.settings.http
    );
    let (stop, stopped) = bounded(1);
    let _ = ctrlc::set_handler(move || {
        let _ = stop.try_send(());
    });
    let mut refreshed_at = 0;
    let mut claims_expired_at = now_ms();
    loop {
        let bounds = shared.store.committed().configuration.bounds.clone();
        if stopped
            .recv_timeout(Duration::from_millis(bounds.tick_ms()))
            .is_ok()
        {
            return shut_down(&shared);
        }
        let now = now_ms();
        if now >= refreshed_at + bounds.heartbeat_ms() {
            refreshed_at = now;
            let timeout = Duration::from_millis(bounds.heartbeat_ms());
            if shared.store.refresh(timeout) {
                shared.is_certain.store(true, Ordering::SeqCst);
            }
        }
        witness::report(&shared);
        if now >= claims_expired_at + bounds.retry_window_ms {
            claims_expired_at = now;
            let task = VoterTask::ExpireClaims(unix_ms(), bounds.claim_ms);
            let _ = shared.voter.try_send(task);
        }
        update::answer_due(&shared);
    }
}

/// Waits for operator requests in progress, up to a deadline. All acknowledged changes are already synced to disk.
fn shut_down(shared: &Shared) -> Result<(), CoreError> {
    log::info!("core: stops");
    let bounds = shared.store.committed().configuration.bounds.clone();
    if !transport::reject_new_connections(shared.settings.http) {
        log::warn!("core: new connections could not be kept out");
    }
    let deadline = now_ms() + 2 * bounds.change_ms;
    loop {
        thread::sleep(Duration::from_millis(bounds.slack_ms()));
        if shared.handling.load(Ordering::SeqCst) == 0 || now_ms() >= deadline {
            return Ok(());
        }
    }
}

fn answer_certain(shared: &Shared, requests: &Receiver<(Version, Version, Responder)>) {
    for (configuration, plan, responder) in requests {
        update::answer_after_refresh(shared, configuration, plan, responder);
    }
}

fn spawn_with(
    shared: &Arc<Shared>,
    name: &str,
    task: impl FnOnce(&Shared) + Send + 'static,
) -> Result<(), CoreError> {
    let shared = shared.clone();
    spawn(name, move || task(&shared))
}

fn spawn(name: &str, task: impl FnOnce() + Send + 'static) -> Result<(), CoreError> {
    thread::Builder::new()
        .name(name.into())
        .spawn(task)
        .map(|_| ())
        .map_err(CoreError::Io)
}
