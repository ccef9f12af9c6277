//! Orders whose answers are lost.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::order::{OrderResult, TargetAction, TargetOrder};
use briarswitch_fleet::order_sender::deliver;
use briarswitch_fleet::ports::{ReportError, TargetControl, TargetReport};
use futures::future::BoxFuture;
use googletest::prelude::*;

/// A target that says to each sending what it was told to say, and nothing to those after.
struct ScriptedTarget {
    answers: Mutex<VecDeque<OrderResult>>,
    sendings: Mutex<usize>,
}

impl ScriptedTarget {
    fn open(answers: impl IntoIterator<Item = OrderResult>) -> Self {
        Self {
            answers: Mutex::new(answers.into_iter().collect()),
            sendings: Mutex::new(0),
        }
    }

    fn sendings(&self) -> usize {
        *self.sendings.lock().unwrap_or_else(PoisonError::into_inner)
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
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        let answer = answers.pop_front().unwrap_or(OrderResult::Lost);
        *self.sendings.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        Box::pin(async move { answer })
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

/// Guards against groups that form seconds late because each lost answer is waited for in full.
#[tokio::test]
async fn an_order_that_is_not_answered_is_sent_again() {
    let target = ScriptedTarget::open([OrderResult::Lost, OrderResult::Lost, OrderResult::Begun]);
    let result = deliver(&target, &order(), "address").await;
    assert_that!(result, eq(OrderResult::Begun));
    assert_that!(target.sendings(), eq(3));
}

/// Guards against a group that is given up for a conflict with an order of its own.
#[tokio::test]
async fn a_conflict_after_a_lost_answer_leaves_the_outcome_open() {
    let target = ScriptedTarget::open([OrderResult::Lost, OrderResult::Conflict]);
    let result = deliver(&target, &order(), "address").await;
    assert_that!(result, eq(OrderResult::Lost));
}

/// Guards against orders that are sent again though the target has answered.
#[tokio::test]
async fn an_answer_ends_the_sending() {
    for answer in [
        OrderResult::Begun,
        OrderResult::Held,
        OrderResult::Conflict,
        OrderResult::Gone,
        OrderResult::Refused,
    ] {
        let target = ScriptedTarget::open([answer]);
        let result = deliver(&target, &order(), "address").await;
        assert_that!(result, eq(answer));
        assert_that!(target.sendings(), eq(1));
    }
}

/// Guards against a target out of reach that is sent orders without end, or without a pause.
#[tokio::test]
async fn a_target_that_never_answers_is_sent_a_few() {
    let target = ScriptedTarget::open([]);
    let result = deliver(&target, &order(), "address").await;
    assert_that!(result, eq(OrderResult::Lost));
    assert_that!(target.sendings(), all![gt(1), le(5)]);
}
