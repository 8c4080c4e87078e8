/// Allowance for further tries: first tries earn it, and it never holds more than its cap, so that in any window
/// further tries stay below cap + share x first tries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    held: f64,
    cap: f64,
    share: f64,
}

impl RetryBudget {
    /// An allowance that begins with one try, or with its cap where that is less.
    pub fn new(share: f64, cap: f64) -> Self {
        Self {
            held: cap.min(1.0),
            cap,
            share,
        }
    }

    /// Changes the cap, as the number of gateways changes.
    pub fn set_capacity(&mut self, cap: f64) {
        self.cap = cap;
        self.held = self.held.min(cap);
    }

    /// A first try was sent.
    pub fn deposit(&mut self) {
        self.held = (self.held + self.share).min(self.cap.max(self.share));
    }

    /// Whether there is a further try to take.
    pub fn has_balance(&self) -> bool {
        self.held >= 1.0
    }

    /// Takes one further try, where there is one.
    pub fn try_withdraw(&mut self) -> bool {
        if !self.has_balance() {
            return false;
        }
        self.held -= 1.0;
        true
    }
}
