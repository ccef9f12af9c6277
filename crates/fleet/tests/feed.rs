//! Questions of many nodes that are asked of the store once.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use briarswitch_fleet::costs::CostLedger;
use briarswitch_fleet::feed::FeedRelay;
use briarswitch_fleet::ports::{
    FeedAnswer, FeedQuestion, FeedRow, FeedSource, SourceError, SourceFuture,
};
use briarswitch_kernel::BootClock;
use futures::future::join_all;
use googletest::prelude::*;

/// A store that counts its calls and answers after a moment.
struct CountingStore {
    calls: AtomicU32,
    answer: std::result::Result<FeedAnswer, SourceError>,
}

impl FeedSource for CountingStore {
    fn changes(&self, _: FeedQuestion) -> SourceFuture<'static, FeedAnswer> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let answer = self.answer.clone();
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(30)).await;
            answer
        })
    }
}

fn store(answer: std::result::Result<FeedAnswer, SourceError>) -> Arc<CountingStore> {
    Arc::new(CountingStore {
        calls: AtomicU32::new(0),
        answer,
    })
}

fn relay_to(store: &Arc<CountingStore>) -> FeedRelay {
    let direct = Arc::clone(store) as Arc<dyn FeedSource>;
    FeedRelay::open(direct, Arc::new(CostLedger::default()))
}

fn changed() -> FeedAnswer {
    FeedAnswer {
        mark: 8,
        rows: vec![FeedRow {
            key: "a".to_owned(),
            value: Some(vec![1, 2]),
        }],
        age: Duration::ZERO,
        is_whole: false,
    }
}

fn question() -> FeedQuestion {
    FeedQuestion {
        table: "t".to_owned(),
        mark: Some(7),
        wait: Duration::from_millis(500),
    }
}

#[gtest]
#[tokio::test]
async fn what_many_nodes_ask_is_asked_of_the_store_once() {
    let store = store(Ok(changed()));
    let relay = relay_to(&store);
    let asks = (0..20).map(|_| relay.serve(question(), BootClock::now()));
    for answer in join_all(asks).await {
        expect_that!(answer.map(|answer| answer.rows), ok(eq(&changed().rows)));
    }
    // One that asks the same a little later gets what is known, and is told how old it is.
    let later = BootClock::now() + Duration::from_millis(400);
    let answer = relay.serve(question(), later).await.expect("it is kept");
    expect_that!(answer.age, ge(Duration::from_millis(400)));
    expect_that!(store.calls.load(Ordering::SeqCst), eq(1));
}

/// Symptom: a node asks its reader thousands of times a second.
/// Events: nothing has changed, so the answer leaves the mark where it was, and the node asks the same again.
/// Cause guarded against: giving the kept answer again instead of holding the question open.
#[gtest]
#[tokio::test]
async fn an_answer_without_changes_is_not_given_twice() {
    let store = store(Ok(FeedAnswer {
        mark: 7,
        ..FeedAnswer::default()
    }));
    let relay = relay_to(&store);
    for _ in 0..3 {
        let answer = relay.serve(question(), BootClock::now()).await;
        expect_that!(answer.map(|answer| answer.rows), ok(is_empty()));
    }
    expect_that!(store.calls.load(Ordering::SeqCst), eq(3));
}

/// Symptom: a zone knows nothing new for seconds after the store is back.
/// Events: the store turns a question away; the next one comes when it answers again.
/// Cause guarded against: giving a kept failure to those that ask later.
#[gtest]
#[tokio::test]
async fn a_failure_is_not_kept() {
    let gone = SourceError::Unavailable("down".to_owned());
    let store = store(Err(gone.clone()));
    let relay = relay_to(&store);
    for _ in 0..2 {
        let answer = relay.serve(question(), BootClock::now()).await;
        expect_that!(answer, err(eq(&gone)));
    }
    expect_that!(store.calls.load(Ordering::SeqCst), eq(2));
}

/// Symptom: 81 nodes made 2,400 calls to a store that was away for five seconds.
/// Events: every node asks its reader again and again, and each of those questions is a call of the reader's.
/// Cause guarded against: a reader that sends the next question as soon as one has failed.
#[gtest]
#[tokio::test]
async fn many_questions_while_the_store_is_away_cost_few_calls() {
    let store = store(Err(SourceError::Unavailable("down".to_owned())));
    let relay = relay_to(&store);
    for _ in 0..10 {
        let asks = (0..58).map(|_| relay.serve(question(), BootClock::now()));
        for answer in join_all(asks).await {
            expect_that!(answer, err(anything()));
        }
    }
    expect_that!(store.calls.load(Ordering::SeqCst), le(10));
}

/// Symptom: each of a thousand targets that change costs a call, whatever pause every node makes.
/// Events: followers ask at any time; as soon as an answer has come, one of them asks for what follows.
/// Cause guarded against: a pace that each node keeps for itself.
#[gtest]
#[tokio::test]
async fn held_questions_keep_a_pace_however_many_ask() {
    let store = store(Ok(changed()));
    let relay = relay_to(&store);
    relay.set_pace("t", Duration::from_secs(3_600));
    let first = relay.serve(question(), BootClock::now()).await;
    expect_that!(first, ok(anything()));
    let next = FeedQuestion {
        mark: Some(8),
        wait: Duration::from_millis(20),
        ..question()
    };
    let begun = BootClock::now();
    let asks = (0..20).map(|_| relay.serve(next.clone(), begun));
    join_all(asks).await;
    // Nobody waits longer than it asked to, and all share one call.
    expect_that!(store.calls.load(Ordering::SeqCst), eq(2));
}

/// Symptom: the followers of a reader that does not hear from the store each ask the store as well.
/// Events: the store is silent; the followers' own patience ends and they take their reader for lost.
/// Cause guarded against: a reader that answers nothing while it waits.
#[gtest]
#[tokio::test]
async fn a_reader_says_in_time_that_the_store_is_silent() {
    struct SilentStore;
    impl FeedSource for SilentStore {
        fn changes(&self, _: FeedQuestion) -> SourceFuture<'static, FeedAnswer> {
            Box::pin(std::future::pending())
        }
    }
    let relay = FeedRelay::open(Arc::new(SilentStore), Arc::new(CostLedger::default()));
    let asked = FeedQuestion {
        wait: Duration::ZERO,
        ..question()
    };
    let answer = relay.answer(asked, BootClock::now()).await;
    expect_that!(answer, err(matches_pattern!(SourceError::Unavailable(_))));
}

#[gtest]
#[tokio::test]
async fn a_whole_table_is_read_once_for_all_that_start_together() {
    let store = store(Ok(FeedAnswer {
        is_whole: true,
        ..changed()
    }));
    let relay = relay_to(&store);
    let whole = FeedQuestion {
        mark: None,
        wait: Duration::ZERO,
        ..question()
    };
    let asks = (0..58).map(|_| relay.answer(whole.clone(), BootClock::now()));
    for answer in join_all(asks).await {
        expect_true!(answer.is_ok_and(|answer| answer.is_complete()));
    }
    expect_that!(store.calls.load(Ordering::SeqCst), eq(1));
}
