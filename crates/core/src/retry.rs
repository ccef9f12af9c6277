//! Budgets that limit retries to a fixed share of the traffic.

use std::time::Duration;

use crate::id::Moment;

/// Cost of one retry, in thousandths.
const RETRY_COST: u64 = 1000;

/// Retries that a node may send, earned by successful requests.
///
/// Without a budget, a partial outage makes every request fail and be retried, which multiplies the
/// load just when the targets can take the least. The symptom is a number of attempts per request
/// that rises with the error rate.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    permille: u64,
    balance: u64,
    ceiling: u64,
}

impl RetryBudget {
    /// Creates a full budget that earns `permille` thousandths of a retry per success and holds at
    /// most `burst` retries.
    pub fn new(permille: u64, burst: u64) -> Self {
        let ceiling = burst * RETRY_COST;
        Self {
            permille,
            balance: ceiling,
            ceiling,
        }
    }

    /// Adds the credit for one success.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.permille).min(self.ceiling);
    }

    /// Takes one retry if the balance allows it.
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

/// Number of slots that a window is divided into.
const WINDOW_SLOTS: usize = 20;
/// Share of the earned retries that may be used.
///
/// The rest is a margin for traffic that rises and falls within a window: a window that starts at
/// another time may contain only part of it.
const EARNED_SHARE: f64 = 0.85;

/// Counts of one slot of a window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowSlot {
    requests: u32,
    retries: u32,
}

/// A budget that limits the retries in any window of a fixed length by the requests in that window.
///
/// It is designed for failures of whole groups: for seconds there is nothing to retry, and then all
/// streams of a group fail at once. A token bucket with a small capacity would have discarded most
/// of what was earned in the seconds without failures.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    ratio: f64,
    slot: Duration,
    created: Moment,
    /// Counts by slot, the newest last. There is one more slot than fits a window, because a window
    /// may begin within a slot.
    slots: [WindowSlot; WINDOW_SLOTS + 1],
    /// Index of the newest slot, counted from the clock's origin.
    newest: u64,
}

impl RetryWindow {
    /// Creates a budget of `ratio` retries per request in windows of `length`.
    pub fn new(ratio: f64, length: Duration, now: Moment) -> Self {
        let slot = (length / WINDOW_SLOTS as u32).max(Duration::from_millis(1));
        Self {
            ratio: ratio * EARNED_SHARE,
            slot,
            created: now,
            slots: Default::default(),
            newest: slot_number(now, slot),
        }
    }

    /// Counts a request.
    pub fn deposit(&mut self, now: Moment) {
        self.newest_slot(now).requests += 1;
    }

    /// Returns whether a retry is allowed now, with `burst` retries beyond those earned.
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
        // No burst during the first window, so that a process that restarts repeatedly gains no
        // retries.
        let is_past_first_window = now >= self.created + self.slot * WINDOW_SLOTS as u32;
        let burst = if is_past_first_window { burst } else { 0 };
        f64::from(retries.sum::<u32>() + 1) <= earned + f64::from(burst)
    }

    /// Takes one retry if the budget allows it.
    pub fn withdraw(&mut self, burst: u32, now: Moment) -> bool {
        let is_allowed = self.can_withdraw(burst, now);
        if is_allowed {
            self.newest_slot(now).retries += 1;
        }
        is_allowed
    }

    /// Returns a retry that was taken but not sent.
    pub fn refund(&mut self, now: Moment) {
        self.advance(now);
        let mut slots = self.slots.iter_mut().rev();
        if let Some(slot) = slots.find(|slot| slot.retries > 0) {
            slot.retries -= 1;
        }
    }

    /// Counts a retry that was taken at an earlier moment as taken now, since it is sent only now.
    ///
    /// Retries that wait for their targets would otherwise be sent together with those of a later window.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::retry::RetryWindow;
    ///
    /// let at = Duration::from_secs;
    /// let mut window = RetryWindow::new(1.0, at(10), at(0));
    /// assert!(window.withdraw(1, at(10)));
    /// window.postpone(at(10), at(15));
    /// assert!(!window.can_withdraw(1, at(24)));
    /// assert!(window.can_withdraw(1, at(26)));
    /// ```
    pub fn postpone(&mut self, taken_at: Moment, now: Moment) {
        self.advance(now);
        let age = self.newest.saturating_sub(slot_number(taken_at, self.slot));
        let index = usize::try_from(age).ok();
        let index = index.and_then(|age| WINDOW_SLOTS.checked_sub(age));
        if let Some(index) = index.filter(|index| self.slots[*index].retries > 0) {
            self.slots[index].retries -= 1;
        }
        self.slots[WINDOW_SLOTS].retries += 1;
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
