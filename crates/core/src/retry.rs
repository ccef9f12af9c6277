//! A budget that keeps retries a fixed share of successful traffic.

/// Thousandths of a retry that one retry costs.
const RETRY_COST: u64 = 1000;

/// Retries a node may spend, earned by successes.
///
/// Without it, a brown-out makes every request fail and be sent again, which multiplies load just
/// when targets can bear least; one would notice attempts per request rising with the error rate.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    permille: u64,
    balance: u64,
    ceiling: u64,
}

impl RetryBudget {
    /// Opens a budget that earns `permille` thousandths of a retry for each success and holds at
    /// most `burst` retries; it starts full.
    pub fn open(permille: u64, burst: u64) -> Self {
        let ceiling = burst * RETRY_COST;
        Self {
            permille,
            balance: ceiling,
            ceiling,
        }
    }

    /// Opens a budget without anything saved up.
    ///
    /// A process that restarts must not find a full burst each time.
    ///
    /// ```
    /// use briarswitch_core::retry::RetryBudget;
    ///
    /// assert!(!RetryBudget::open_empty(200, 10).spend());
    /// ```
    pub fn open_empty(permille: u64, burst: u64) -> Self {
        Self {
            balance: 0,
            ..Self::open(permille, burst)
        }
    }

    /// Credits one success.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.permille).min(self.ceiling);
    }

    /// Returns whether a retry could be taken now.
    pub fn has_any(&self) -> bool {
        self.balance >= RETRY_COST
    }

    /// Gives a retry back that was taken and not sent.
    ///
    /// ```
    /// use briarswitch_core::retry::RetryBudget;
    ///
    /// let mut budget = RetryBudget::open(100, 1);
    /// assert!(budget.spend());
    /// budget.give_back();
    /// assert!(budget.has_any());
    /// ```
    pub fn give_back(&mut self) {
        self.balance = (self.balance + RETRY_COST).min(self.ceiling);
    }

    /// Takes one retry if there is one.
    ///
    /// ```
    /// use briarswitch_core::retry::RetryBudget;
    ///
    /// let mut budget = RetryBudget::open(100, 1);
    /// assert!(budget.spend());
    /// assert!(!budget.spend());
    /// ```
    pub fn spend(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
