//! Requests for the store's tables that many nodes share.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use briarswitch_fleet::costs::CostCounters;
use briarswitch_fleet::feed::FeedRelay;
use briarswitch_fleet::feed_doc::FeedResponseDoc;
use briarswitch_fleet::ports::{
    FeedMark, FeedRequest, FeedResponse, FeedRow, FeedSource, SourceError, SourceFuture,
};
use briarswitch_http::{reply_msgpack, reply_text, Handler, HttpServer, Request, Response};
use briarswitch_kernel::BootClock;
use briarswitch_membership::{LiveView, Membership, NodeEntry};
use futures::future::{join_all, BoxFuture};
use googletest::prelude::*;
use http::StatusCode;
use tokio::sync::watch;

/// A store that counts its calls and responds after a delay.
struct CountingStore {
    calls: AtomicU32,
    response: std::result::Result<FeedResponse, SourceError>,
}

impl FeedSource for CountingStore {
    fn changes(&self, _: FeedRequest) -> SourceFuture<'static, FeedResponse> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let response = self.response.clone();
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(30)).await;
            response
        })
    }
}

fn store(response: std::result::Result<FeedResponse, SourceError>) -> Arc<CountingStore> {
    Arc::new(CountingStore {
        calls: AtomicU32::new(0),
        response,
    })
}

fn relay_to(store: &Arc<CountingStore>) -> FeedRelay {
    let direct = Arc::clone(store) as Arc<dyn FeedSource>;
    FeedRelay::new(direct, Arc::new(CostCounters::default()))
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

fn request() -> FeedRequest {
    FeedRequest {
        table: "t".to_owned(),
        mark: Some(mark(7)),
        wait: Duration::from_millis(500),
    }
}

#[gtest]
#[tokio::test]
async fn identical_requests_share_one_call() {
    let store = store(Ok(changed()));
    let relay = relay_to(&store);
    let requests = (0..20).map(|_| relay.request_store(request(), BootClock::now()));
    for response in join_all(requests).await {
        expect_that!(
            response.map(|response| response.rows),
            ok(eq(&changed().rows))
        );
    }
    // An identical request a little later gets the cached response with its age.
    let later = BootClock::now() + Duration::from_millis(400);
    let response = relay
        .request_store(request(), later)
        .await
        .expect("it is cached");
    expect_that!(response.age, ge(Duration::from_millis(400)));
    expect_that!(store.calls.load(Ordering::SeqCst), eq(1));
}

/// Guards against a node that polls its reader in a tight loop: when nothing has changed, the mark
/// stays the same and the node repeats its request. If it got the cached response, instead of a new
/// long poll, it would send thousands of requests per second.
#[gtest]
#[tokio::test]
async fn a_response_without_changes_is_not_reused() {
    let store = store(Ok(FeedResponse {
        mark: mark(7),
        ..FeedResponse::default()
    }));
    let relay = relay_to(&store);
    for _ in 0..3 {
        let response = relay.request_store(request(), BootClock::now()).await;
        expect_that!(response.map(|response| response.rows), ok(is_empty()));
    }
    expect_that!(store.calls.load(Ordering::SeqCst), eq(3));
}

/// Guards against a zone that receives no updates for seconds after the store is back, because the
/// failure of an earlier request is cached and returned to later ones.
#[gtest]
#[tokio::test]
async fn a_failure_is_not_cached() {
    let unavailable = SourceError::Unavailable("down".to_owned());
    let store = store(Err(unavailable.clone()));
    let relay = relay_to(&store);
    for _ in 0..2 {
        let response = relay.request_store(request(), BootClock::now()).await;
        expect_that!(response, err(eq(&unavailable)));
    }
    expect_that!(store.calls.load(Ordering::SeqCst), eq(2));
}

/// Guards against nodes that flood a store that is down; 81 nodes made 2,400 calls in five seconds.
/// Every node retries at its reader, and a reader without a delay after a failure turns each of
/// those requests into a call.
#[gtest]
#[tokio::test]
async fn many_requests_while_the_store_is_down_cost_few_calls() {
    let store = store(Err(SourceError::Unavailable("down".to_owned())));
    let relay = relay_to(&store);
    for _ in 0..10 {
        let requests = (0..58).map(|_| relay.request_store(request(), BootClock::now()));
        for response in join_all(requests).await {
            expect_that!(response, err(anything()));
        }
    }
    expect_that!(store.calls.load(Ordering::SeqCst), le(10));
}

/// Guards against one call for each of a thousand changing targets. Followers send requests at any
/// time, and one of them asks for the next change as soon as a response has arrived, so an interval
/// that each node keeps by itself does not limit the calls.
#[gtest]
#[tokio::test]
async fn long_polls_keep_their_interval_however_many_nodes_poll() {
    let store = store(Ok(changed()));
    let relay = relay_to(&store);
    relay.set_min_interval("t", Duration::from_secs(3_600));
    let first = relay.request_store(request(), BootClock::now()).await;
    expect_that!(first, ok(anything()));
    let next = FeedRequest {
        mark: Some(mark(8)),
        wait: Duration::from_millis(20),
        ..request()
    };
    let started_at = BootClock::now();
    let requests = (0..20).map(|_| relay.request_store(next.clone(), started_at));
    join_all(requests).await;
    // No request waits longer than it asked for, and all share one call.
    expect_that!(store.calls.load(Ordering::SeqCst), eq(2));
}

/// Guards against followers that call the store themselves because their reader does not respond
/// while it waits for a silent store, so that their time-out ends and they take the reader for
/// failed.
#[gtest]
#[tokio::test]
async fn a_reader_reports_in_time_that_the_store_is_silent() {
    struct SilentStore;
    impl FeedSource for SilentStore {
        fn changes(&self, _: FeedRequest) -> SourceFuture<'static, FeedResponse> {
            Box::pin(std::future::pending())
        }
    }
    let relay = FeedRelay::new(Arc::new(SilentStore), Arc::new(CostCounters::default()));
    let request = FeedRequest {
        wait: Duration::ZERO,
        ..request()
    };
    let response = relay.respond(request, BootClock::now()).await;
    expect_that!(
        response.map(|_| ()),
        err(matches_pattern!(SourceError::Unavailable(_)))
    );
}

#[gtest]
#[tokio::test]
async fn a_full_table_is_read_once_for_nodes_that_start_together() {
    let store = store(Ok(FeedResponse {
        is_snapshot: true,
        ..changed()
    }));
    let relay = relay_to(&store);
    let full_table = FeedRequest {
        mark: None,
        wait: Duration::ZERO,
        ..request()
    };
    let requests = (0..58).map(|_| relay.respond(full_table.clone(), BootClock::now()));
    for response in join_all(requests).await {
        let response = response.map(|doc| FeedResponse::try_from(doc).expect("rows"));
        expect_true!(response.is_ok_and(|response| response.is_up_to_date()));
    }
    expect_that!(store.calls.load(Ordering::SeqCst), eq(1));
}

/// Time from the last read that confirmed a table until its history is gone.
const CONFIRMED_BEFORE: Duration = Duration::from_millis(30);

/// A store that keeps no history; its whole table has the given version.
struct ForgetfulStore {
    calls: AtomicU32,
    version: u64,
    keys: &'static [&'static str],
}

impl ForgetfulStore {
    fn table(&self) -> FeedResponse {
        let rows = self.keys.iter().map(|key| FeedRow {
            key: (*key).to_owned(),
            value: Some(vec![1]),
        });
        FeedResponse {
            mark: mark(self.version),
            rows: rows.collect(),
            age: Duration::ZERO,
            is_snapshot: true,
        }
    }
}

/// A store whose first whole table is `first`, and that then forgets its history and has `second`.
struct TwoStores {
    first: ForgetfulStore,
    second: ForgetfulStore,
}

impl FeedSource for TwoStores {
    fn changes(&self, request: FeedRequest) -> SourceFuture<'static, FeedResponse> {
        let is_first = self.first.calls.fetch_add(1, Ordering::SeqCst) == 0;
        let response = match request.mark {
            None if is_first => Ok(self.first.table()),
            None => Ok(self.second.table()),
            Some(_) => Err(SourceError::HistoryGone),
        };
        Box::pin(async { response })
    }
}

/// Lets a relay read the whole table at version 7, and then 58 nodes ask for changes of a store that has forgotten its
/// history; returns their responses and the number of calls that these cost.
async fn responses_without_history(
    version: u64,
    keys: &'static [&'static str],
) -> (Vec<FeedResponse>, u32) {
    let forgetful = |version, keys| ForgetfulStore {
        calls: AtomicU32::new(0),
        version,
        keys,
    };
    let store = Arc::new(TwoStores {
        first: forgetful(7, &["a", "b"]),
        second: forgetful(version, keys),
    });
    let direct = Arc::clone(&store) as Arc<dyn FeedSource>;
    let relay = FeedRelay::new(direct, Arc::new(CostCounters::default()));
    let whole = FeedRequest {
        mark: None,
        ..request()
    };
    let first = relay.request_store(whole, BootClock::now()).await;
    expect_that!(first, ok(anything()));
    tokio::time::sleep(CONFIRMED_BEFORE).await;
    let requests = (0..58).map(|_| relay.respond(request(), BootClock::now()));
    let responses = join_all(requests).await;
    let docs = responses
        .into_iter()
        .map(|doc| doc.expect("every node gets changes"));
    let responses = docs.map(|doc| FeedResponse::try_from(doc).expect("rows"));
    let calls = store.first.calls.load(Ordering::SeqCst) - 1;
    (responses.collect(), calls)
}

/// Guards against every node of a zone reading the whole table, half a kilobyte for each target, whenever the store
/// forgets its history: with 985 nodes that made more calls in seconds than a quiet day.
#[gtest]
#[tokio::test]
async fn a_forgotten_history_costs_one_read_however_many_nodes_ask() {
    let (responses, calls) = responses_without_history(9, &["b", "c"]).await;
    let row = |key: &str, value| FeedRow {
        key: key.to_owned(),
        value,
    };
    for response in responses {
        expect_that!(response.mark, eq(mark(9)));
        expect_false!(response.is_snapshot);
        let expected = [row("c", Some(vec![1])), row("a", None)];
        expect_that!(response.rows, eq(&expected));
    }
    expect_that!(calls, eq(2));
}

/// Guards against an old table that a store returns being taken for news: targets would come back that are gone, and
/// removed keys would count as confirmed.
#[gtest]
#[tokio::test]
async fn a_table_that_is_older_than_what_is_known_changes_and_confirms_nothing() {
    let (responses, _) = responses_without_history(3, &["a"]).await;
    for response in responses {
        expect_that!(response.mark, eq(mark(7)));
        expect_that!(response.rows, is_empty());
        expect_that!(response.age, ge(CONFIRMED_BEFORE));
    }
}

/// Returns the directory entry of one of many targets, as a service with short names writes it.
fn target_row(index: usize) -> FeedRow {
    let value = format!(
        "{{\"service\":\"lm-1\",\"address\":\"10.4.{}.{}:8080\",\"zone\":\"z{}\",\"version\":\"v1\",\"slots\":22,\
         \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"colocated\",\"models\":[{{\"name\":\"model-a\",\
         \"version\":1,\"adapters\":[]}}],\"sequence\":2,\"domain\":\"d{}\",\"staged\":[\"model-a\"],\"group\":{{\
         \"name\":\"n{}-1-{:x}\",\"epoch\":{},\"rank\":{},\"state\":\"open\"}}}}",
        index / 250,
        index % 250,
        index % 5,
        index / 73,
        index / 32,
        (index / 32) * 7_919,
        1_000_000 + index / 32,
        index % 32,
    );
    FeedRow {
        key: format!("i-{:010x}", index * 104_729),
        value: Some(value.into_bytes()),
    }
}

/// Guards against a list of targets that takes longer on a slow link than a node that starts waits for its reader, so
/// that all nodes read it from the store at once: 985 lists of 2 MB.
#[gtest]
fn a_list_of_all_targets_passes_a_slow_link_before_the_next_reader_is_asked() {
    const LINK_BYTES_PER_SECOND: f64 = 20e6 / 8.0;
    let rows: Vec<FeedRow> = (0..3_303).map(target_row).collect();
    let response = FeedResponse {
        rows,
        is_snapshot: true,
        ..FeedResponse::default()
    };
    let doc = FeedResponseDoc::from(&response);
    let bytes = briarswitch_http::encode_msgpack(&doc).expect("encodable");
    expect_that!(bytes.len() as f64 / LINK_BYTES_PER_SECOND, le(0.15));
    expect_that!(
        FeedResponse::try_from(doc).expect("rows").rows,
        eq(&response.rows)
    );
}

/// What a reader of the zone does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReaderBehavior {
    /// Says that the store has not responded.
    Unavailable,
    /// Never responds.
    Silent,
    /// Responds with changes.
    Responds,
}

/// An event of a test; events are recorded in order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FeedEvent {
    /// A reader received a request; they are counted from one.
    ReaderCalled(usize),
    /// The request to a silent reader was cancelled.
    Cancelled,
    /// The store received a request.
    StoreCalled,
}

/// Readers that behave as scripted, in the order in which they receive requests, and a store that
/// responds.
struct ZoneScript {
    behaviors: Vec<ReaderBehavior>,
    events: Mutex<Vec<FeedEvent>>,
}

impl ZoneScript {
    fn record(&self, event: FeedEvent) {
        self.events.lock().expect("the events").push(event);
    }

    fn next_behavior(&self) -> ReaderBehavior {
        let mut events = self.events.lock().expect("the events");
        let called = events
            .iter()
            .filter(|event| matches!(event, FeedEvent::ReaderCalled(_)));
        let index = called.count();
        events.push(FeedEvent::ReaderCalled(index + 1));
        self.behaviors[index % self.behaviors.len()]
    }
}

struct CancelRecorder(Arc<ZoneScript>);

impl Drop for CancelRecorder {
    fn drop(&mut self) {
        self.0.record(FeedEvent::Cancelled);
    }
}

struct ScriptedReader(Arc<ZoneScript>);

impl Handler for ScriptedReader {
    fn handle(&self, _: Request) -> BoxFuture<'_, Response> {
        Box::pin(async {
            match self.0.next_behavior() {
                ReaderBehavior::Unavailable => {
                    return reply_text(StatusCode::SERVICE_UNAVAILABLE, "no answer yet");
                }
                ReaderBehavior::Responds => {
                    return reply_msgpack(StatusCode::OK, &FeedResponseDoc::from(&changed()));
                }
                ReaderBehavior::Silent => {}
            }
            let _recorder = CancelRecorder(Arc::clone(&self.0));
            std::future::pending().await
        })
    }
}

struct ScriptedStore(Arc<ZoneScript>);

impl FeedSource for ScriptedStore {
    fn changes(&self, _: FeedRequest) -> SourceFuture<'static, FeedResponse> {
        self.0.record(FeedEvent::StoreCalled);
        Box::pin(async { Ok(changed()) })
    }
}

/// Sends a request as a follower in a zone with these readers, and returns the events.
async fn follow(behaviors: &[ReaderBehavior], request: FeedRequest) -> Vec<FeedEvent> {
    let script = Arc::new(ZoneScript {
        behaviors: behaviors.to_vec(),
        events: Mutex::default(),
    });
    let own = NodeEntry {
        node: "follower".to_owned(),
        zone: "z1".to_owned(),
        incarnation: 1,
        ..NodeEntry::default()
    };
    let now = BootClock::now();
    let mut membership = Membership::new(own.clone());
    let (_stop, stopped) = watch::channel(false);
    let mut guards = Vec::new();
    for index in 0..behaviors.len() {
        let server = HttpServer::bind("127.0.0.1:0").await.expect("a port");
        let entry = NodeEntry {
            node: format!("reader-{index}"),
            address: server.address().to_string(),
            // Nodes with more bandwidth become readers of the zone.
            link_mbps: 1_000,
            ..own.clone()
        };
        membership.add_node(&entry, now);
        let reader = Arc::new(ScriptedReader(Arc::clone(&script)));
        guards.push(server.spawn(reader, stopped.clone()));
    }
    let direct = Arc::new(ScriptedStore(Arc::clone(&script)));
    let relay = FeedRelay::new(direct, Arc::new(CostCounters::default()));
    let live = LiveView::from_membership(&membership, now);
    let response = relay.changes(&live, request).await;
    expect_that!(
        response.map(|response| response.rows),
        ok(eq(&changed().rows))
    );
    let events = script.events.lock().expect("the events");
    events.clone()
}

/// Guards against a revoked key that is still accepted 3.0 to 3.2 s after its removal.
///
/// A reader's connection to the store falls silent, and the reader says so only after its own wait;
/// the next readers are frozen, and each costs a time-out before the store itself is called. The
/// waits were bounded one by one, 1.5 s and twice 0.7 s, but their sum was not.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn at_most_one_reader_times_out_before_the_store_is_called() {
    use ReaderBehavior::{Silent, Unavailable};
    for behaviors in [[Unavailable, Silent, Silent], [Silent, Silent, Silent]] {
        let events = follow(&behaviors, request()).await;
        let called = events
            .iter()
            .position(|event| *event == FeedEvent::StoreCalled);
        let before = &events[..called.expect("the store is called")];
        let cancelled = before
            .iter()
            .filter(|event| **event == FeedEvent::Cancelled);
        expect_that!(cancelled.count(), le(1), "{behaviors:?}: {events:?}");
    }
}

/// Guards against a revoked key that is still accepted 3.1 s after its removal: a reader whose
/// connection to the store has fallen silent costs its followers 1.9 s, so they must not also wait
/// for the time-out of a frozen reader after it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_reader_is_hedged_after_one_that_does_not_reach_the_store() {
    use ReaderBehavior::{Silent, Unavailable};
    let events = follow(&[Unavailable, Silent, Silent], request()).await;
    let mut before = events
        .iter()
        .take_while(|event| **event != FeedEvent::StoreCalled);
    expect_false!(
        before.any(|event| *event == FeedEvent::Cancelled),
        "{events:?}"
    );
    expect_that!(events, contains(eq(&FeedEvent::StoreCalled)));
}

/// Guards against a second without a configuration after a power loss of all nodes, when the first
/// reader is the last to be up again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_full_table_request_is_hedged_with_the_next_reader() {
    use ReaderBehavior::{Responds, Silent};
    let full_table = FeedRequest {
        mark: None,
        ..request()
    };
    for behaviors in [&[Silent, Responds][..], &[Silent, Silent, Responds]] {
        let events = follow(behaviors, full_table.clone()).await;
        let calls: Vec<FeedEvent> = (1..=behaviors.len()).map(FeedEvent::ReaderCalled).collect();
        expect_that!(events[..calls.len()].to_vec(), eq(&calls), "{behaviors:?}");
        expect_that!(
            events,
            not(contains(eq(&FeedEvent::StoreCalled))),
            "{behaviors:?}"
        );
    }
}

/// Guards against nodes that never start to serve when no reader of their zone is up again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_full_table_is_read_from_the_store_when_no_reader_responds() {
    use ReaderBehavior::{Silent, Unavailable};
    let full_table = FeedRequest {
        mark: None,
        ..request()
    };
    for behavior in [Silent, Unavailable] {
        let events = follow(&[behavior; 3], full_table.clone()).await;
        expect_that!(
            events,
            contains(eq(&FeedEvent::StoreCalled)),
            "{behavior:?}"
        );
    }
}

/// A store whose client panics once.
#[derive(Default)]
struct FaultyStore {
    calls: AtomicU32,
}

impl FeedSource for FaultyStore {
    fn changes(&self, _: FeedRequest) -> SourceFuture<'static, FeedResponse> {
        let call = self.calls.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            assert!(call > 0, "a fault of the test");
            Ok(changed())
        })
    }
}

/// Guards against a panic in one read of the store that ends all reads of a node for as long as it runs.
#[gtest]
#[tokio::test]
async fn a_panic_in_a_read_ends_only_that_read() {
    let store: Arc<dyn FeedSource> = Arc::new(FaultyStore::default());
    let relay = FeedRelay::new(store, Arc::new(CostCounters::default()));
    let request = |table: &str| FeedRequest {
        table: table.to_owned(),
        mark: None,
        wait: Duration::ZERO,
    };
    let first = relay.request_store(request("a"), BootClock::now()).await;
    expect_that!(first, err(anything()));
    for table in ["b", "a"] {
        let later = relay.request_store(request(table), BootClock::now()).await;
        expect_that!(later, ok(anything()), "{table}");
    }
}
