//! Budgets that keep retries a fixed share of traffic.

use std::time::Duration;

use crate::id::Moment;

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
    pub fn new(permille: u64, burst: u64) -> Self {
        let ceiling = burst * RETRY_COST;
        Self {
            permille,
            balance: ceiling,
            ceiling,
        }
    }

    /// Credits one success.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.permille).min(self.ceiling);
    }

    /// Takes one retry if there is one.
    ///
    /// ```
    /// use briarswitch_core::retry::RetryBudget;
    ///
    /// let mut budget = RetryBudget::new(100, 1);
    /// assert!(budget.withdraw());
    /// assert!(!budget.withdraw());
    /// ```
    pub fn withdraw(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}

/// Slots into which a window is divided.
const WINDOW_SLOTS: usize = 20;
/// Part of the retries earned that is used.
///
/// Traffic that comes and goes within one window may be counted in part only when the window is looked at
/// from another moment.
const EARNED_SHARE: f64 = 0.85;

/// Counts of one part of a window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowSlot {
    requests: u32,
    retries: u32,
}

/// A budget that bounds retries in any window of a certain length by the requests in it.
///
/// It answers ends of whole groups: for seconds there is nothing to send again, and then all streams of a group
/// at once. A balance that is held to a small ceiling forgets what the quiet seconds have earned.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    ratio: f64,
    slot: Duration,
    opened: Moment,
    /// Counts by slot, the newest one last; one more than the window, for it may begin within a slot.
    slots: [WindowSlot; WINDOW_SLOTS + 1],
    /// Number of the newest slot since the clock's start.
    newest: u64,
}

impl RetryWindow {
    /// Opens a budget of `ratio` retries for each request in windows of `length`.
    pub fn new(ratio: f64, length: Duration, now: Moment) -> Self {
        let slot = (length / WINDOW_SLOTS as u32).max(Duration::from_millis(1));
        Self {
            ratio: ratio * EARNED_SHARE,
            slot,
            opened: now,
            slots: Default::default(),
            newest: slot_number(now, slot),
        }
    }

    /// Counts a request.
    pub fn deposit(&mut self, now: Moment) {
        self.newest_slot(now).requests += 1;
    }

    /// Returns whether a retry could be taken now, with `burst` retries allowed beyond those earned.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::retry::RetryWindow;
    ///
    /// let now = Duration::from_secs(1);
    /// let mut window = RetryWindow::new(0.2, Duration::from_secs(10), now);
    /// assert!(!window.can_withdraw(5, now));
    /// (0..10).for_each(|_| window.deposit(now));
    /// assert!(window.can_withdraw(0, now));
    /// ```
    pub fn can_withdraw(&mut self, burst: u32, now: Moment) -> bool {
        self.advance(now);
        let requests = self.slots[1..].iter().map(|slot| slot.requests);
        let retries = self.slots.iter().map(|slot| slot.retries);
        let earned = f64::from(requests.sum::<u32>()) * self.ratio;
        // A process that restarts must not find a burst each time.
        let has_run = now >= self.opened + self.slot * WINDOW_SLOTS as u32;
        let burst = if has_run { burst } else { 0 };
        f64::from(retries.sum::<u32>() + 1) <= earned + f64::from(burst)
    }

    /// Takes one retry if there is one.
    pub fn withdraw(&mut self, burst: u32, now: Moment) -> bool {
        let is_left = self.can_withdraw(burst, now);
        if is_left {
            self.newest_slot(now).retries += 1;
        }
        is_left
    }

    /// Gives a retry back that was just taken and not sent.
    pub fn refund(&mut self, now: Moment) {
        self.advance(now);
        let mut slots = self.slots.iter_mut().rev();
        if let Some(slot) = slots.find(|slot| slot.retries > 0) {
            slot.retries -= 1;
        }
    }

    fn newest_slot(&mut self, now: Moment) -> &mut WindowSlot {
        self.advance(now);
        &mut self.slots[WINDOW_SLOTS]
    }

    fn advance(&mut self, now: Moment) {
        let number = slot_number(now, self.slot);
        let passed = number.saturating_sub(self.newest);
        let passed = usize::try_from(passed).unwrap_or(usize::MAX);
        let passed = passed.min(self.slots.len());
        self.slots.rotate_left(passed);
        let rest = self.slots.len() - passed;
        self.slots[rest..].fill(WindowSlot::default());
        self.newest = self.newest.max(number);
    }
}

fn slot_number(now: Moment, slot: Duration) -> u64 {
    u64::try_from(now.as_nanos() / slot.as_nanos()).unwrap_or(u64::MAX)
}
