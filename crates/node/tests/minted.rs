//! Keys that a node mints, which need no platform.

mod support;

use googletest::prelude::*;
use support::{Cluster, Plan};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer kayal-key");

async fn cluster_of(zones: usize) -> Cluster {
    Cluster::start(Plan {
        zones,
        nodes_per_zone: 2,
        engines_per_zone: 0,
        services_per_zone: 1,
        ..Plan::default()
    })
    .await
}

async fn mint(cluster: &Cluster, node: usize) -> String {
    let address = cluster.callers(node);
    let answer = cluster
        .send(&address, "POST", "/v1/keys", &[AUTHORIZATION], "")
        .await;
    let body = answer.expect("an answer").body;
    let reply: serde_json::Value = serde_json::from_str(&body).expect("a reply");
    reply["key"].as_str().expect("a key").to_owned()
}

/// Symptom: billing with keys stood still while the platform was away.
/// Sequence: the platform goes down; a node mints keys; each is sent through all six nodes at once.
/// Cause: every key had to be claimed in the table; a minted one may be begun at one node only.
#[tokio::test(flavor = "multi_thread")]
async fn minted_keys_run_once_without_the_platform() {
    const KEYS: usize = 20;
    let cluster = cluster_of(3).await;
    cluster
        .platform
        .update_faults(|faults| faults.is_down = true);
    let mut answered = 0;
    for round in 0..KEYS {
        let key = mint(&cluster, round % 6).await;
        let calls = (0..6).map(|node| {
            let (cluster, key) = (&cluster, key.as_str());
            async move {
                cluster
                    .call(node, "/bill", &[("idempotency-key", key)])
                    .await
            }
        });
        let answers = futures::future::join_all(calls).await;
        let outcomes = answers.iter().flatten().map(support::Answer::outcome);
        answered += outcomes.filter(|outcome| outcome == "answered").count();
    }
    assert_that!(cluster.calls("/bill"), eq(KEYS));
    assert_that!(answered, eq(KEYS));
}

/// Symptom: a minted key ran again after its node had died.
/// Sequence: a call with a minted key runs; its node is killed and starts anew; the key comes again
/// through both nodes.
/// Cause: the new life took the key for its own; a key is bound to the life that minted it.
#[tokio::test(flavor = "multi_thread")]
async fn minted_key_dies_with_its_node() {
    let mut cluster = cluster_of(1).await;
    let key = mint(&cluster, 0).await;
    let headers = [("idempotency-key", key.as_str())];
    let first = cluster.call(1, "/bill", &headers).await.expect("an answer");
    assert_that!(first.outcome(), eq("answered"));

    cluster.nodes[0].kill();
    let lonely = cluster.call(1, "/bill", &headers).await.expect("an answer");
    assert_that!(lonely.outcome(), eq("unknown"));
    cluster.nodes[0].restart();
    cluster
        .wait("the node is back", async |cluster| {
            cluster.is_ready(0).await
        })
        .await;
    for node in 0..2 {
        let again = cluster
            .call(node, "/bill", &headers)
            .await
            .expect("an answer");
        assert_that!(again.outcome(), eq("unknown"));
    }
    assert_that!(cluster.calls("/bill"), eq(1));
}

/// Symptom: work ran under a key that nobody had minted, or that was forgotten after it ran.
/// Sequence: a key of the right node and life comes that is not in the node's book.
/// Cause: a key that is not known was taken for a new one; it may have run.
#[tokio::test(flavor = "multi_thread")]
async fn minted_key_that_is_not_known_runs_nothing() {
    let cluster = cluster_of(1).await;
    let key = mint(&cluster, 0).await;
    let (life, _) = key.rsplit_once('.').expect("three parts");
    let forged = format!("{life}.1");
    for node in 0..2 {
        let headers = [("idempotency-key", forged.as_str())];
        let answer = cluster
            .call(node, "/bill", &headers)
            .await
            .expect("an answer");
        assert_that!(answer.outcome(), eq("unknown"));
    }
    assert_that!(cluster.calls("/bill"), eq(0));
}

/// Symptom: a stranger ran a caller's request through the nodes' own listener.
/// Sequence: a request is passed on with a wrong credential of the nodes.
/// Cause: the listener trusted the network; it checks before it looks at anything else.
#[tokio::test(flavor = "multi_thread")]
async fn forwarding_needs_the_nodes_credential() {
    let cluster = cluster_of(1).await;
    let address = format!("127.0.0.1:{}", cluster.nodes[0].ports.peers);
    let path = format!("/peer/forward/services/{}/bill", support::SERVICE);
    let headers = [AUTHORIZATION, ("x-peer-token", "wrong")];
    let answer = cluster.send(&address, "POST", &path, &headers, "{}").await;
    assert_that!(answer.expect("an answer").status, eq(401));
    assert_that!(cluster.calls("/bill"), eq(0));
}
