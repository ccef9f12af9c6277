//! Questions of many nodes that are asked of the store once.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use briarswitch_fleet::costs::CostCounters;
use briarswitch_fleet::feed::FeedRelay;
use briarswitch_fleet::feed_doc::FeedAnswerDoc;
use briarswitch_fleet::ports::{
    FeedMark, FeedRequest, FeedResponse, FeedRow, FeedSource, SourceError, SourceFuture,
};
use briarswitch_http::{reply_packed, reply_text, Handler, HttpServer, Request, Response};
use briarswitch_kernel::BootClock;
use briarswitch_membership::{LiveView, Membership, NodeEntry};
use futures::future::{join_all, BoxFuture};
use googletest::prelude::*;
use http::StatusCode;
use tokio::sync::watch;

/// A store that counts its calls and answers after a moment.
struct CountingStore {
    calls: AtomicU32,
    answer: std::result::Result<FeedResponse, SourceError>,
}

impl FeedSource for CountingStore {
    fn changes(&self, _: FeedRequest) -> SourceFuture<'static, FeedResponse> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let answer = self.answer.clone();
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(30)).await;
            answer
        })
    }
}

fn store(answer: std::result::Result<FeedResponse, SourceError>) -> Arc<CountingStore> {
    Arc::new(CountingStore {
        calls: AtomicU32::new(0),
        answer,
    })
}

fn relay_to(store: &Arc<CountingStore>) -> FeedRelay {
    let direct = Arc::clone(store) as Arc<dyn FeedSource>;
    FeedRelay::open(direct, Arc::new(CostCounters::default()))
}

fn mark(version: u64) -> FeedMark {
    FeedMark {
        version,
        ..FeedMark::default()
    }
}

fn changed() -> FeedResponse {
    FeedResponse {
        mark: mark(8),
        rows: vec![FeedRow {
            key: "a".to_owned(),
            value: Some(vec![1, 2]),
        }],
        age: Duration::ZERO,
        is_snapshot: false,
    }
}

fn question() -> FeedRequest {
    FeedRequest {
        table: "t".to_owned(),
        mark: Some(mark(7)),
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
    let store = store(Ok(FeedResponse {
        mark: mark(7),
        ..FeedResponse::default()
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
    let next = FeedRequest {
        mark: Some(mark(8)),
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
        fn changes(&self, _: FeedRequest) -> SourceFuture<'static, FeedResponse> {
            Box::pin(std::future::pending())
        }
    }
    let relay = FeedRelay::open(Arc::new(SilentStore), Arc::new(CostCounters::default()));
    let asked = FeedRequest {
        wait: Duration::ZERO,
        ..question()
    };
    let answer = relay.answer(asked, BootClock::now()).await;
    expect_that!(answer, err(matches_pattern!(SourceError::Unavailable(_))));
}

#[gtest]
#[tokio::test]
async fn a_whole_table_is_read_once_for_all_that_start_together() {
    let store = store(Ok(FeedResponse {
        is_snapshot: true,
        ..changed()
    }));
    let relay = relay_to(&store);
    let whole = FeedRequest {
        mark: None,
        wait: Duration::ZERO,
        ..question()
    };
    let asks = (0..58).map(|_| relay.answer(whole.clone(), BootClock::now()));
    for answer in join_all(asks).await {
        expect_true!(answer.is_ok_and(|answer| answer.is_up_to_date()));
    }
    expect_that!(store.calls.load(Ordering::SeqCst), eq(1));
}

/// What a reader of the zone does with a question.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReaderConduct {
    /// Says that the store has not answered.
    TurnedAway,
    /// Gives no answer.
    Silent,
    /// Answers.
    Answers,
}

/// What happened, in order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FeedEvent {
    /// A reader was asked, the first, the second and so on.
    Asked(usize),
    /// The question to a silent reader was given up.
    GivenUp,
    /// The store was asked.
    StoreAsked,
}

/// Readers that do as they are told in the order in which they are asked, and a store that answers.
struct ZoneScript {
    conducts: Vec<ReaderConduct>,
    events: Mutex<Vec<FeedEvent>>,
}

impl ZoneScript {
    fn note(&self, event: FeedEvent) {
        self.events.lock().expect("the events").push(event);
    }

    fn next_conduct(&self) -> ReaderConduct {
        let mut events = self.events.lock().expect("the events");
        let asked = events
            .iter()
            .filter(|event| matches!(event, FeedEvent::Asked(_)));
        let index = asked.count();
        events.push(FeedEvent::Asked(index + 1));
        self.conducts[index % self.conducts.len()]
    }
}

struct GiveUpNote(Arc<ZoneScript>);

impl Drop for GiveUpNote {
    fn drop(&mut self) {
        self.0.note(FeedEvent::GivenUp);
    }
}

struct ScriptedReader(Arc<ZoneScript>);

impl Handler for ScriptedReader {
    fn handle(&self, _: Request) -> BoxFuture<'_, Response> {
        Box::pin(async {
            match self.0.next_conduct() {
                ReaderConduct::TurnedAway => {
                    return reply_text(StatusCode::SERVICE_UNAVAILABLE, "no answer yet");
                }
                ReaderConduct::Answers => {
                    return reply_packed(StatusCode::OK, &FeedAnswerDoc::from(changed()));
                }
                ReaderConduct::Silent => {}
            }
            let _note = GiveUpNote(Arc::clone(&self.0));
            std::future::pending().await
        })
    }
}

struct ScriptedStore(Arc<ZoneScript>);

impl FeedSource for ScriptedStore {
    fn changes(&self, _: FeedRequest) -> SourceFuture<'static, FeedResponse> {
        self.0.note(FeedEvent::StoreAsked);
        Box::pin(async { Ok(changed()) })
    }
}

/// Asks as a follower in a zone of these readers, and returns what happened.
async fn follow(conducts: &[ReaderConduct], question: FeedRequest) -> Vec<FeedEvent> {
    let script = Arc::new(ZoneScript {
        conducts: conducts.to_vec(),
        events: Mutex::default(),
    });
    let own = NodeEntry {
        node: "follower".to_owned(),
        zone: "z1".to_owned(),
        incarnation: 1,
        ..NodeEntry::default()
    };
    let now = BootClock::now();
    let mut membership = Membership::open(own.clone());
    let (_stop, stopped) = watch::channel(false);
    let mut guards = Vec::new();
    for index in 0..conducts.len() {
        let server = HttpServer::bind("127.0.0.1:0").await.expect("a port");
        let entry = NodeEntry {
            node: format!("reader-{index}"),
            address: server.address().to_string(),
            // Those with more bandwidth read for the zone.
            link_mbps: 1_000,
            ..own.clone()
        };
        membership.learn(&entry, now);
        let reader = Arc::new(ScriptedReader(Arc::clone(&script)));
        guards.push(server.spawn(reader, stopped.clone()));
    }
    let direct = Arc::new(ScriptedStore(Arc::clone(&script)));
    let relay = FeedRelay::open(direct, Arc::new(CostCounters::default()));
    let live = LiveView::of(&membership, now);
    let answer = relay.changes(&live, question).await;
    expect_that!(answer.map(|answer| answer.rows), ok(eq(&changed().rows)));
    let events = script.events.lock().expect("the events");
    events.clone()
}

/// Symptom: a node uses a key 3.0 to 3.2 s after it was taken away.
/// Events: its reader's way to the store falls silent, and the reader says so after its own wait. The next readers are
/// frozen; each costs the time for an answer before the store itself is asked.
/// Cause: waits that are each bounded stood in a row, 1.5 s and twice 0.7 s, and nothing bounded their sum.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn after_two_readers_without_an_answer_the_store_is_not_left_waiting_for_a_third() {
    use ReaderConduct::{Silent, TurnedAway};
    for conducts in [[TurnedAway, Silent, Silent], [Silent, Silent, Silent]] {
        let events = follow(&conducts, question()).await;
        let asked = events
            .iter()
            .position(|event| *event == FeedEvent::StoreAsked);
        let before = &events[..asked.expect("the store is asked")];
        let given_up = before.iter().filter(|event| **event == FeedEvent::GivenUp);
        expect_that!(given_up.count(), le(1), "{conducts:?}: {events:?}");
    }
}

/// Guards against a removed key in use 3.1 s after its removal: a reader whose way to the store has fallen silent costs
/// its followers 1.9 s, and the time of a frozen one after it is not left to waste.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_reader_after_one_that_does_not_reach_the_store_is_not_waited_for() {
    use ReaderConduct::{Silent, TurnedAway};
    let events = follow(&[TurnedAway, Silent, Silent], question()).await;
    let mut before = events
        .iter()
        .take_while(|event| **event != FeedEvent::StoreAsked);
    expect_false!(
        before.any(|event| *event == FeedEvent::GivenUp),
        "{events:?}"
    );
    expect_that!(events, contains(eq(&FeedEvent::StoreAsked)));
}

/// Guards against a second without a configuration after all nodes lost power, when the first reader is up last.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_knows_nothing_asks_the_next_reader_beside_one_that_is_not_up() {
    use ReaderConduct::{Answers, Silent};
    let whole = FeedRequest {
        mark: None,
        ..question()
    };
    for conducts in [&[Silent, Answers][..], &[Silent, Silent, Answers]] {
        let events = follow(conducts, whole.clone()).await;
        let asked: Vec<FeedEvent> = (1..=conducts.len()).map(FeedEvent::Asked).collect();
        expect_that!(events[..asked.len()].to_vec(), eq(&asked), "{conducts:?}");
        expect_that!(
            events,
            not(contains(eq(&FeedEvent::StoreAsked))),
            "{conducts:?}"
        );
    }
}

/// Guards against nodes that never begin when no reader of their zone comes back.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_knows_nothing_asks_the_store_when_no_reader_answers() {
    use ReaderConduct::{Silent, TurnedAway};
    let whole = FeedRequest {
        mark: None,
        ..question()
    };
    for conduct in [Silent, TurnedAway] {
        let events = follow(&[conduct; 3], whole.clone()).await;
        expect_that!(events, contains(eq(&FeedEvent::StoreAsked)), "{conduct:?}");
    }
}
