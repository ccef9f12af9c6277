//! Nodes that are partitioned from all targets, while callers, the store and other nodes reach them.

mod support;

use std::collections::HashMap;
use std::future::Future;
use std::time::{Duration, Instant};

use googletest::prelude::*;

use http::Method;
use support::path::PathState;
use support::platform::TargetListing;
use support::target::HANGING;
use support::{Fleet, TestRequest, GROUP_SERVICE, SERVICE};
use tokio::sync::Mutex;

/// Zones of the nodes: three, two and one, as many as callers of a small deployment need.
const UNEVEN_ZONES: [&str; 6] = ["z1", "z1", "z1", "z2", "z2", "z3"];
/// Zones of the nodes: two in each.
const EVEN_ZONES: [&str; 6] = ["z1", "z1", "z2", "z2", "z3", "z3"];
/// Node that is restarted during partitions.
const RESTARTED_NODE: usize = 4;
/// Time from the beginning of a partition from which the rule holds.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time from the beginning of a partition within which the nodes are expected to work around it.
const DETECTION_TIME: Duration = Duration::from_secs(1);
/// Duration of a partition.
const PARTITION_TIME: Duration = Duration::from_secs(8);
/// Time for which callers call before the first partition and after the last one.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Interval at which each node gets a request of each kind, whether the ones before were answered or not.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a caller gives a request up.
const CALLER_PATIENCE: Duration = Duration::from_millis(1_500);
/// What the callers of each node call: streams of single targets and of groups, idempotent and at-most-once calls.
const PATHS: [&str; 4] = ["/chat/x", "/model/x", "/look/x", "/bill/x"];
/// Partitions that cut streams off.
const ROUNDS: usize = 3;
/// Streams that each of them cuts off.
const STREAMS: usize = 6;
/// Time within which a stream has begun at its target.
const STREAM_TIME: Duration = Duration::from_millis(300);
/// Events of a complete stream.
const STREAM: &str = "id: 1\ndata: token\n\nid: 2\ndata: token\n\nid: 3\ndata: token\n\n";

/// Lets one fleet run at a time, since six nodes and their callers keep several processors busy.
static TURN: Mutex<()> = Mutex::const_new(());

/// A request and what its caller got.
#[derive(Clone, Debug)]
struct CallRecord {
    node: usize,
    path: &'static str,
    body: String,
    sent: Instant,
    status: u16,
    is_served: bool,
}

/// First tries at some nodes, and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct CallCount {
    calls: usize,
    served: usize,
}

impl CallCount {
    fn add(&mut self, record: &CallRecord) {
        self.calls += 1;
        self.served += usize::from(record.is_served);
    }

    fn failed(&self) -> usize {
        self.calls - self.served
    }

    fn rate(&self) -> f64 {
        self.served as f64 / self.calls.max(1) as f64
    }
}

/// Starts five single targets and three groups in three zones.
async fn open(zones: &[&str]) -> Fleet {
    let listing = |service, index: usize| TargetListing {
        service,
        domain: format!("d{}", index % 3),
        zone: format!("z{}", index % 3 + 1),
        ..TargetListing::default()
    };
    let single = (0..5).map(|index| listing(SERVICE, index));
    let groups = (0..3).map(|index| listing(GROUP_SERVICE, index));
    let fleet = Fleet::open_with_paths(single.chain(groups).collect(), zones).await;
    for node in 0..zones.len() {
        for path in PATHS {
            let request = TestRequest {
                path,
                ..TestRequest::chat("hello")
            };
            fleet.wait_until_served(node, request).await;
        }
    }
    fleet
}

/// Sends a request to a node and records what its caller got.
async fn call(fleet: &Fleet, node: usize, path: &'static str, count: u32) -> CallRecord {
    let body = format!("{node}{path}-{count}");
    let sent = Instant::now();
    let request = TestRequest {
        path,
        body: &body,
        ..TestRequest::chat("")
    };
    let answered = tokio::time::timeout(CALLER_PATIENCE, fleet.request(node, request)).await;
    let response = answered.ok();
    CallRecord {
        node,
        path,
        sent,
        status: response.as_ref().map_or(0, |response| response.status),
        is_served: response.is_some_and(|response| response.is_served() && response.body == STREAM),
        body,
    }
}

/// Sends requests for these paths to all nodes for `time`, while `play` runs.
async fn call_during<F>(
    fleet: &Fleet,
    paths: &[&'static str],
    time: Duration,
    play: F,
) -> Vec<CallRecord>
where
    F: Future<Output = ()>,
{
    let rounds = time.as_millis() / CALL_INTERVAL.as_millis();
    let calls = (0..rounds as u32).flat_map(|round| {
        let nodes = 0..fleet.nodes.len();
        nodes.flat_map(move |node| paths.iter().map(move |path| (round, node, *path)))
    });
    let calls = calls.map(|(round, node, path)| async move {
        tokio::time::sleep(CALL_INTERVAL * round).await;
        call(fleet, node, path, round).await
    });
    let (records, ()) = futures::future::join(futures::future::join_all(calls), play).await;
    records
}

/// Counts the first tries sent from `after` to the end of a partition that began at `begun`, but so early that it
/// lasted for as long as their callers, at the nodes that were
/// partitioned and at the others.
fn counts(
    records: &[CallRecord],
    cut: &[usize],
    begun: Instant,
    after: Duration,
) -> (CallCount, CallCount) {
    let mut counted = (CallCount::default(), CallCount::default());
    let sent = begun + after..begun + PARTITION_TIME - CALLER_PATIENCE;
    for record in records.iter().filter(|record| sent.contains(&record.sent)) {
        if cut.contains(&record.node) {
            counted.0.add(record);
        } else {
            counted.1.add(record);
        }
    }
    counted
}

/// Checks that callers of partitioned nodes were served nearly as often as those of the others.
fn check_served(records: &[CallRecord], cut: &[usize], begun: Instant) {
    let (there, elsewhere) = counts(records, cut, begun, CONTACT_TIME);
    let rule = elsewhere.rate() * 2.0 / 3.0;
    expect_that!(there.calls, gt(0));
    expect_that!(there.rate(), ge(rule), "{there:?}, {elsewhere:?}");
    let all = there.calls + elsewhere.calls;
    expect_that!(there.failed(), le(10 + all / 50), "of {all}");
    let (there, elsewhere) = counts(records, cut, begun, DETECTION_TIME);
    expect_that!(
        there.rate(),
        ge(elsewhere.rate() * 0.9),
        "{there:?}, {elsewhere:?}"
    );
}

/// Checks that no at-most-once call ran twice, and that none ran whose caller was told that it had not.
fn check_runs(fleet: &Fleet, records: &[CallRecord]) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in fleet.targets.iter().flat_map(|target| target.runs()) {
        *runs.entry(run.body).or_default() += 1;
    }
    for record in records.iter().filter(|record| record.path == "/bill/x") {
        let count = runs.get(&record.body).copied().unwrap_or_default();
        expect_that!(count, le(1), "{record:?}");
        if matches!(record.status, 503 | 429 | 408 | 421) {
            expect_that!(count, eq(0), "{record:?}");
        }
    }
}

/// Partitions some nodes for [`PARTITION_TIME`] and checks what their callers got.
async fn check_partition(zones: &[&str], cut: &[usize], state: PathState) {
    let _turn = TURN.lock().await;
    let fleet = open(zones).await;
    let begun = Instant::now() + CALM_TIME;
    let time = PARTITION_TIME + CALM_TIME * 2;
    let records = call_during(&fleet, &PATHS, time, async {
        tokio::time::sleep(CALM_TIME).await;
        cut.iter().for_each(|node| fleet.set_paths(*node, state));
        tokio::time::sleep(PARTITION_TIME).await;
        cut.iter()
            .for_each(|node| fleet.set_paths(*node, PathState::Open));
    })
    .await;
    check_served(&records, cut, begun);
    check_runs(&fleet, &records);
}

/// Guards against partitions that are remembered, or missed, when they come twice and among other failures.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_in_partitions_that_overlap_with_a_restart_a_crash_and_an_evacuation() {
    let _turn = TURN.lock().await;
    let fleet = open(&UNEVEN_ZONES).await;
    let partitions = [
        (vec![0, 2, 3], PathState::Silent),
        (vec![0, 5], PathState::Reset),
    ];
    let begun = Instant::now() + CALM_TIME;
    let pause = PARTITION_TIME + CALM_TIME;
    let records = call_during(&fleet, &PATHS, pause * 2 + CALM_TIME, async {
        tokio::time::sleep(CALM_TIME).await;
        for (cut, state) in &partitions {
            cut.iter().for_each(|node| fleet.set_paths(*node, *state));
            fleet.targets[0].crash();
            fleet.platform.set_evacuated("z3", true);
            fleet.start(RESTARTED_NODE).await;
            tokio::time::sleep(PARTITION_TIME / 2).await;
            fleet.platform.set_evacuated("z3", false);
            tokio::time::sleep(PARTITION_TIME / 2).await;
            cut.iter()
                .for_each(|node| fleet.set_paths(*node, PathState::Open));
            tokio::time::sleep(CALM_TIME).await;
        }
    })
    .await;
    check_runs(&fleet, &records);
    let mut records = records;
    records.retain(|record| record.node != RESTARTED_NODE);
    for (index, (cut, _)) in partitions.iter().enumerate() {
        check_served(&records, cut, begun + pause * index as u32);
    }
}

/// Guards against healthy targets that nodes exclude because nodes without a path to any target suspect them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_nodes_that_reach_the_targets_are_served_as_before_while_others_are_partitioned()
{
    let cut = [0, 1, 2, 4];
    let _turn = TURN.lock().await;
    let fleet = open(&EVEN_ZONES).await;
    let begun = Instant::now() + CALM_TIME;
    let records = call_during(&fleet, &["/model/x"], PARTITION_TIME + CALM_TIME, async {
        tokio::time::sleep(CALM_TIME).await;
        cut.iter()
            .for_each(|node| fleet.set_paths(*node, PathState::Silent));
        tokio::time::sleep(PARTITION_TIME).await;
    })
    .await;
    let (_, elsewhere) = counts(&records, &cut, begun, Duration::ZERO);
    expect_that!(
        elsewhere.failed(),
        le(elsewhere.calls / 50),
        "{elsewhere:?}"
    );
}

/// Guards against nodes without a path to any target that keep their callers' requests to themselves.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_nodes_whose_connections_to_all_targets_hang_are_served() {
    check_partition(&UNEVEN_ZONES, &[0, 2, 3], PathState::Silent).await;
}

/// Guards against nodes that take resets of all their connections for the ends of all targets.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_nodes_whose_connections_to_all_targets_are_reset_are_served() {
    check_partition(&EVEN_ZONES, &[0, 2, 4], PathState::Reset).await;
}

/// Guards against nodes that take live connections for a path on which new requests can be sent.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_nodes_whose_new_connections_are_refused_are_served() {
    check_partition(&UNEVEN_ZONES, &[1, 4, 5], PathState::Refusing).await;
}

/// Guards against nodes that look for help in their own zone alone.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_zone_that_reaches_no_target_are_served() {
    check_partition(&UNEVEN_ZONES, &[0, 1, 2], PathState::Silent).await;
}

/// Returns how many crashes of targets a node has counted.
async fn counted_crashes(fleet: &Fleet, node: usize) -> usize {
    let metrics = fleet.operator_request(node, Method::GET, "/metrics").await;
    let lines = metrics.body.lines();
    lines.filter(|line| line.starts_with("target_ends")).count()
}

/// Guards against requests that are blamed for crashes of targets when a partition resets their connections.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_a_partition_cuts_off_are_not_blamed_for_crashes_of_their_targets() {
    let _turn = TURN.lock().await;
    let fleet = open(&["z1", "z1"]).await;
    let mut served = 0;
    for _ in 0..ROUNDS {
        let streams = (0..STREAMS).map(|index| {
            let body = format!("{HANGING}-{index}");
            let fleet = &fleet;
            async move { fleet.request(0, TestRequest::chat(&body)).await }
        });
        let cut = async {
            tokio::time::sleep(STREAM_TIME).await;
            fleet.set_paths(0, PathState::Down);
        };
        // Paths are cut one after the other, so a stream may use up its second attempt on the last one.
        let (responses, ()) = futures::future::join(futures::future::join_all(streams), cut).await;
        let responses = responses.iter();
        served += responses.filter(|response| response.is_served()).count();
        tokio::time::sleep(DETECTION_TIME).await;
        fleet.set_paths(0, PathState::Open);
        tokio::time::sleep(DETECTION_TIME * 2).await;
    }
    expect_that!(served, ge(ROUNDS * STREAMS * 2 / 3));
    for node in 0..2 {
        expect_that!(counted_crashes(&fleet, node).await, eq(0), "node {node}");
    }
}
