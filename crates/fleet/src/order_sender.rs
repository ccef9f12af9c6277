//! Delivers a conditional order to a target, and resends it if responses are lost.

use std::time::Duration;

use briarswitch_core::order::{OrderResult, TargetOrder};
use briarswitch_kernel::BootClock;

use crate::ports::TargetControl;

/// Time-out of one attempt; targets respond within a few milliseconds.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(80);
/// Time after the first attempt in which an order without a response may be resent.
const RESEND_WINDOW: Duration = Duration::from_millis(400);

/// Sends an order until the target responds, and returns the result.
///
/// The order's condition ensures that it takes effect at most once. To form a group, each member has to respond
/// once and the leader a second time to open it; waiting out a long time-out per lost response would double that
/// time if half of the responses were lost.
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
            // The conflict may be with an earlier attempt that took effect, as the target's next report will show.
            OrderResult::Conflict if is_resent => return OrderResult::Lost,
            OrderResult::Lost if last_attempt + ATTEMPT_TIMEOUT * 2 <= end => is_resent = true,
            result => return result,
        }
        // A connection may fail long before the time-out.
        let next_attempt = last_attempt + ATTEMPT_TIMEOUT;
        tokio::time::sleep(next_attempt.saturating_sub(BootClock::now())).await;
        last_attempt = BootClock::now();
    }
}
