//! Retries stay within their budget.

use fuzzing::seeded;
use seat_leases::RetryBudget;

seeded! {
    fn retries_stay_below_the_capacity_and_the_ratio(events: Vec<bool>, capacity: u8, ratio: u8) -> bool {
        let (capacity, ratio) = (1.0 + f64::from(capacity % 8), f64::from(ratio % 100) / 100.0);
        let mut budget = RetryBudget::new(ratio, capacity);
        let attempts: Vec<(bool, bool)> = events
            .iter()
            .map(|is_first| {
                if *is_first {
                    budget.deposit();
                    return (true, false);
                }
                (false, budget.try_withdraw())
            })
            .collect();
        (0..attempts.len()).all(|start| {
            let (mut first, mut retries) = (0.0, 0.0);
            attempts[start..].iter().all(|(is_first, is_retry)| {
                first += f64::from(u8::from(*is_first));
                retries += f64::from(u8::from(*is_retry));
                retries <= capacity + ratio * first + 1e-9
            })
        })
    }

    fn a_lower_capacity_applies_at_once(deposits: u8, capacity: u8) -> bool {
        let mut budget = RetryBudget::new(0.5, 40.0);
        (0..deposits).for_each(|_| budget.deposit());
        let capacity = f64::from(capacity % 10);
        budget.set_capacity(capacity);
        let spent = (0..100).filter(|_| budget.try_withdraw()).count();
        spent as f64 <= capacity
    }
}
