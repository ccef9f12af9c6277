//! Edits of the configuration under races, lost answers, platform outages and restarts, with real
//! node processes.

mod support;

use briarswitch_standins::{LinkMode, LinkRelay};
use briarswitch_wire::config::KindDoc;
use briarswitch_wire::operator::{EditReply, EditRequest, SettleReply};
use briarswitch_wire::platform::{CheckDoc, PutDoc, TransactReply, TransactRequest};
use googletest::prelude::*;
use support::{organisation, Cluster, ClusterSpec};

fn six_nodes() -> ClusterSpec {
    ClusterSpec {
        zones: 3,
        nodes_per_zone: 2,
        engines_per_zone: 0,
        ..ClusterSpec::default()
    }
}

fn without_engines() -> ClusterSpec {
    ClusterSpec {
        engines_per_zone: 0,
        ..ClusterSpec::default()
    }
}

/// Guards against two edits of one entity that are both reported as accepted.
///
/// Six operators edit the same organisation from the same version, each at another node. Without
/// conditions on the versions of the head row and the entity's row, a later write overwrites an
/// earlier one.
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

/// Guards against an edit that is refused because another entity was edited at the same time.
///
/// 24 organisations are created at once through six nodes. All edits contend for the head row; an
/// edit that loses must be checked and written again.
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

/// Guards against an edit in force that is reported as failed, or written twice.
///
/// The edit takes effect but its answer is lost. A lost answer is not a failure: the log must be
/// read for the edit's own write.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_to_an_edit_is_read_back() {
    let cluster = Cluster::start(without_engines()).await;
    // A write of the lease may meet the fault instead, so several edits are made.
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

/// Guards against an edit that comes into force after it was settled as void.
///
/// The platform goes down at the edit, the operator settles it, and only then the edit's own write
/// arrives. Settling writes a void row, whose absence is a condition of the write.
#[tokio::test(flavor = "multi_thread")]
async fn settled_edit_can_not_take_effect_later() {
    let cluster = Cluster::start(without_engines()).await;
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
    let reply: Option<EditReply> = cluster.operator_request(0, "POST", "/v1/edit", &text).await;
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
        .operator_request(0, "POST", "/v1/settle", "\"write-late\"")
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
        .operator_request(0, "POST", "/v1/edit", &{
            serde_json::to_string(&request).expect("an edit")
        })
        .await;
    assert_that!(matches!(again, Some(EditReply::Refused { .. })), eq(true));
}

/// Returns the transaction of the lost edit, with the conditions it has when it arrives late.
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

/// Guards against an edit that is valid by itself but makes the configuration invalid.
///
/// An operator deletes a deployment that a rule still routes to. The configuration that would
/// result must be checked, not only the edited entity.
#[tokio::test(flavor = "multi_thread")]
async fn edit_is_checked_against_the_whole() {
    let cluster = Cluster::start(without_engines()).await;
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

/// Guards against a node that restarts during a platform outage and serves with no configuration
/// or an old one.
///
/// The platform goes down; one node of a zone restarts, then the other while the first is dead. A
/// node has no disk, so before it is ready it must learn from the platform, or else from its zone,
/// the version below which it must not serve (the floor).
#[tokio::test(flavor = "multi_thread")]
async fn restarted_node_learns_its_floor_from_its_zone() {
    let mut cluster = Cluster::start(ClusterSpec {
        nodes_per_zone: 2,
        engines_per_zone: 0,
        ..ClusterSpec::default()
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
        .wait("the only node left answers", async |cluster| {
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

/// Guards against a node without the platform that keeps an old configuration, and against one that
/// returns to an older version.
///
/// One node loses its connection to the platform, edits are accepted at another node, and the
/// connection comes back. Nodes must exchange the configuration, and only adopt newer versions.
#[tokio::test(flavor = "multi_thread")]
async fn node_cut_from_the_platform_learns_from_its_peers() {
    let spec = ClusterSpec {
        nodes_per_zone: 2,
        engines_per_zone: 0,
        ..ClusterSpec::default()
    };
    let mut cluster = Cluster::start(spec).await;
    let link = LinkRelay::spawn(&cluster.platform.address().to_string()).expect("a link");
    cluster.set_platform_address(1, &link.address().to_string());
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

/// Writes rows to the table without any condition, past the checks of an edit.
async fn put_rows(cluster: &Cluster, rows: &[(&str, serde_json::Value)]) {
    let puts = rows.iter().map(|(key, value)| PutDoc {
        key: (*key).to_owned(),
        value: Some(value.clone()),
    });
    let request = TransactRequest {
        checks: Vec::new(),
        puts: puts.collect(),
    };
    let text = serde_json::to_string(&request).expect("a transaction");
    let address = cluster.platform.address().to_string();
    let answer = cluster
        .send(&address, "POST", "/table/transact", &[], &text)
        .await;
    let reply: TransactReply =
        serde_json::from_str(&answer.expect("an answer").body).expect("a reply");
    assert_that!(matches!(reply, TransactReply::Committed { .. }), eq(true));
}

/// Guards against a node that is ready without its configuration because one entity is odd.
///
/// The table has an entity whose value is of another kind and one that has no known form. Each takes
/// only itself out of use, with one line in the log, and the node has the head's version when it is
/// ready.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entity_takes_only_itself_out() {
    let mut cluster = Cluster::start(ClusterSpec {
        engines_per_zone: 0,
        services_per_zone: 1,
        ..ClusterSpec::default()
    })
    .await;
    let mismatch = serde_json::json!({
        "version": 4, "kind": "organisation", "id": "odd", "value": {"rules": []},
    });
    let formless = serde_json::json!({"version": "four"});
    let rows = [
        ("config/entity/organisation/odd", mismatch),
        ("config/entity/organisation/formless", formless),
    ];
    put_rows(&cluster, &rows).await;
    let version = cluster.version(0).await;
    cluster.nodes[0].restart();
    cluster
        .wait("the node is ready", async |cluster| {
            cluster.is_ready(0).await
        })
        .await;
    assert_that!(cluster.version(0).await, eq(version));
    cluster
        .wait("the service answers", async |cluster| {
            let answer = cluster.call_service(0, "/ping", &[]).await;
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
    cluster
        .wait("each odd entity has a line", async |cluster| {
            cluster.nodes[0].lines_of("config_entity_unreadable") == 2
        })
        .await;
}

/// Guards against a node that passes over all edits that follow a log entry that it can't read.
///
/// The log has an entry of no known form, and an edit is accepted after it. The node reads all
/// entities instead of the log.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_log_entry_does_not_stop_later_ones() {
    let cluster = Cluster::start(without_engines()).await;
    let rows = [
        (
            "config/log/000000000005",
            serde_json::json!({"entry": "five"}),
        ),
        ("config/head", serde_json::json!({"version": 5})),
    ];
    put_rows(&cluster, &rows).await;
    let version = cluster
        .must_edit(KindDoc::Organisation, "later", organisation("later"))
        .await;
    assert_that!(version, eq(6));
    cluster
        .wait("the later edit is in force", async |cluster| {
            cluster.version(0).await == Some(version)
        })
        .await;
    let dump = cluster.dump(0, "config").await;
    assert_that!(dump["organisations"].as_u64(), some(eq(2)));
}

/// Guards against a node that fails when the head's version is the largest one.
///
/// A damaged head row has the largest version. The versions that would follow do not exist, so
/// there is nothing more to read, and an edit is refused.
#[tokio::test(flavor = "multi_thread")]
async fn largest_version_is_followed_by_none() {
    let cluster = Cluster::start(without_engines()).await;
    let head = ("config/head", serde_json::json!({"version": u64::MAX}));
    put_rows(&cluster, &[head]).await;
    cluster
        .wait("the head's version is in force", async |cluster| {
            cluster.version(0).await == Some(u64::MAX)
        })
        .await;
    let value = organisation("later");
    let reply = cluster
        .edit(0, KindDoc::Organisation, "later", 0, value)
        .await;
    let is_refused = matches!(reply, Some(EditReply::Refused { .. }));
    // A node notices that the table is gone only when it reads it.
    cluster
        .platform
        .update_faults(|faults| faults.is_down = true);
    cluster
        .wait("the table is still read", async |cluster| {
            cluster.dump(0, "config").await["platform_lost"] == true
        })
        .await;
    assert_that!(cluster.version(0).await, some(eq(u64::MAX)));
    assert_that!(cluster.nodes[0].lines_of("service_failed"), eq(0));
    assert_that!(is_refused, eq(true));
}

/// Guards against an unreadable head row that is taken for a configuration without any edit.
///
/// With such a row, an edit must not be accepted as the first one, and a node that starts is not
/// ready before it can read the head.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_head_is_not_an_empty_configuration() {
    let mut cluster = Cluster::start(without_engines()).await;
    let odd = ("config/head", serde_json::json!({"version": "four"}));
    put_rows(&cluster, &[odd]).await;
    let value = organisation("later");
    let reply = cluster
        .edit(0, KindDoc::Organisation, "later", 0, value)
        .await;
    assert_that!(matches!(reply, Some(EditReply::Accepted { .. })), eq(false));
    cluster.nodes[0].restart();
    cluster
        .wait("the table is read", async |cluster| {
            let dump = cluster.dump(0, "config").await;
            dump["platform_lost"] == true || dump["floor"] == "platform"
        })
        .await;
    assert_that!(cluster.is_ready(0).await, eq(false));
    let head = ("config/head", serde_json::json!({"version": 4}));
    put_rows(&cluster, &[head]).await;
    cluster
        .wait("the node is ready", async |cluster| {
            cluster.is_ready(0).await
        })
        .await;
    assert_that!(cluster.version(0).await, some(eq(4)));
}
