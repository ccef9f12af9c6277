//! Zones cut off from each other and from the platform, on real processes.

mod support;

use briarswitch_standins::{LinkMode, LinkRelay};
use briarswitch_wire::config::KindDoc;
use googletest::prelude::*;
use support::{check_history, organisation, Cluster, Plan};

/// Symptom: a zone that was cut off stopped serving, sent requests into the other zone, or stayed
/// behind after the cut.
/// Sequence: two zones lose each other, and one of them the platform too; edits are accepted on the
/// other side; a group of the far zone dies during the cut; the cut heals.
/// Cause: evidence from before the cut was trusted, or the two sides did not ask each other again.
#[tokio::test(flavor = "multi_thread")]
async fn cut_zone_serves_what_it_can_and_converges() {
    let mut cluster = Cluster::start(Plan {
        zones: 2,
        ..Plan::default()
    })
    .await;
    let links = cluster.link_peers();
    let platform = LinkRelay::spawn(&cluster.platform.address().to_string()).expect("a link");
    cluster.reroute_platform(1, &platform.address().to_string());
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
            "the cut zone learns the edit from its peer",
            async |cluster| cluster.version(1).await == Some(version),
        )
        .await;
    platform.set_mode(LinkMode::Open);
    cluster.wait_routable(2).await;
    check_history(&cluster.platform);
}

/// Symptom: a node cut in one direction only was taken for gone by nobody, or for gone by all.
/// Sequence: a node's questions arrive, but no answer comes back to it; the other's exchange works.
/// Cause: hearing a question was taken for being heard; only an answer counts.
#[tokio::test(flavor = "multi_thread")]
async fn half_cut_is_seen_by_the_side_that_hears_nothing() {
    let mut cluster = Cluster::start(Plan {
        zones: 2,
        ..Plan::default()
    })
    .await;
    let links = cluster.link_peers();
    for node in &mut cluster.nodes {
        node.restart();
    }
    cluster.wait_routable(2).await;

    links[&(0, 1)].set_mode(LinkMode::CutReverse);
    cluster
        .wait("the deaf node drops the far group", async |cluster| {
            cluster.routable(0).await == 1
        })
        .await;
    assert_that!(cluster.routable(1).await, eq(2));

    links[&(0, 1)].set_mode(LinkMode::Open);
    cluster.wait_routable(2).await;
}

/// Symptom: a slow platform made a zone change its holder again and again.
/// Sequence: every answer of the platform takes most of a second; nothing else is wrong.
/// Cause: the lease was counted from the answer, or lost with each late one; renewals begin early
/// enough for a slow answer.
#[tokio::test(flavor = "multi_thread")]
async fn slow_platform_keeps_the_holder() {
    let cluster = Cluster::start(Plan {
        nodes_per_zone: 2,
        settings: vec![
            "lease.duration_ms=4000".to_owned(),
            "lease.margin_ms=500".to_owned(),
        ],
        ..Plan::default()
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
