//! Nodes that are dropped without a shutdown.

mod support;

use googletest::prelude::*;
use http::Method;

use support::Fleet;

/// Guards against services of a dropped node that go on telling the other nodes that it is live.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_node_is_no_longer_heard() {
    let fleet = Fleet::open(2, &["z1", "z1", "z2"]).await;
    fleet.kill(2);
    fleet
        .wait_until("the others hear nothing of the node", || async {
            let state = fleet.operator_request(0, Method::GET, "/state").await;
            silence_of(&state.body, "n2").is_some_and(|silence| silence > 3_000)
        })
        .await;
}

/// Returns for how many milliseconds a node has not been heard.
fn silence_of(state: &str, node: &str) -> Option<u64> {
    let state: serde_json::Value = serde_json::from_str(state).ok()?;
    let mut peers = state["peers"]["peers"].as_array()?.iter();
    let peer = peers.find(|peer| peer["node"] == node)?;
    peer["silence_ms"].as_u64()
}
