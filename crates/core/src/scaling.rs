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

/// Threads that call the platform, and so the number of concurrent calls.
const PLATFORM_CALL_THREADS: usize = 16;

/// A command, the term it is sent with, and its timeout.
type QueuedCommand = (PlatformCommand, u64, Duration);

/// Runs the scaler: it makes decisions while this core holds the role, and otherwise only observes.
pub fn run(shared: &Shared) {
    let (queue_out, queue_in) = bounded::<QueuedCommand>(4_096);
    let (results_out, results_in) = bounded::<(PlatformCommand, CommandResult)>(8_192);
    for _ in 0..PLATFORM_CALL_THREADS {
        let (commands, results) = (queue_in.clone(), results_out.clone());
        let address = shared.settings.platform;
        thread::spawn(move || {
            for (command, term, timeout) in &commands {
                let result = platform::execute(address, &command, term, timeout);
                if results.send((command, result)).is_err() {
                    return;
                }
            }
        });
    }
    let generate_key = || {
        let key: [u8; 32] = rand::rng().random();
        key.to_vec()
    };
    let mut scaler = Scaler::new(Box::new(generate_key));
    let mut commands = CommandPlanner::default();
    loop {
        let committed = shared.store.committed();
        thread::sleep(Duration::from_millis(
            committed.configuration.bounds.tick_ms(),
        ));
        run_once(shared, &mut scaler, &mut commands, &queue_out, &results_in);
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
    queue_out: &Sender<QueuedCommand>,
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
    let is_leader = scaler_role
        .term
        .is_some_and(|term| term >= committed.plan.term);
    if !is_leader || shared.store.awaits_restore() {
        scaler.observe(&observation);
        return;
    }
    let next_plan = scaler.run(&observation, commands);
    shared.decisions.store(Arc::new(scaler.decisions().clone()));
    if let Some(plan) = next_plan {
        write_plan(shared, &plan, committed.plan_version.no);
        return;
    }
    let platform_timeout = Duration::from_millis(bounds.platform_timeout_ms());
    let (retry_interval, grace) = (bounds.lease_ms(), 2 * bounds.change_ms);
    for command in commands.due(
        observation.now,
        &committed.plan,
        &lists.runners,
        retry_interval,
        grace,
    ) {
        // Check the term again for each command, in case the role was lost meanwhile.
        let Some(term) = shared.scaler_role.load().term else {
            return;
        };
        if queue_out
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
            shared.store.apply_if_newer(PLAN, epoch, &stored);
            update::answer_due(shared);
        }
        other => log::warn!("scaler: the plan was not taken: {other:?}"),
    }
}
