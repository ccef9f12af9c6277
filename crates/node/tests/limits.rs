//! Fair shares, priorities, rate limits and retry budgets under load, with real node processes.

mod support;

use std::time::{Duration, Instant};

use briarswitch_standins::EngineSettings;
use briarswitch_wire::config::{
    HeaderDoc, KindDoc, OrganisationDoc, RouteDoc, RuleDoc, ThenDoc, ValueDoc, WhenDoc,
};
use googletest::prelude::*;
use support::{organisation, route_rule, Cluster, ClusterSpec, TestResponse, MODEL, SERVICE};

const LARGE: &str = "Bearer large-key";
const SMALL: &str = "Bearer small-key";

/// Starts one node with a single group that takes one request at a time.
async fn narrow_cluster() -> Cluster {
    let plan = ClusterSpec {
        engines_per_zone: 0,
        target_in_flight: 1,
        ..ClusterSpec::default()
    };
    let mut cluster = Cluster::start_unconfigured(&plan).await;
    for index in 0..2 {
        let mut settings = EngineSettings::quick(&format!("kakkanad-gpu-{index}"));
        settings.token_time = Duration::from_millis(2);
        cluster.add_engine("kakkanad", "kakkanad-fabric", settings);
    }
    let cluster = cluster.configured(&plan).await;
    cluster.wait_routable(1).await;
    cluster
}

fn weighted(key: &str, weight: u32) -> ValueDoc {
    let ValueDoc::Organisation(doc) = organisation(key) else {
        panic!("an organisation");
    };
    ValueDoc::Organisation(OrganisationDoc { weight, ..doc })
}

async fn send_chat(
    cluster: &Cluster,
    name: &str,
    headers: &[(&str, &str)],
) -> Option<TestResponse> {
    let mut all = vec![("x-request-id", name), ("x-deadline-ms", "60000")];
    all.extend_from_slice(headers);
    let body = support::chat_body(4, false);
    let path = "/v1/chat/completions";
    cluster
        .send(&cluster.callers(0), "POST", path, &all, &body)
        .await
}

/// Returns the names of the requests in the order in which engines ran them.
fn order_of(cluster: &Cluster) -> Vec<String> {
    let records = cluster
        .engines
        .values()
        .map(|engine| engine.record().executions);
    let mut executions: Vec<_> = records.flatten().collect();
    executions.sort_by_key(|execution| execution.at);
    let names = executions
        .iter()
        .filter_map(|execution| execution.attempt.split('.').next());
    names.map(str::to_owned).collect()
}

/// The requests of a small organisation waited for the whole backlog of a large one, because they
/// were served in order of arrival. Both send far more than one target takes at a time, with
/// weights of three to one, and are to be served by weight while both have a backlog.
#[tokio::test(flavor = "multi_thread")]
async fn service_follows_weights_while_all_wait() {
    let cluster = narrow_cluster().await;
    cluster
        .must_edit(KindDoc::Organisation, "large", weighted("large-key", 3))
        .await;
    cluster
        .must_edit(KindDoc::Organisation, "small", weighted("small-key", 1))
        .await;
    let calls = (0..160).map(|index| {
        let (name, key) = if index < 120 {
            ("large", LARGE)
        } else {
            ("small", SMALL)
        };
        let cluster = &cluster;
        async move { send_chat(cluster, name, &[("authorization", key)]).await }
    });
    let answers = futures::future::join_all(calls).await;
    let answered = answers
        .iter()
        .flatten()
        .filter(|answer| answer.outcome() == "answered");
    assert_that!(answered.count(), eq(160));

    // The first requests run before both have a backlog. In the window both have one: weights of
    // three to one give the small organisation 15 of 60 requests, equal shares would give it 30.
    let order = order_of(&cluster);
    let window = &order[20..80];
    let small = window.iter().filter(|name| *name == "small").count();
    assert_that!(small, all!(ge(10), le(21)));
}

/// Requests that a rule gives a higher priority waited behind a backlog of ordinary ones, because
/// all were in one queue. A higher priority is served first.
#[tokio::test(flavor = "multi_thread")]
async fn higher_priority_goes_first() {
    let cluster = narrow_cluster().await;
    let mut rules = [MODEL, SERVICE].map(route_rule).to_vec();
    rules.insert(
        0,
        RuleDoc {
            name: "fin-first".to_owned(),
            when: WhenDoc {
                header: Some(HeaderDoc {
                    name: "x-task".to_owned(),
                    value: "fin".to_owned(),
                }),
                ..WhenDoc::default()
            },
            then: ThenDoc::Route(RouteDoc {
                deployment: MODEL.to_owned(),
                priority: Some(9),
            }),
        },
    );
    let reply = cluster
        .edit(0, KindDoc::Rules, "main", 4, ValueDoc::Rules(rules))
        .await;
    assert_that!(reply.is_some(), eq(true));
    let key = ("authorization", "Bearer kayal-key");
    let plain = (0..60).map(|_| {
        let cluster = &cluster;
        async move { send_chat(cluster, "plain", &[key]).await }
    });
    let fin = async {
        cluster
            .wait("there is a backlog", async |cluster| {
                let dump: Option<serde_json::Value> =
                    cluster.operator_request(0, "GET", "/v1/dump", "").await;
                dump.is_some_and(|dump| dump["traffic"][0]["queued"].as_u64() > Some(30))
            })
            .await;
        send_chat(&cluster, "fin", &[key, ("x-task", "fin")]).await
    };
    let (_, answer) = futures::future::join(futures::future::join_all(plain), fin).await;
    assert_that!(answer.expect("an answer").outcome(), eq("answered"));
    let order = order_of(&cluster);
    let position = order.iter().position(|name| name == "fin").expect("it ran");
    assert_that!(order.len() - position, gt(20));
}

/// An organisation exceeded its rate limit by calling through several nodes, because each node
/// allowed the whole rate. With six nodes each allows a sixth. Sixty calls are sent at once against
/// a limit of six per second.
#[tokio::test(flavor = "multi_thread")]
async fn rate_holds_in_sum_over_nodes() {
    const RATE: u32 = 6;
    let cluster = Cluster::start(ClusterSpec {
        zones: 3,
        nodes_per_zone: 2,
        engines_per_zone: 0,
        services_per_zone: 1,
        ..ClusterSpec::default()
    })
    .await;
    let limited = ValueDoc::Organisation(OrganisationDoc {
        key_hash: briarswitch_node::auth::key_hash("large-key"),
        weight: 1,
        requests_per_second: Some(RATE),
    });
    let version = cluster
        .must_edit(KindDoc::Organisation, "large", limited)
        .await;
    for node in 0..6 {
        cluster
            .wait("the limit is in force", async |cluster| {
                cluster.version(node).await >= Some(version)
            })
            .await;
    }
    let start = Instant::now();
    let calls = (0..60).map(|index| {
        let cluster = &cluster;
        async move {
            let address = cluster.callers(index % 6);
            let path = format!("/services/{SERVICE}/bill");
            let headers = [("authorization", LARGE)];
            cluster.send(&address, "POST", &path, &headers, "{}").await
        }
    });
    let answers = futures::future::join_all(calls).await;
    let refused = answers
        .iter()
        .flatten()
        .filter(|answer| answer.status == 429);
    let refused: Vec<&TestResponse> = refused.collect();
    // A burst of one second's worth is allowed, and more is allowed as time passes.
    let max_calls = f64::from(RATE) * (1.0 + start.elapsed().as_secs_f64());
    assert_that!(cluster.calls("/bill") as f64, le(max_calls));
    assert_that!(refused.len() + cluster.calls("/bill"), eq(60));
    for answer in refused {
        assert_that!(answer.outcome(), eq("not_run"));
        assert_that!(answer.headers.contains_key("retry-after"), eq(true));
    }
}

/// Retries multiplied the load on overloaded targets: all groups returned errors, and each of two
/// hundred repeatable requests was tried at every group. Retries are limited by a budget that only
/// successful requests replenish.
#[tokio::test(flavor = "multi_thread")]
async fn brown_out_does_not_multiply_load() {
    const REQUESTS: usize = 200;
    const BURST: usize = 20;
    let cluster = Cluster::start(ClusterSpec {
        engines_per_zone: 6,
        replicas_per_zone: 3,
        ..ClusterSpec::default()
    })
    .await;
    for engine in cluster.engines.values() {
        engine.update_faults(|faults| faults.errors = u32::MAX);
    }
    for _ in 0..REQUESTS {
        let answer = cluster.chat(0, 1, false).await.expect("an answer");
        assert_that!(answer.outcome(), eq("unknown"));
    }
    assert_that!(cluster.executions(), le(REQUESTS + BURST));
}
