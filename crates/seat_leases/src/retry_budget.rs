//! How many retries may be sent: a bounded balance that first attempts earn and retries spend.

/// A balance of retries. In any window of time retries stay below the capacity plus the ratio times the first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
    capacity: f64,
    ratio: f64,
}

impl RetryBudget {
    /// A budget that earns `ratio` retries with each first attempt and holds at most `capacity`. It begins with one
    /// retry, or with its capacity where that is less.
    #[must_use]
    pub fn new(ratio: f64, capacity: f64) -> Self {
        Self {
            balance: capacity.min(1.0),
            capacity,
            ratio,
        }
    }

    /// Changes the capacity, as the number of gateways that share it changes. A higher balance falls to it at once.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.balance = self.balance.min(capacity);
    }

    /// A first attempt was sent.
    pub fn deposit(&mut self) {
        let most = self.capacity.max(self.ratio);
        self.balance = (self.balance + self.ratio).min(most);
    }

    /// Whether there is a retry to take.
    #[must_use]
    pub fn has_balance(&self) -> bool {
        self.balance >= 1.0
    }

    /// Whether a deposit would be lost, since the balance is at its capacity.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.balance >= self.capacity
    }

    /// Takes a retry; false where there is none.
    #[must_use]
    pub fn try_withdraw(&mut self) -> bool {
        if !self.has_balance() {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
