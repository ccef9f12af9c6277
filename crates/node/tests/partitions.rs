//! A node that reaches no target, while callers, the platform and another node reach it, with real processes.

mod support;

use std::time::Duration;

use briarswitch_standins::LinkMode;
use googletest::prelude::*;
use support::{Cluster, ClusterSpec, TestResponse};

/// Time after which a caller gives a request up.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Requests in a series.
const SERIES: usize = 40;

async fn ping(cluster: &Cluster, node: usize) -> Option<TestResponse> {
    let calling = cluster.call_service(node, "/ping", &[]);
    let answer = tokio::time::timeout(CALLER_PATIENCE, calling).await;
    answer.ok()?.filter(|answer| answer.status == 200)
}

/// Guards against a node that keeps requests to itself while it reaches none of the targets that the others use.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_node_that_reaches_no_target_are_served_through_another_one() {
    let mut cluster = Cluster::start(ClusterSpec {
        nodes_per_zone: 2,
        engines_per_zone: 0,
        services_per_zone: 2,
        ..ClusterSpec::default()
    })
    .await;
    let (_list, links) = cluster.link_services(0);
    cluster.nodes[0].restart();
    cluster.wait_ready().await;
    let serves = async |cluster: &Cluster| ping(cluster, 0).await.is_some();
    cluster.wait("the node serves", serves).await;
    for mode in [LinkMode::Cut, LinkMode::Reset] {
        links.iter().for_each(|link| link.set_mode(mode));
        cluster.wait("callers are served again", serves).await;
        let mut served = 0;
        for _ in 0..SERIES {
            served += usize::from(ping(&cluster, 0).await.is_some());
        }
        expect_that!(served, ge(SERIES * 9 / 10), "{mode:?}");
        links.iter().for_each(|link| link.set_mode(LinkMode::Open));
        cluster
            .wait("the node serves by itself", async |cluster| {
                let answer = ping(cluster, 0).await;
                answer.is_some_and(|answer| answer.headers["x-served-by"] == cluster.nodes[0].name)
            })
            .await;
    }
}
