//! Limits retries with a bounded budget that first attempts fill and retries spend.

/// A retry budget. In any time window there are fewer retries than the capacity plus `ratio` times the first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
    capacity: f64,
    ratio: f64,
}

impl RetryBudget {
    /// Creates a budget that earns `ratio` retries per first attempt and holds at most `capacity`. It starts with one
    /// retry, or with its capacity if that is lower.
    #[must_use]
    pub fn new(ratio: f64, capacity: f64) -> Self {
        Self {
            balance: capacity.min(1.0),
            capacity,
            ratio,
        }
    }

    /// Sets the capacity, which depends on the number of gateways sharing it. A balance above it is reduced immediately.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.balance = self.balance.min(capacity);
    }

    /// Records a first attempt.
    pub fn deposit(&mut self) {
        let most = self.capacity.max(self.ratio);
        self.balance = (self.balance + self.ratio).min(most);
    }

    /// Whether a retry is available.
    #[must_use]
    pub fn has_balance(&self) -> bool {
        self.balance >= 1.0
    }

    /// Whether the balance is at its capacity, so that a deposit would have no effect.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.balance >= self.capacity
    }

    /// Spends a retry; returns false if none is available.
    #[must_use]
    pub fn try_withdraw(&mut self) -> bool {
        if !self.has_balance() {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
