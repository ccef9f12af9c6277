//! Idempotency keys minted by a node, which are checked without the platform.

mod support;

use googletest::prelude::*;
use support::{Cluster, ClusterSpec};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer kayal-key");

async fn cluster_of(zones: usize) -> Cluster {
    Cluster::start(ClusterSpec {
        zones,
        nodes_per_zone: 2,
        engines_per_zone: 0,
        services_per_zone: 1,
        ..ClusterSpec::default()
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

/// Guards against requests with minted keys failing during a platform outage, as they would if each
/// key had to be claimed in the table. Each key is sent through all six nodes at once while the
/// platform is down, and must run exactly once, at the node that minted it.
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
                    .call_service(node, "/bill", &[("idempotency-key", key)])
                    .await
            }
        });
        let answers = futures::future::join_all(calls).await;
        let outcomes = answers.iter().flatten().map(support::TestResponse::outcome);
        answered += outcomes.filter(|outcome| outcome == "answered").count();
    }
    assert_that!(cluster.calls("/bill"), eq(KEYS));
    assert_that!(answered, eq(KEYS));
}

/// Guards against a minted key running a second time after its node was killed and restarted. A key
/// is valid only for the incarnation that minted it, so the repeated key gets `unknown` through
/// both nodes.
#[tokio::test(flavor = "multi_thread")]
async fn minted_key_expires_with_its_incarnation() {
    let mut cluster = cluster_of(1).await;
    let key = mint(&cluster, 0).await;
    let headers = [("idempotency-key", key.as_str())];
    let first = cluster
        .call_service(1, "/bill", &headers)
        .await
        .expect("an answer");
    assert_that!(first.outcome(), eq("answered"));

    cluster.nodes[0].kill();
    let orphaned = cluster
        .call_service(1, "/bill", &headers)
        .await
        .expect("an answer");
    assert_that!(orphaned.outcome(), eq("unknown"));
    cluster.nodes[0].restart();
    cluster
        .wait("the node is back", async |cluster| {
            cluster.is_ready(0).await
        })
        .await;
    for node in 0..2 {
        let again = cluster
            .call_service(node, "/bill", &headers)
            .await
            .expect("an answer");
        assert_that!(again.outcome(), eq("unknown"));
    }
    assert_that!(cluster.calls("/bill"), eq(1));
}

/// Guards against running a request whose key has the right node and incarnation but is not
/// recorded there. Such a key was never minted, or was removed after use and may have run already.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_minted_key_runs_nothing() {
    let cluster = cluster_of(1).await;
    let key = mint(&cluster, 0).await;
    let (prefix, _) = key.rsplit_once('.').expect("three parts");
    let forged = format!("{prefix}.1");
    for node in 0..2 {
        let headers = [("idempotency-key", forged.as_str())];
        let answer = cluster
            .call_service(node, "/bill", &headers)
            .await
            .expect("an answer");
        assert_that!(answer.outcome(), eq("unknown"));
    }
    assert_that!(cluster.calls("/bill"), eq(0));
}

/// Guards against forwarded requests being accepted from the network without the nodes' credential.
/// The peer listener must check the credential before anything else.
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
