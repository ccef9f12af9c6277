//! Accepted configuration under races, lost answers, outages and restarts, on real processes.

mod support;

use briarswitch_standins::{LinkMode, LinkRelay};
use briarswitch_wire::config::KindDoc;
use briarswitch_wire::operator::{EditReply, EditRequest, SettleReply};
use briarswitch_wire::platform::{CheckDoc, PutDoc, TransactReply, TransactRequest};
use googletest::prelude::*;
use support::{organisation, Cluster, Plan};

fn six_nodes() -> Plan {
    Plan {
        zones: 3,
        nodes_per_zone: 2,
        engines_per_zone: 0,
        ..Plan::default()
    }
}

/// Symptom: two operators were both told that their edit of one entity was accepted.
/// Sequence: six operators edit the same organisation against the same version, each at a node.
/// Cause: the later write overwrote the earlier; both rows are conditional on their versions.
#[tokio::test(flavor = "multi_thread")]
async fn racing_edits_of_one_entity_have_one_winner() {
    let cluster = Cluster::start(six_nodes()).await;
    for round in 0..10 {
        let name = format!("shop-{round}");
        let edits = (0..6).map(|node| {
            let (cluster, name) = (&cluster, name.as_str());
            async move {
                let value = organisation(&format!("key-{node}-of-{name}"));
                cluster
                    .edit(node, KindDoc::Organisation, name, 0, value)
                    .await
            }
        });
        let replies = futures::future::join_all(edits).await;
        let accepted = replies
            .iter()
            .flatten()
            .filter(|reply| matches!(reply, EditReply::Accepted { .. }));
        let conflicts = replies
            .iter()
            .flatten()
            .filter(|reply| matches!(reply, EditReply::Conflict { .. }));
        assert_that!(accepted.count(), eq(1));
        assert_that!(conflicts.count(), eq(5));
    }
}

/// Symptom: an edit was refused because somebody edited something else.
/// Sequence: six operators create six different organisations at once.
/// Cause: all edits race for the head row; the losers are checked and written again.
#[tokio::test(flavor = "multi_thread")]
async fn edits_of_different_entities_all_land() {
    let cluster = Cluster::start(six_nodes()).await;
    let edits = (0..24).map(|index| {
        let cluster = &cluster;
        async move {
            let name = format!("shop-{index}");
            let value = organisation(&name);
            cluster
                .edit(index % 6, KindDoc::Organisation, &name, 0, value)
                .await
        }
    });
    let replies = futures::future::join_all(edits).await;
    let mut versions: Vec<u64> = replies
        .iter()
        .filter_map(|reply| match reply {
            Some(EditReply::Accepted { version }) => Some(*version),
            _ => None,
        })
        .collect();
    versions.sort_unstable();
    assert_that!(versions, eq(&(5..29).collect::<Vec<u64>>()));
    for node in 0..6 {
        cluster
            .wait("every edit is in force", async |cluster| {
                cluster.version(node).await == Some(28)
            })
            .await;
    }
}

/// Symptom: an edit that was in force was reported as failed, or made twice.
/// Sequence: the edit takes effect; its answer is lost.
/// Cause: a lost answer was taken for a failure; the log is read back for the edit's own write.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_to_an_edit_is_read_back() {
    let cluster = Cluster::start(Plan {
        engines_per_zone: 0,
        ..Plan::default()
    })
    .await;
    // The lease is written too, so the fault may hit that instead; one of several edits meets it.
    let mut accepted = 0;
    for round in 0..5 {
        cluster
            .platform
            .update_faults(|faults| faults.lose_answers = 2);
        let name = format!("shop-{round}");
        let reply = cluster
            .edit(0, KindDoc::Organisation, &name, 0, organisation(&name))
            .await;
        accepted += usize::from(matches!(reply, Some(EditReply::Accepted { .. })));
    }
    assert_that!(accepted, eq(5));
    cluster
        .wait("every edit is in force once", async |cluster| {
            cluster.version(0).await == Some(9)
        })
        .await;
}

/// Symptom: an edit that was given up as lost came into force later.
/// Sequence: the platform goes down at the edit; the operator settles it; the edit's own write,
/// held up until now, arrives.
/// Cause: nothing barred the late write; settling leaves a row that its condition forbids.
#[tokio::test(flavor = "multi_thread")]
async fn settled_edit_can_not_take_effect_later() {
    let cluster = Cluster::start(Plan {
        engines_per_zone: 0,
        ..Plan::default()
    })
    .await;
    cluster
        .platform
        .update_faults(|faults| faults.is_down = true);
    let request = EditRequest {
        kind: KindDoc::Organisation,
        id: "late".to_owned(),
        base: 0,
        value: organisation("late"),
        write: "write-late".to_owned(),
    };
    let text = serde_json::to_string(&request).expect("an edit");
    let reply: Option<EditReply> = cluster.operate(0, "POST", "/v1/edit", &text).await;
    assert_that!(
        reply,
        some(eq(&EditReply::Unknown {
            write: "write-late".to_owned()
        }))
    );

    cluster
        .platform
        .update_faults(|faults| faults.is_down = false);
    let settled: Option<SettleReply> = cluster
        .operate(0, "POST", "/v1/settle", "\"write-late\"")
        .await;
    assert_that!(settled, some(eq(&SettleReply::Void)));

    let late = late_write(&cluster);
    let text = serde_json::to_string(&late).expect("a transaction");
    let address = cluster.platform.address().to_string();
    let answer = cluster
        .send(&address, "POST", "/table/transact", &[], &text)
        .await;
    let reply: TransactReply =
        serde_json::from_str(&answer.expect("an answer").body).expect("a reply");
    assert_that!(matches!(reply, TransactReply::Conflict { .. }), eq(true));
    let again: Option<EditReply> = cluster
        .operate(0, "POST", "/v1/edit", &{
            serde_json::to_string(&request).expect("an edit")
        })
        .await;
    assert_that!(matches!(again, Some(EditReply::Refused { .. })), eq(true));
}

/// Builds the transaction that the lost edit sent, as the platform would get it late.
fn late_write(cluster: &Cluster) -> TransactRequest {
    let head = cluster.platform.rows("config/head");
    TransactRequest {
        checks: vec![
            CheckDoc {
                key: "config/head".to_owned(),
                version: head[0].version,
            },
            CheckDoc {
                key: "config/void/write-late".to_owned(),
                version: 0,
            },
        ],
        puts: vec![PutDoc {
            key: "config/head".to_owned(),
            value: Some(serde_json::json!({"version": 5})),
        }],
    }
}

/// Symptom: an edit that broke the configuration as a whole was accepted.
/// Sequence: one operator deletes a deployment while another's rule still sends requests to it.
/// Cause: each edit was looked at by itself; what would result is checked whole.
#[tokio::test(flavor = "multi_thread")]
async fn edit_is_checked_against_the_whole() {
    let cluster = Cluster::start(Plan {
        engines_per_zone: 0,
        ..Plan::default()
    })
    .await;
    let deleted = briarswitch_wire::config::ValueDoc::Deleted;
    let reply = cluster
        .edit(0, KindDoc::Deployment, support::MODEL, 2, deleted)
        .await;
    let Some(EditReply::Refused { findings }) = reply else {
        panic!("expected findings, got {reply:?}");
    };
    assert_that!(findings, len(eq(1)));
    assert_that!(findings[0].place, eq("rules[0].then.deployment"));
}

/// Symptom: a node that was replaced during a platform outage served with no configuration, or an
/// old one.
/// Sequence: edits are accepted; the platform goes down; one node of a zone restarts, then both.
/// Cause: a diskless node took whatever it had for current; it must learn a floor from the platform
/// or else from its zone, and is not ready before.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_node_learns_its_floor_from_its_zone() {
    let mut cluster = Cluster::start(Plan {
        nodes_per_zone: 2,
        engines_per_zone: 0,
        ..Plan::default()
    })
    .await;
    cluster
        .platform
        .update_faults(|faults| faults.is_down = true);
    cluster.nodes[0].restart();
    cluster
        .wait("the restarted node is ready", async |cluster| {
            cluster.is_ready(0).await
        })
        .await;
    assert_that!(cluster.version(0).await, some(eq(4)));
    let dump = cluster.dump(0, "config").await;
    assert_that!(dump["floor"].as_str(), some(eq("peers")));

    cluster.nodes[0].kill();
    cluster.nodes[1].restart();
    cluster
        .wait("the lonely node answers", async |cluster| {
            cluster.version(1).await.is_some()
        })
        .await;
    let answer = cluster.chat(1, 2, false).await.expect("an answer");
    assert_that!(cluster.is_ready(1).await, eq(false));
    assert_that!(answer.code(), eq("not_ready"));

    cluster
        .platform
        .update_faults(|faults| faults.is_down = false);
    cluster
        .wait("the platform gives the floor", async |cluster| {
            cluster.is_ready(1).await && cluster.version(1).await == Some(4)
        })
        .await;
}

/// Symptom: nodes that could not reach the platform kept old rules, and one went back to them.
/// Sequence: one node is cut from the platform; edits are accepted elsewhere; the cut heals.
/// Cause: configuration spread by the platform alone; nodes tell each other, and only upwards.
#[tokio::test(flavor = "multi_thread")]
async fn node_cut_from_the_platform_learns_from_its_peers() {
    let plan = Plan {
        nodes_per_zone: 2,
        engines_per_zone: 0,
        ..Plan::default()
    };
    let mut cluster = Cluster::start(plan).await;
    let link = LinkRelay::spawn(&cluster.platform.address().to_string()).expect("a link");
    cluster.reroute_platform(1, &link.address().to_string());
    cluster.nodes[1].restart();
    cluster
        .wait("the node is back", async |cluster| {
            cluster.version(1).await == Some(4)
        })
        .await;
    link.set_mode(LinkMode::Cut);
    let mut seen = Vec::new();
    for round in 0..5 {
        let name = format!("shop-{round}");
        let version = cluster
            .must_edit(KindDoc::Organisation, &name, organisation(&name))
            .await;
        cluster
            .wait("the edit is in force at the cut node", async |cluster| {
                cluster.version(1).await >= Some(version)
            })
            .await;
        seen.extend(cluster.version(1).await);
    }
    link.set_mode(LinkMode::Open);
    for _ in 0..20 {
        seen.extend(cluster.version(1).await);
    }
    assert_that!(seen.is_sorted(), eq(true));
    assert_that!(cluster.version(1).await, some(eq(9)));
}
