//! Brings one conditional order to a target, also where single answers are lost.

use std::time::Duration;

use briarswitch_core::order::{OrderResult, TargetOrder};
use briarswitch_kernel::BootClock;

use crate::ports::TargetControl;

/// Time to wait for the answer to one sending; targets answer in a few milliseconds.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(80);
/// Time from the first sending after which an order that was not answered is not sent again.
const RESEND_WINDOW: Duration = Duration::from_millis(400);

/// Sends an order until it is answered, and returns what became of it.
///
/// The condition lets it take effect at most once, however often it arrives. A group needs an answer of each
/// member and one more to open: waited for in full, one lost answer in two would double the time without it.
pub async fn deliver(
    targets: &dyn TargetControl,
    order: &TargetOrder,
    address: &str,
) -> OrderResult {
    let mut last_attempt = BootClock::now();
    let end = last_attempt + RESEND_WINDOW;
    let mut is_resent = false;
    loop {
        let attempt = targets.order(
            &order.target,
            address,
            order.expected,
            &order.action,
            ATTEMPT_TIMEOUT,
        );
        match attempt.await {
            // The conflict may be with an earlier sending that took effect; the target's report tells.
            OrderResult::Conflict if is_resent => return OrderResult::Lost,
            OrderResult::Lost if last_attempt + ATTEMPT_TIMEOUT * 2 <= end => is_resent = true,
            result => return result,
        }
        // A connection may fail long before the time for an answer is over.
        let next_attempt = last_attempt + ATTEMPT_TIMEOUT;
        tokio::time::sleep(next_attempt.saturating_sub(BootClock::now())).await;
        last_attempt = BootClock::now();
    }
}
