//! Need of models in messages between nodes.

use briarswitch_core::id::*;
use briarswitch_membership::{
    Digest, DigestOrigin, Gossip, GossipDoc, Heartbeat, NodeEntry, WorkSum,
};
use googletest::prelude::*;
use indexmap::IndexMap;

fn gossip(work: WorkSum) -> Gossip {
    let sender = NodeEntry {
        node: "n1".to_owned(),
        zone: "a".to_owned(),
        address: "n1:1".to_owned(),
        incarnation: 7,
        link_mbps: 20,
    };
    let members: Vec<Heartbeat> = Vec::new();
    let digest = Digest {
        members,
        work,
        ..Digest::empty(DigestOrigin::Node("n1".to_owned()))
    };
    Gossip {
        sender,
        relayed: vec![Digest::empty(DigestOrigin::Fleet), digest.clone()],
        digest,
        roster_version: None,
        roster: None,
    }
}

fn needing() -> WorkSum {
    WorkSum {
        waiting: IndexMap::from([("small".to_owned() as ModelId, 12)]),
        recent_demand: IndexMap::from([("small".to_owned(), 2.5)]),
        ..WorkSum::default()
    }
}

fn encoded(gossip: &Gossip) -> Vec<u8> {
    rmp_serde::to_vec_named(&GossipDoc::from(gossip)).expect("message must serialize")
}

/// Guards against a burst that other nodes do not learn of, or that they count for another digest.
#[gtest]
fn need_reaches_other_nodes_with_its_digest() {
    let sent = gossip(needing());
    let doc: GossipDoc = rmp_serde::from_slice(&encoded(&sent)).expect("message must deserialize");
    let received = Gossip::from(doc);
    expect_that!(received.digest.work, eq(&needing()));
    expect_that!(received.relayed[0].work, eq(&WorkSum::default()));
    expect_that!(received.relayed[1].work, eq(&needing()));
}

/// Guards against larger messages in fleets that have not enabled changeovers.
#[gtest]
fn a_message_without_need_does_not_mention_it() {
    let bytes = encoded(&gossip(WorkSum::default()));
    let text = String::from_utf8_lossy(&bytes);
    expect_that!(text.contains("need"), eq(false));
    expect_that!(
        String::from_utf8_lossy(&encoded(&gossip(needing()))).contains("need"),
        eq(true)
    );
}

/// Guards against need that stays in a sum after its node was subtracted.
#[gtest]
fn need_is_added_and_subtracted() {
    let mut sum = needing();
    sum.add(&needing());
    expect_that!(sum.waiting["small"], eq(24));
    expect_that!(sum.recent_demand["small"], eq(5.0));
    sum.subtract(&needing());
    expect_that!(sum, eq(&needing()));
}
