//! Signals that a node handles.

mod support;

use nix::sys::signal::Signal;
use std::time::Duration;
use support::{Cluster, ClusterSpec};

/// Guards against a node that ends on SIGHUP, which is commonly sent to reload settings.
///
/// The default action of SIGHUP ends the process. The node gets it several times in a row.
#[tokio::test(flavor = "multi_thread")]
async fn a_signal_to_reload_ends_nothing() {
    let mut cluster = Cluster::start(ClusterSpec {
        zones: 1,
        nodes_per_zone: 1,
        engines_per_zone: 0,
        services_per_zone: 1,
        ..ClusterSpec::default()
    })
    .await;
    for _ in 0..5 {
        cluster.nodes[0].signal(Signal::SIGHUP);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let address = cluster.callers(0);
    let authorization = ("authorization", "Bearer kayal-key");
    let answer = cluster
        .send(&address, "POST", "/v1/keys", &[authorization], "")
        .await;
    assert_eq!(answer.expect("an answer").status, 200);
    assert!(!cluster.nodes[0].has_exited());
}
