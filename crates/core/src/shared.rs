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

/// Questions to this voter that may wait.
const VOTER_WORK_MAX: usize = 16_384;
/// Fronts that a core knows at most.
const FRONTS_MAX: usize = 512;

/// Why a core stopped or did not start.
#[derive(Debug)]
pub enum CoreError {
    /// A port or the data folder could not be opened.
    Io(io::Error),
    /// The voter's disk could not be read.
    Voter(Report<VoterError>),
    /// The data folder is not for this daemon.
    NotOurs(String),
}

impl fmt::Display for CoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "{error}"),
            Self::Voter(report) => write!(formatter, "{report:#}"),
            Self::NotOurs(reason) => formatter.write_str(reason),
        }
    }
}

impl std::error::Error for CoreError {}

/// A front as this core knows it.
pub struct KnownFront {
    pub observation: FrontObservation,
    pub address: String,
    /// How far its wall clock was ahead of this core's when it last reported, in milliseconds.
    pub off_ms: i64,
}

/// The scaler's role as this core sees it.
#[derive(Clone, Default)]
pub struct RoleView {
    pub tenure: Leadership,
    pub term: Option<u64>,
}

/// What all threads of a core share. Lock order: fronts, then the askers' list.
pub struct Shared {
    pub settings: CoreSettings,
    pub disk: u64,
    pub links: Arc<Links>,
    pub store: Store,
    pub voter: Sender<VoterTask>,
    pub subscribers: UpdateSubscribers,
    pub fronts: Mutex<BTreeMap<String, KnownFront>>,
    pub platform: ArcSwap<platform::Lists>,
    pub scaler_role: ArcSwap<RoleView>,
    pub decisions: ArcSwap<BTreeMap<String, FunctionDecision>>,
    /// Whether this incarnation has read the plan at a majority, so that it cannot tell an older one than
    /// it reported before.
    pub is_certain: AtomicBool,
    /// Operators' requests that are being handled.
    pub handling: AtomicUsize,
    certain: Sender<(Version, Version, Responder)>,
}

impl Shared {
    pub fn set_tenure(&self, scaler_role: &LeaderElection, now: u64) {
        let term = scaler_role.term(now);
        let known = self.scaler_role.load();
        if known.term != term || known.tenure != *scaler_role.leadership() {
            let tenure = scaler_role.leadership().clone();
            self.scaler_role.store(Arc::new(RoleView { tenure, term }));
        }
    }

    /// How long one question to another daemon may take.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.store.committed().configuration.bounds.ask_ms())
    }

    /// A front asks again as soon as it has an update, well before its next report. The plan's version
    /// is left as it was reported, since what the report says of seats goes with it.
    fn note_configuration(&self, from: &PeerRef, configuration: Version) {
        let mut fronts = self.fronts.lock();
        let known = fronts.get_mut(&from.name);
        if let Some(known) = known.filter(|known| known.observation.peer == *from) {
            let report = &mut known.observation.report;
            report.configuration = report.configuration.max(configuration);
        }
    }

    /// The wall time that this core's and the fronts' clocks agree on.
    pub fn median_wall_clock(&self) -> u64 {
        let fronts = self.fronts.lock();
        let reported = fronts.values();
        let reported = reported.filter(|known| !known.observation.report.is_witness);
        median_wall_clock(unix_ms(), reported.map(|known| known.off_ms))
    }

    /// The newest epoch of which a front reported that it holds a value, also one that is silent now.
    pub fn fronts_epoch(&self) -> u64 {
        let fronts = self.fronts.lock();
        let reports = fronts.values().map(|known| &known.observation.report);
        let reported = reports.filter(|report| !report.is_witness);
        reported
            .map(|report| report.configuration.epoch.max(report.plan.epoch))
            .max()
            .unwrap_or(0)
    }

    pub fn take_report(&self, envelope_from: PeerRef, address: String, report: FrontReport) {
        let mut fronts = self.fronts.lock();
        if fronts.len() >= FRONTS_MAX && !fronts.contains_key(&envelope_from.name) {
            return;
        }
        let off_ms = report.wall_ms as i64 - unix_ms() as i64;
        let observation = FrontObservation {
            peer: envelope_from.clone(),
            heard_at: now_ms(),
            report,
        };
        fronts.insert(
            envelope_from.name,
            KnownFront {
                observation,
                address,
                off_ms,
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
                // Where the voter cannot keep up the question is dropped, as on a lossy link.
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
                shared.note_configuration(&envelope.from, configuration);
                if wants_certain {
                    let _ = shared.certain.try_send((configuration, plan, responder));
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
                shared.take_report(envelope.from, envelope.address, report);
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

/// Runs a core until it is asked to stop.
pub fn run(settings: CoreSettings) -> Result<(), CoreError> {
    let (identity, _lock) = identity::open(&settings.data, &settings.name)?;
    let voter = voting::open(&settings.data)?;
    let listener = TcpListener::bind(settings.wire).map_err(CoreError::Io)?;
    let me = PeerRef {
        name: settings.name.clone(),
        incarnation: rand::rng().random(),
    };
    let links = Arc::new(Links::new(me, settings.address(), PeerRole::Core));
    let (voter_work, asked) = bounded(VOTER_WORK_MAX);
    let (certain, wanted) = bounded(256);
    let shared = Arc::new(Shared {
        disk: identity.disk,
        store: Store::new(links.clone()),
        links: links.clone(),
        voter: voter_work,
        subscribers: UpdateSubscribers::default(),
        fronts: Mutex::default(),
        platform: ArcSwap::default(),
        scaler_role: ArcSwap::default(),
        decisions: ArcSwap::default(),
        is_certain: AtomicBool::new(false),
        handling: AtomicUsize::new(0),
        certain,
        settings,
    });
    let asked_of = shared.clone();
    spawn("core-voter", move || voting::run(&asked_of, voter, &asked))?;
    links
        .listen(listener, Arc::new(Incoming(shared.clone())))
        .map_err(CoreError::Io)?;
    with(&shared, "core-set", set::settle_set)?;
    with(&shared, "core-repair", repair::keep)?;
    with(&shared, "core-scaler-role", scaler_role::keep)?;
    with(&shared, "core-lists", platform::follow)?;
    with(&shared, "core-scaler", scaling::run)?;
    let certain = shared.clone();
    spawn("core-certain", move || answer_certain(&certain, &wanted))?;
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
    let mut aged_at = now_ms();
    loop {
        let bounds = shared.store.committed().configuration.bounds.clone();
        if stopped
            .recv_timeout(Duration::from_millis(bounds.tick_ms()))
            .is_ok()
        {
            return end_in_order(&shared);
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
        if now >= aged_at + bounds.retry_window_ms {
            aged_at = now;
            let work = VoterTask::AgeOut(unix_ms(), bounds.claim_ms);
            let _ = shared.voter.try_send(work);
        }
        update::answer_all(&shared);
    }
}

/// Lets the operators' requests that are under way end. All that was promised is synced already.
fn end_in_order(shared: &Shared) -> Result<(), CoreError> {
    log::info!("core: stops");
    let bounds = shared.store.committed().configuration.bounds.clone();
    if !transport::reject_new_connections(shared.settings.http) {
        log::warn!("core: new connections could not be kept out");
    }
    let stop_by = now_ms() + 2 * bounds.change_ms;
    loop {
        thread::sleep(Duration::from_millis(bounds.slack_ms()));
        if shared.handling.load(Ordering::SeqCst) == 0 || now_ms() >= stop_by {
            return Ok(());
        }
    }
}

fn answer_certain(shared: &Shared, wanted: &Receiver<(Version, Version, Responder)>) {
    for (configuration, plan, responder) in wanted {
        update::answer_certain(shared, configuration, plan, responder);
    }
}

fn with(
    shared: &Arc<Shared>,
    name: &str,
    work: impl FnOnce(&Shared) + Send + 'static,
) -> Result<(), CoreError> {
    let shared = shared.clone();
    spawn(name, move || work(&shared))
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), CoreError> {
    thread::Builder::new()
        .name(name.into())
        .spawn(work)
        .map(|_| ())
        .map_err(CoreError::Io)
}
