//! Resending of orders whose responses are lost.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::order::{OrderResult, TargetAction, TargetOrder};
use briarswitch_fleet::order_sender::deliver;
use briarswitch_fleet::ports::{ReportError, TargetControl, TargetReport};
use futures::future::BoxFuture;
use googletest::prelude::*;

/// A target that gives the scripted results in turn, and then does not respond any more.
struct ScriptedTarget {
    results: Mutex<VecDeque<OrderResult>>,
    attempts: Mutex<usize>,
}

impl ScriptedTarget {
    fn new(results: impl IntoIterator<Item = OrderResult>) -> Self {
        Self {
            results: Mutex::new(results.into_iter().collect()),
            attempts: Mutex::new(0),
        }
    }

    fn attempts(&self) -> usize {
        *self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TargetControl for ScriptedTarget {
    fn probe<'a>(
        &'a self,
        _: &'a str,
        _: Duration,
    ) -> BoxFuture<'a, std::result::Result<(), ReportError>> {
        Box::pin(async { Err(ReportError::NoResponse) })
    }

    fn report<'a>(
        &'a self,
        _: &'a TargetId,
        _: &'a str,
        _: Duration,
    ) -> BoxFuture<'a, std::result::Result<TargetReport, ReportError>> {
        Box::pin(async { Err(ReportError::NoResponse) })
    }

    fn order<'a>(
        &'a self,
        _: &'a TargetId,
        _: &'a str,
        _: u64,
        _: &'a TargetAction,
        _: Duration,
    ) -> BoxFuture<'a, OrderResult> {
        let mut results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        let result = results.pop_front().unwrap_or(OrderResult::Lost);
        *self.attempts.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        Box::pin(async move { result })
    }
}

fn order() -> TargetOrder {
    TargetOrder {
        target: "t".to_owned(),
        incarnation: 0,
        expected: 3,
        action: TargetAction::Open {
            group: "g".to_owned(),
            epoch: 7,
        },
        reason: "test",
    }
}

/// Guards against groups that form seconds late because each lost response is waited for with a long time-out.
#[tokio::test]
async fn an_order_without_a_response_is_resent() {
    let target = ScriptedTarget::new([OrderResult::Lost, OrderResult::Lost, OrderResult::Begun]);
    let result = deliver(&target, &order(), "address").await;
    assert_that!(result, eq(OrderResult::Begun));
    assert_that!(target.attempts(), eq(3));
}

/// Guards against abandoning a group because an order conflicts with an earlier attempt of itself.
#[tokio::test]
async fn a_conflict_after_a_lost_response_leaves_the_result_unknown() {
    let target = ScriptedTarget::new([OrderResult::Lost, OrderResult::Conflict]);
    let result = deliver(&target, &order(), "address").await;
    assert_that!(result, eq(OrderResult::Lost));
}

/// Guards against resending an order after the target has responded.
#[tokio::test]
async fn a_response_ends_the_attempts() {
    for expected in [
        OrderResult::Begun,
        OrderResult::Held,
        OrderResult::Conflict,
        OrderResult::OtherIncarnation,
        OrderResult::Refused,
    ] {
        let target = ScriptedTarget::new([expected]);
        let result = deliver(&target, &order(), "address").await;
        assert_that!(result, eq(expected));
        assert_that!(target.attempts(), eq(1));
    }
}

/// Guards against resending orders to an unreachable target forever, or without a delay.
#[tokio::test]
async fn an_unreachable_target_gets_a_limited_number_of_attempts() {
    let target = ScriptedTarget::new([]);
    let result = deliver(&target, &order(), "address").await;
    assert_that!(result, eq(OrderResult::Lost));
    assert_that!(target.attempts(), all![gt(1), le(5)]);
}
