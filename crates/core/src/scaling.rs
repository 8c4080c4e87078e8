use crate::news;
use crate::platform;
use crate::shared::Shared;
use crate::store::PLAN;
use configuration::{Plan, Version};
use crossbeam::channel::{bounded, Receiver, Sender};
use rand::Rng;
use register::{Change, ChangeOutcome};
use scaler::{FrontSight, Order, OrderResult, Orders, Scaler, Sight};
use speedy::Writable;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use transport::now_ms;

/// Calls to the platform that are under way at once.
const CALLERS: usize = 16;

/// A call, the term that it goes with, and the time that it may take.
type Sent = (Order, u64, Duration);

/// Runs the scaler: it decides while this core has the duty, and only looks on otherwise.
pub fn run(shared: &Shared) {
    let (orders_out, orders_in) = bounded::<Sent>(4_096);
    let (results_out, results_in) = bounded::<(Order, OrderResult)>(8_192);
    for _ in 0..CALLERS {
        let (orders, results) = (orders_in.clone(), results_out.clone());
        let address = shared.settings.platform;
        thread::spawn(move || {
            for (order, term, patience) in &orders {
                let result = platform::carry_out(address, &order, term, patience);
                if results.send((order, result)).is_err() {
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
    let mut orders = Orders::default();
    loop {
        let settled = shared.store.settled();
        thread::sleep(Duration::from_millis(settled.blueprint.bounds.tick_ms()));
        run_once(shared, &mut scaler, &mut orders, &orders_out, &results_in);
    }
}

fn fronts_of(shared: &Shared) -> BTreeMap<String, FrontSight> {
    let fronts = shared.fronts.lock();
    fronts
        .iter()
        .map(|(name, known)| (name.clone(), known.sight.clone()))
        .collect()
}

fn run_once(
    shared: &Shared,
    scaler: &mut Scaler,
    orders: &mut Orders,
    orders_out: &Sender<Sent>,
    results_in: &Receiver<(Order, OrderResult)>,
) {
    let settled = shared.store.settled();
    let lists = shared.platform.load_full();
    let fronts = fronts_of(shared);
    let duty = shared.duty.load_full();
    for (order, result) in results_in.try_iter() {
        if result == OrderResult::OldTerm {
            log::warn!("scaler: the platform knows a higher term");
        }
        orders.on_result(&order, result);
    }
    let bounds = &settled.blueprint.bounds;
    let sight = Sight {
        now: now_ms(),
        next: Version {
            era: shared.store.set().epoch,
            no: settled.plan_version.no + 1,
        },
        term: duty.term.unwrap_or_default(),
        blueprint: &settled.blueprint,
        plan: &settled.plan,
        workers: &lists.workers,
        listed: &lists.runners,
        fronts: &fronts,
    };
    let holds = duty.term.is_some_and(|term| term >= settled.plan.term);
    if !holds || shared.store.is_blank() {
        scaler.observe(&sight);
        return;
    }
    let decided = scaler.run(&sight, orders);
    shared.notes.store(Arc::new(scaler.notes().clone()));
    if let Some(plan) = decided {
        write_plan(shared, &plan, settled.plan_version.no);
        return;
    }
    let platform_patience = Duration::from_millis(bounds.platform_ms());
    let (pause, grace) = (bounds.lease_ms(), 2 * bounds.change_ms);
    for order in orders.due(sight.now, &settled.plan, &lists.runners, pause, grace) {
        // The term is looked at again right before each call.
        let Some(term) = shared.duty.load().term else {
            return;
        };
        if orders_out
            .try_send((order, term, platform_patience))
            .is_err()
        {
            return;
        }
    }
}

fn write_plan(shared: &Shared, plan: &Plan, expected: u64) {
    let patience = shared.store.settled().blueprint.bounds.lease_ms() / 2;
    let bytes = plan.write_to_vec().unwrap_or_default();
    let change = Change::Write { expected, bytes };
    let (era, outcome) = shared
        .store
        .change(PLAN, change, Duration::from_millis(patience));
    match outcome {
        ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored) => {
            shared.store.put_in_force(PLAN, era, &stored);
            news::answer_all(shared);
        }
        other => log::warn!("scaler: the plan was not taken: {other:?}"),
    }
}
