use crate::news::{self, Askers};
use crate::store::Store;
use crate::voting::{self, Work};
use crate::{duty, identity, mending, operators, platform, scaling, set, witness};
use arc_swap::ArcSwap;
use configuration::{CoreSettings, PeerRef, Version};
use crossbeam::channel::{bounded, Receiver, Sender};
use error_stack::Report;
use leader_election::{LeaderElection, Leadership};
use parking_lot::Mutex;
use rand::Rng;
use request_queue::{DeskMessage, FrontReport};
use scaler::{FrontSight, FunctionNote};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use std::{fmt, io, thread};
use transport::{now_ms, unix_ms, Envelope, Handler, Links, Message, Responder, Role};
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
    pub sight: FrontSight,
    pub address: String,
    /// How far its wall clock was ahead of this core's when it last told, in milliseconds.
    pub off_ms: i64,
}

/// The scaler's duty as this core sees it.
#[derive(Clone, Default)]
pub struct DutyView {
    pub tenure: Leadership,
    pub term: Option<u64>,
}

/// What all threads of a core share. Lock order: fronts, then the askers' list.
pub struct Shared {
    pub settings: CoreSettings,
    pub disk: u64,
    pub links: Arc<Links>,
    pub store: Store,
    pub voter: Sender<Work>,
    pub askers: Askers,
    pub fronts: Mutex<BTreeMap<String, KnownFront>>,
    pub platform: ArcSwap<platform::Lists>,
    pub duty: ArcSwap<DutyView>,
    pub notes: ArcSwap<BTreeMap<String, FunctionNote>>,
    /// Whether this life has read the plan at a majority, so that it cannot tell an older one than
    /// it told before.
    pub is_certain: AtomicBool,
    /// Operators' requests that are being handled.
    pub handling: AtomicUsize,
    certain: Sender<(Version, Version, Responder)>,
}

impl Shared {
    pub fn set_tenure(&self, duty: &LeaderElection, now: u64) {
        let term = duty.term(now);
        let known = self.duty.load();
        if known.term != term || known.tenure != *duty.leadership() {
            let tenure = duty.leadership().clone();
            self.duty.store(Arc::new(DutyView { tenure, term }));
        }
    }

    /// How long one question to another daemon may take.
    pub fn patience(&self) -> Duration {
        Duration::from_millis(self.store.settled().blueprint.bounds.ask_ms())
    }

    /// A front asks again as soon as it holds news, well before its next report. The plan's version
    /// is left as it was reported, since what the report says of seats goes with it.
    fn note_blueprint(&self, from: &PeerRef, blueprint: Version) {
        let mut fronts = self.fronts.lock();
        let known = fronts.get_mut(&from.name);
        if let Some(known) = known.filter(|known| known.sight.peer == *from) {
            let report = &mut known.sight.report;
            report.blueprint = report.blueprint.max(blueprint);
        }
    }

    /// The wall time that this core's and the fronts' clocks agree on.
    pub fn median_wall_clock(&self) -> u64 {
        let fronts = self.fronts.lock();
        let told = fronts.values();
        let told = told.filter(|known| !known.sight.report.is_witness);
        median_wall_clock(unix_ms(), told.map(|known| known.off_ms))
    }

    /// The newest era of which a front told this core that it holds a value, also one that is silent now.
    pub fn fronts_era(&self) -> u64 {
        let fronts = self.fronts.lock();
        let reports = fronts.values().map(|known| &known.sight.report);
        let told = reports.filter(|report| !report.is_witness);
        told.map(|report| report.blueprint.era.max(report.plan.era))
            .max()
            .unwrap_or(0)
    }

    pub fn take_report(&self, envelope_from: PeerRef, address: String, report: FrontReport) {
        let mut fronts = self.fronts.lock();
        if fronts.len() >= FRONTS_MAX && !fronts.contains_key(&envelope_from.name) {
            return;
        }
        let off_ms = report.wall_ms as i64 - unix_ms() as i64;
        let sight = FrontSight {
            peer: envelope_from.clone(),
            heard_at: now_ms(),
            report,
        };
        fronts.insert(
            envelope_from.name,
            KnownFront {
                sight,
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
            (Message::Voter(message), Some(responder)) => {
                // Where the voter cannot keep up the question is dropped, as on a lossy link.
                let _ = shared.voter.try_send(Work::Ask(message, responder));
            }
            (
                Message::Ask {
                    blueprint,
                    plan,
                    wants_certain,
                },
                Some(responder),
            ) => {
                shared.note_blueprint(&envelope.from, blueprint);
                if wants_certain {
                    let _ = shared.certain.try_send((blueprint, plan, responder));
                } else {
                    shared.askers.ask(shared, blueprint, plan, responder);
                }
            }
            (Message::Desk(DeskMessage::Beat { stamp, .. }), None) => {
                witness::answer(shared, &envelope.address, stamp);
            }
            (Message::Report(report), None)
                if report.is_witness == (envelope.role == Role::Core) =>
            {
                shared.take_report(envelope.from, envelope.address, report);
            }
            (Message::Hello, Some(responder)) => {
                let _ =
                    shared
                        .voter
                        .try_send(Work::Hello(shared.disk, shared.fronts_era(), responder));
            }
            (message, responder) => mending::on_message(shared, message, responder),
        }
    }
}

/// Runs a core until it is told to stop.
pub fn run(settings: CoreSettings) -> Result<(), CoreError> {
    let (identity, _lock) = identity::open(&settings.data, &settings.name)?;
    let voter = voting::open(&settings.data)?;
    let listener = TcpListener::bind(settings.wire).map_err(CoreError::Io)?;
    let me = PeerRef {
        name: settings.name.clone(),
        incarnation: rand::rng().random(),
    };
    let links = Arc::new(Links::new(me, settings.address(), Role::Core));
    let (voter_work, asked) = bounded(VOTER_WORK_MAX);
    let (certain, wanted) = bounded(256);
    let shared = Arc::new(Shared {
        disk: identity.disk,
        store: Store::new(links.clone()),
        links: links.clone(),
        voter: voter_work,
        askers: Askers::default(),
        fronts: Mutex::default(),
        platform: ArcSwap::default(),
        duty: ArcSwap::default(),
        notes: ArcSwap::default(),
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
    with(&shared, "core-mending", mending::keep)?;
    with(&shared, "core-duty", duty::keep)?;
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
        let bounds = shared.store.settled().blueprint.bounds.clone();
        if stopped
            .recv_timeout(Duration::from_millis(bounds.tick_ms()))
            .is_ok()
        {
            return end_in_order(&shared);
        }
        let now = now_ms();
        if now >= refreshed_at + bounds.beat_ms() {
            refreshed_at = now;
            let patience = Duration::from_millis(bounds.beat_ms());
            if shared.store.refresh(patience) {
                shared.is_certain.store(true, Ordering::SeqCst);
            }
        }
        witness::report(&shared);
        if now >= aged_at + bounds.retry_window_ms {
            aged_at = now;
            let work = Work::AgeOut(unix_ms(), bounds.claim_ms);
            let _ = shared.voter.try_send(work);
        }
        news::answer_all(&shared);
    }
}

/// Lets the operators' requests that are under way end. All that was promised is synced already.
fn end_in_order(shared: &Shared) -> Result<(), CoreError> {
    log::info!("core: stops");
    let bounds = shared.store.settled().blueprint.bounds.clone();
    if !transport::close_door(shared.settings.http) {
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
    for (blueprint, plan, responder) in wanted {
        news::answer_certain(shared, blueprint, plan, responder);
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
