use crate::platform;
use crate::shared::Shared;
use crate::store::PLAN;
use crate::update;
use configuration::{Plan, Version};
use crossbeam::channel::{bounded, Receiver, Sender};
use rand::Rng;
use register::{Change, ChangeOutcome};
use scaler::{
    CommandPlanner, CommandResult, FrontObservation, Observation, PlatformCommand, Scaler,
};
use speedy::Writable;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use transport::now_ms;

/// Calls to the platform that are under way at once.
const CALLERS: usize = 16;

/// A call, the term that it goes with, and the time that it may take.
type Sent = (PlatformCommand, u64, Duration);

/// Runs the scaler: it decides while this core has the role, and only looks on otherwise.
pub fn run(shared: &Shared) {
    let (orders_out, orders_in) = bounded::<Sent>(4_096);
    let (results_out, results_in) = bounded::<(PlatformCommand, CommandResult)>(8_192);
    for _ in 0..CALLERS {
        let (commands, results) = (orders_in.clone(), results_out.clone());
        let address = shared.settings.platform;
        thread::spawn(move || {
            for (command, term, timeout) in &commands {
                let result = platform::carry_out(address, &command, term, timeout);
                if results.send((command, result)).is_err() {
                    return;
                }
            }
        });
    }
    let fresh_key = || {
        let key: [u8; 32] = rand::rng().random();
        key.to_vec()
    };
    let mut scaler = Scaler::new(Box::new(fresh_key));
    let mut commands = CommandPlanner::default();
    loop {
        let committed = shared.store.committed();
        thread::sleep(Duration::from_millis(
            committed.configuration.bounds.tick_ms(),
        ));
        run_once(shared, &mut scaler, &mut commands, &orders_out, &results_in);
    }
}

fn fronts_of(shared: &Shared) -> BTreeMap<String, FrontObservation> {
    let fronts = shared.fronts.lock();
    fronts
        .iter()
        .map(|(name, known)| (name.clone(), known.observation.clone()))
        .collect()
}

fn run_once(
    shared: &Shared,
    scaler: &mut Scaler,
    commands: &mut CommandPlanner,
    orders_out: &Sender<Sent>,
    results_in: &Receiver<(PlatformCommand, CommandResult)>,
) {
    let committed = shared.store.committed();
    let lists = shared.platform.load_full();
    let fronts = fronts_of(shared);
    let scaler_role = shared.scaler_role.load_full();
    for (command, result) in results_in.try_iter() {
        if result == CommandResult::StaleTerm {
            log::warn!("scaler: the platform knows a higher term");
        }
        commands.on_result(&command, result);
    }
    let bounds = &committed.configuration.bounds;
    let observation = Observation {
        now: now_ms(),
        next: Version {
            epoch: shared.store.set().epoch,
            no: committed.plan_version.no + 1,
        },
        term: scaler_role.term.unwrap_or_default(),
        configuration: &committed.configuration,
        plan: &committed.plan,
        workers: &lists.workers,
        listed: &lists.runners,
        fronts: &fronts,
    };
    let holds = scaler_role
        .term
        .is_some_and(|term| term >= committed.plan.term);
    if !holds || shared.store.is_blank() {
        scaler.observe(&observation);
        return;
    }
    let decided = scaler.run(&observation, commands);
    shared.decisions.store(Arc::new(scaler.decisions().clone()));
    if let Some(plan) = decided {
        write_plan(shared, &plan, committed.plan_version.no);
        return;
    }
    let platform_timeout = Duration::from_millis(bounds.platform_ms());
    let (pause, grace) = (bounds.lease_ms(), 2 * bounds.change_ms);
    for command in commands.due(
        observation.now,
        &committed.plan,
        &lists.runners,
        pause,
        grace,
    ) {
        // The term is looked at again right before each call.
        let Some(term) = shared.scaler_role.load().term else {
            return;
        };
        if orders_out
            .try_send((command, term, platform_timeout))
            .is_err()
        {
            return;
        }
    }
}

fn write_plan(shared: &Shared, plan: &Plan, expected: u64) {
    let timeout = shared.store.committed().configuration.bounds.lease_ms() / 2;
    let bytes = plan.write_to_vec().unwrap_or_default();
    let change = Change::Write { expected, bytes };
    let (epoch, outcome) = shared
        .store
        .change(PLAN, change, Duration::from_millis(timeout));
    match outcome {
        ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored) => {
            shared.store.put_in_force(PLAN, epoch, &stored);
            update::answer_all(shared);
        }
        other => log::warn!("scaler: the plan was not taken: {other:?}"),
    }
}
