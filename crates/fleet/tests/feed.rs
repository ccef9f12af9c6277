//! Questions of many nodes that are asked of the store once.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

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

fn changed() -> FeedAnswer {
    FeedAnswer {
        mark: 8,
        rows: vec![FeedRow {
            key: "a".to_owned(),
            value: Some(vec![1, 2]),
        }],
        age: Duration::ZERO,
    }
}

fn question() -> FeedQuestion {
    FeedQuestion {
        table: "t".to_owned(),
        mark: 7,
        wait: Duration::from_millis(500),
    }
}

#[gtest]
#[tokio::test]
async fn what_many_nodes_ask_is_asked_of_the_store_once() {
    let store = store(Ok(changed()));
    let relay = FeedRelay::open(Arc::clone(&store) as Arc<dyn FeedSource>);
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
    let relay = FeedRelay::open(Arc::clone(&store) as Arc<dyn FeedSource>);
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
    let relay = FeedRelay::open(Arc::clone(&store) as Arc<dyn FeedSource>);
    for _ in 0..2 {
        let answer = relay.serve(question(), BootClock::now()).await;
        expect_that!(answer, err(eq(&gone)));
    }
    expect_that!(store.calls.load(Ordering::SeqCst), eq(2));
}
