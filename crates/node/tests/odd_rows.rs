//! Rows of a zone that the controller cannot read, with real processes.

mod support;

use briarswitch_standins::EngineSettings;
use briarswitch_wire::engine::OrderAction;
use briarswitch_wire::operator::GroupStatus;
use googletest::prelude::*;
use serde_json::json;
use support::{check_history, Cluster, ClusterSpec, ZONES};

/// Guards against a zone without a controller because the claim of one VM cannot be read.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_with_an_unreadable_claim_takes_only_itself_out_of_use() {
    let mut cluster = Cluster::start(ClusterSpec {
        engines_per_zone: 3,
        ..ClusterSpec::default()
    })
    .await;
    let group = groups(&cluster).await.remove(0);
    let mut names = cluster.engines.keys();
    let spare = names.find(|vm| !group.members.contains(vm));
    let spare = spare.expect("a spare").clone();
    let key = format!("vm/{}/{spare}", ZONES[0]);
    let odd_row = json!({"group": ["of", "another", "version"]});
    cluster.platform.put_row(&key, odd_row.clone());
    cluster.nodes[0].restart();

    let lost = &group.members[0];
    cluster.engines.get_mut(lost).expect("a member").kill();
    let added = "added-gpu";
    let domain = format!("{}-fabric", ZONES[0]);
    cluster.add_engine(ZONES[0], &domain, EngineSettings::quick(added));
    wait_repaired(&cluster, &group.group).await;

    let repaired = &groups(&cluster).await[0];
    expect_that!(repaired.members, contains(eq(added)));
    expect_that!(repaired.members, not(contains(eq(&spare))));
    expect_that!(cluster.platform.rows(&key)[0].value, eq(&odd_row));
    let orders = cluster.engines[&spare].record().orders;
    let mut actions = orders.into_iter().map(|(_, order)| order.action);
    let is_used = actions.any(|action| !matches!(action, OrderAction::Preload(_)));
    expect_that!(is_used, eq(false));
    expect_that!(cluster.nodes[0].has_logged("row_unreadable"), eq(true));
    check_history(&cluster.platform);
}

/// Guards against a zone without a controller because the row of one group cannot be read.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_group_takes_only_itself_out_of_use() {
    let mut cluster = Cluster::start(ClusterSpec {
        engines_per_zone: 5,
        replicas_per_zone: 2,
        ..ClusterSpec::default()
    })
    .await;
    let mut groups = groups(&cluster).await;
    let (odd, sound) = (groups.remove(0), groups.remove(0));
    let key = format!("group/{}/{}", ZONES[0], odd.group);
    cluster
        .platform
        .put_row(&key, json!({"of": "another version"}));
    cluster.nodes[0].restart();

    let lost = &sound.members[0];
    cluster.engines.get_mut(lost).expect("a member").kill();
    wait_repaired(&cluster, &sound.group).await;

    for vm in &odd.members {
        let claim = &cluster.platform.rows(&format!("vm/{}/{vm}", ZONES[0]))[0];
        expect_that!(claim.value["group"], eq(&json!(odd.group)));
        let orders = cluster.engines[vm].record().orders;
        let left = orders
            .iter()
            .any(|(_, order)| order.action == OrderAction::Leave);
        expect_that!(left, eq(false), "{vm}");
        let (_, group) = cluster.engines[vm].status();
        expect_that!(group.map(|(group, _)| group), some(eq(&odd.group)));
    }
    expect_that!(cluster.nodes[0].has_logged("row_unreadable"), eq(true));
    check_history(&cluster.platform);
}

/// Guards against a zone whose next controller gets an earlier epoch because the lease cannot be read.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_with_an_unreadable_lease_gets_a_controller_in_a_later_epoch() {
    let mut cluster = Cluster::start(ClusterSpec {
        nodes_per_zone: 2,
        engines_per_zone: 3,
        ..ClusterSpec::default()
    })
    .await;
    let group = groups(&cluster).await.remove(0);
    let key = format!("lease/{}", ZONES[0]);
    let odd_row = json!({"of": "another version"});
    cluster.platform.put_row(&key, odd_row.clone());
    cluster
        .wait("the lease is taken", async |cluster| {
            cluster.platform.rows(&key)[0].value != odd_row
        })
        .await;
    let lost = &group.members[0];
    cluster.engines.get_mut(lost).expect("a member").kill();
    wait_repaired(&cluster, &group.group).await;

    let key = format!("epoch/{}", ZONES[0]);
    let writes = cluster.platform.history();
    let rows = writes.iter().flat_map(|write| &write.rows);
    let epochs = rows.filter(|row| row.key == key);
    let epochs: Vec<u64> = epochs
        .filter_map(|row| row.value["epoch"].as_u64())
        .collect();
    expect_that!(epochs.len(), ge(2));
    expect_that!(
        epochs.is_sorted_by(|left, right| left < right),
        eq(true),
        "{epochs:?}"
    );
    check_history(&cluster.platform);
}

async fn groups(cluster: &Cluster) -> Vec<GroupStatus> {
    cluster.status(0).await.expect("a status").groups
}

async fn wait_repaired(cluster: &Cluster, id: &str) {
    cluster
        .wait("the group is repaired", async |cluster| {
            let status = cluster.status(0).await;
            status.is_some_and(|status| {
                let mut groups = status.groups.iter();
                groups.any(|group| group.group == id && group.generation == 2 && group.is_routable)
            })
        })
        .await;
}
