//! Placement of requests, splitting of event streams, and the local copy of the directory.

#[path = "support/target_record.rs"]
mod target_record;

use std::time::Duration;

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::events::EventSplitter;
use briarswitch_core::id::*;
use briarswitch_core::placement::{
    has_free_slot, pick_group, slot_share, GroupLoad, NodeWeight, PlacementParams,
};
use briarswitch_core::stream::EventScanner;
use briarswitch_core::target::{
    Membership, MembershipState, TargetCache, TargetChange, TargetRecord,
};
use googletest::prelude::*;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use target_record::record_at;

fn model(id: &str, size: usize, share: f64, time_factor: f64) -> ModelSpec {
    ModelSpec {
        id: id.to_owned(),
        group_size: size,
        expected_share: share,
        time_factor,
        load_time: Duration::from_secs(16),
        warmup: Duration::from_millis(1_600),
    }
}

fn engine() -> EngineSpec {
    let models = [model("large", 4, 0.57, 1.0), model("small", 3, 0.43, 0.6)];
    EngineSpec {
        slots: 26,
        steps_per_pass: 7,
        step_time: Duration::from_micros(5_950),
        step_time_per_request: Duration::from_nanos(44_500),
        prefill_tokens_per_second: 50_700.0,
        models: models
            .map(|spec| (spec.id.clone(), spec))
            .into_iter()
            .collect(),
        ..EngineSpec::default()
    }
}

/// Six nodes see a newly opened group as empty at the same moment, and each has requests waiting.
/// If each counted on every slot that looks free, the group would get several times what it can
/// take.
#[gtest]
fn six_nodes_that_cannot_see_each_other_do_not_overfill_a_group() {
    expect_that!(fill_unseen(6, 0), all!(ge(20), le(30)));
}

fn equal_weight(nodes: u32, rank: u32) -> NodeWeight {
    NodeWeight {
        before: f64::from(rank),
        own: 1.0,
        total: f64::from(nodes),
    }
}

/// A load balancer may send one of 71 nodes 10 requests a second and others 1.5. With equal shares
/// per node, that node refuses requests while slots of the others stay unused.
#[gtest]
fn shares_follow_demand_and_add_up() {
    let weights: Vec<f64> = (0..71).map(|node| f64::from(node % 10) + 1.3).collect();
    let total: f64 = weights.iter().sum();
    let mut before = 0.0;
    let mut shares = Vec::new();
    for own in &weights {
        let weight = NodeWeight {
            before,
            own: *own,
            total,
        };
        shares.push(slot_share(30, weight));
        before += own;
    }
    expect_that!(shares.iter().sum::<u32>(), eq(30));
    let of = |class: usize| shares.iter().skip(class).step_by(10).sum::<u32>();
    expect_that!(of(9), gt(of(0)));
}

/// Returns the number of requests sent to a group with `active_requests` active requests by `nodes`
/// nodes that cannot see each other's requests.
fn fill_unseen(nodes: u32, active_requests: u32) -> u32 {
    let engine = engine();
    let mut sent = 0;
    for rank in 0..nodes {
        let mut load = GroupLoad {
            nodes,
            slot_share: slot_share(engine.slots, equal_weight(nodes, rank)),
            active_requests,
            ..GroupLoad::default()
        };
        while has_free_slot(&engine, &load) {
            load.local_requests += 1;
            load.unreported_requests += 1;
            load.active_requests += 1;
            sent += 1;
        }
    }
    sent
}

/// With 71 nodes and 26 slots, a minimum share of one slot per node would allow 71 requests. They
/// would wait longer in the group's queue than in those of the nodes, and all would be late.
#[gtest]
fn more_nodes_than_slots_do_not_overfill_a_group() {
    expect_that!(fill_unseen(71, 20), le(26));
}

#[gtest]
fn late_requests_leave_half_of_a_full_group_to_the_others() {
    let load = GroupLoad {
        local_requests: 2,
        active_requests: 14,
        nodes: 6,
        slot_share: 4,
        ..GroupLoad::default()
    };
    let late = GroupLoad {
        is_request_late: true,
        ..load
    };
    expect_true!(has_free_slot(&engine(), &load));
    expect_false!(has_free_slot(&engine(), &late));
}

#[gtest]
fn the_least_loaded_group_is_picked_and_a_full_one_never() {
    let engine = engine();
    let spec = &engine.models["large"];
    let load = |active_requests| GroupLoad {
        active_requests,
        nodes: 1,
        slot_share: 26,
        ..GroupLoad::default()
    };
    let loads = [load(26), load(20), load(2)];
    for draw in 0..10 {
        let params = placement_params(0.0, f64::from(draw) / 10.0);
        expect_that!(pick_group(&engine, spec, &loads, &params), some(eq(2)));
    }
    let params = placement_params(0.0, 0.0);
    expect_that!(pick_group(&engine, spec, &[load(26)], &params), none());
}

fn placement_params(unseen_requests: f64, draw: f64) -> PlacementParams {
    PlacementParams {
        prompt_tokens: 1_460,
        unseen_requests,
        draw,
        turn: 0.0,
    }
}

/// 71 nodes learn at the same time which group has the least load, and choose for 20 requests
/// before they learn of each other's choices. If all took the best-looking group, one of six equal
/// groups would get 24 requests in one second and 1 in the next.
#[gtest]
fn requests_that_nodes_cannot_see_are_spread() {
    let engine = engine();
    let spec = &engine.models["large"];
    let loads = [4, 9, 12, 14, 17, 19].map(|active_requests| GroupLoad {
        active_requests,
        nodes: 71,
        slot_share: 1,
        ..GroupLoad::default()
    });
    let mut sent = [0; 6];
    for request in 0..20 {
        let params = placement_params(20.0, (f64::from(request) + 0.5) / 20.0);
        sent[pick_group(&engine, spec, &loads, &params).expect("none is full")] += 1;
    }
    expect_that!(sent.iter().max(), some(le(&6)));
    expect_that!(sent.iter().min(), some(ge(&2)));
}

/// An event boundary may fall between two chunks. If it is missed, part of the stream is lost or
/// repeated when the stream is resumed at another target.
#[gtest]
fn events_are_complete_however_the_bytes_are_cut() {
    let stream: String = (1..=40)
        .map(|id| format!("id: {id}\ndata: text {id}\n\n"))
        .collect();
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..200 {
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        let mut rest = stream.as_bytes();
        while !rest.is_empty() {
            let cut = rng.random_range(1..=rest.len().min(30));
            passed.extend_from_slice(&splitter.push(&rest[..cut]));
            let shown = String::from_utf8_lossy(&passed);
            assert!(shown.is_empty() || shown.ends_with("\n\n"));
            rest = &rest[cut..];
        }
        assert_eq!(passed, stream.as_bytes());
        assert_eq!(splitter.last_id(), Some("40"));
        assert_eq!(splitter.events(), 40);
    }
}

/// Guards against bytes that are lost or exchanged where an event takes several segments of the memory.
#[gtest]
fn large_events_are_complete_however_the_bytes_are_cut() {
    let event = |id: usize| format!("id: {id}\ndata: {}\n\n", id.to_string().repeat(id * 700));
    let stream: String = (1..=20).map(event).collect();
    let mut rng = StdRng::seed_from_u64(1);
    for largest_cut in [1, 100, 4_096, 20_000] {
        let mut splitter = EventSplitter::default();
        let mut scanner = EventScanner::default();
        let (mut split, mut scanned) = (Vec::new(), Vec::new());
        let mut rest = stream.as_bytes();
        while !rest.is_empty() {
            let (chunk, after) = rest.split_at(rng.random_range(1..=rest.len().min(largest_cut)));
            split.extend_from_slice(&splitter.push(chunk));
            let (earlier, end) = scanner.scan(chunk);
            scanned.extend_from_slice(&earlier);
            scanned.extend_from_slice(&chunk[..end.complete_bytes]);
            assert!(splitter.partial_bytes() <= splitter.partial_capacity());
            assert_eq!(scanner.partial_capacity(), splitter.partial_capacity());
            rest = after;
        }
        assert_eq!(split, stream.as_bytes());
        assert_eq!(scanned, stream.as_bytes());
        assert_eq!(splitter.events(), 20);
        assert_eq!(scanner.events(), 20);
    }
}

fn record(id: &str) -> TargetRecord {
    record_at(id, &format!("{id}:80"))
}

#[gtest]
fn an_expired_entry_is_kept_for_a_time_and_stays_if_it_is_rewritten() {
    let at = Duration::from_millis;
    let mut cache = TargetCache::default();
    for id in ["a", "b", "c"] {
        cache.apply(TargetChange::Put(Box::new(record(id))), None);
    }
    cache.apply(TargetChange::Removed("a".to_owned()), None);
    cache.apply(TargetChange::Removed("b".to_owned()), Some(at(2_000)));
    cache.replace(vec![TargetChange::Put(Box::new(record("d")))], |_| {
        Some(at(2_000))
    });
    expect_that!(cache.targets().len(), eq(3));
    cache.apply(TargetChange::Put(Box::new(record("c"))), None);
    expect_false!(cache.expire(at(1_999)));
    expect_true!(cache.expire(at(2_000)));
    let remaining: Vec<&TargetId> = cache.targets().keys().collect();
    expect_that!(remaining, unordered_elements_are![eq(&"c"), eq(&"d")]);
}

fn member(id: &str, rank: usize) -> TargetRecord {
    TargetRecord {
        membership: Some(Membership {
            group: "g".to_owned(),
            epoch: 1,
            rank,
            state: MembershipState::Open,
        }),
        ..record(id)
    }
}

/// A group must not be dissolved only because the entry of a member has expired: the member must
/// stay known while its group exists.
#[gtest]
fn a_member_whose_entry_is_gone_is_known_as_long_as_its_group() {
    let mut cache = TargetCache::default();
    let removed = |id: &str| TargetChange::Removed(id.to_owned());
    for (rank, id) in ["leader", "cut", "unreadable", "leaving"]
        .into_iter()
        .enumerate()
    {
        let listed = TargetRecord {
            is_draining: id == "leaving",
            ..member(id, rank)
        };
        cache.apply(TargetChange::Put(Box::new(listed)), None);
    }
    cache.apply(TargetChange::Put(Box::new(record("single"))), None);
    cache.apply(TargetChange::Unreadable("unreadable".to_owned()), None);
    for id in ["cut", "leaving", "single"] {
        cache.apply(removed(id), None);
    }
    cache.prune_unlisted();
    let unlisted: Vec<&TargetId> = cache.unlisted().keys().collect();
    expect_that!(unlisted, elements_are![eq(&"cut")]);
    expect_that!(cache.targets().len(), eq(1));
    cache.apply(removed("leader"), None);
    cache.prune_unlisted();
    expect_that!(cache.unlisted().len(), eq(0));
}
