//! Network partitions between zones and from the platform, with real processes.

mod support;

use briarswitch_standins::{LinkMode, LinkRelay};
use briarswitch_wire::config::KindDoc;
use googletest::prelude::*;
use support::{check_history, organisation, Cluster, ClusterSpec};

/// Guards against a partitioned zone that stops serving, sends requests to the other zone on
/// evidence from before the partition, or stays behind after it because the sides do not reconnect.
/// Two zones lose each other and one also loses the platform; an edit is accepted on the other
/// side; then the links are restored.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_zone_serves_what_it_can_and_converges() {
    let mut cluster = Cluster::start(ClusterSpec {
        zones: 2,
        ..ClusterSpec::default()
    })
    .await;
    let links = cluster.link_peers();
    let platform = LinkRelay::spawn(&cluster.platform.address().to_string()).expect("a link");
    cluster.set_platform_address(1, &platform.address().to_string());
    for node in &mut cluster.nodes {
        node.restart();
    }
    cluster.wait_routable(2).await;

    for link in links.values().chain([&platform]) {
        link.set_mode(LinkMode::Cut);
    }
    for node in 0..2 {
        cluster
            .wait("only the node's own group is left", async |cluster| {
                cluster.routable(node).await == 1
            })
            .await;
        let answer = cluster.chat(node, 2, false).await.expect("an answer");
        assert_that!(answer.outcome(), eq("answered"));
        let zone = cluster.nodes[node].zone.as_str();
        assert_that!(answer.headers["x-target"], starts_with(zone));
    }
    let value = organisation("during");
    let version = cluster
        .must_edit(KindDoc::Organisation, "during", value)
        .await;
    assert_that!(cluster.version(1).await, some(lt(version)));

    for link in links.values() {
        link.set_mode(LinkMode::Open);
    }
    cluster
        .wait(
            "the partitioned zone learns the edit from its peer",
            async |cluster| cluster.version(1).await == Some(version),
        )
        .await;
    platform.set_mode(LinkMode::Open);
    cluster.wait_routable(2).await;
    check_history(&cluster.platform);
}

/// Guards against wrong conclusions from a partition in one direction. One node's requests arrive
/// but it gets no responses, while the other's exchange works. Receiving a request proves nothing
/// about the reverse direction, so only the node without responses must drop the remote group.
#[tokio::test(flavor = "multi_thread")]
async fn one_way_partition_is_detected_by_the_side_without_responses() {
    let mut cluster = Cluster::start(ClusterSpec {
        zones: 2,
        ..ClusterSpec::default()
    })
    .await;
    let links = cluster.link_peers();
    for node in &mut cluster.nodes {
        node.restart();
    }
    cluster.wait_routable(2).await;

    links[&(0, 1)].set_mode(LinkMode::CutReverse);
    cluster
        .wait(
            "the node without responses drops the remote group",
            async |cluster| cluster.routable(0).await == 1,
        )
        .await;
    assert_that!(cluster.routable(1).await, eq(2));

    links[&(0, 1)].set_mode(LinkMode::Open);
    cluster.wait_routable(2).await;
}

/// Guards against a zone's lease changing its holder repeatedly because the platform is slow. Each
/// response of the platform is delayed, nothing else fails. The lease must be timed from the
/// request, not the response, and renewals must start early enough for a late response.
#[tokio::test(flavor = "multi_thread")]
async fn slow_platform_does_not_change_the_holder() {
    let cluster = Cluster::start(ClusterSpec {
        nodes_per_zone: 2,
        settings: vec![
            "lease.duration_ms=4000".to_owned(),
            "lease.margin_ms=500".to_owned(),
        ],
        ..ClusterSpec::default()
    })
    .await;
    let before = cluster.status(0).await.expect("a status").controller;
    cluster
        .platform
        .update_faults(|faults| faults.delay_ms = 300);
    let writes = cluster.platform.history().len();
    cluster
        .wait("the lease is renewed several times", async |cluster| {
            cluster.platform.history().len() >= writes + 5
        })
        .await;
    let after = cluster.status(0).await.expect("a status").controller;
    assert_that!(after, eq(&before));
    let answer = cluster.chat(0, 2, false).await.expect("an answer");
    assert_that!(answer.outcome(), eq("answered"));
}
