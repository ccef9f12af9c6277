//! Slot shares of each node, by which nodes assign slots without a shared queue.

use std::sync::LazyLock;
use std::time::Duration;

use briarswitch_core::engine::EngineSpec;
use briarswitch_core::id::Moment;
use briarswitch_core::placement::{pick_group, slot_share, GroupLoad, NodeWeight, PlacementParams};
use briarswitch_core::shared_queue::GroupKey;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::large_engine::large_engine;
use super::queue_load::{node_weight, weight_before, MEAN_SLOT_SECONDS, NODES};
use super::queue_nodes::{GroupCounts, GROUPS, SLOTS};

/// Age of the nodes' information about each other, which is also the length of their turns.
const INFO_AGE: Duration = Duration::from_millis(200);

static ENGINE: LazyLock<EngineSpec> = LazyLock::new(|| large_engine(SLOTS));

/// What a node knows when it places a request.
pub struct NodeKnowledge {
    /// Requests of all nodes by group, as gossip reports them.
    pub known: GroupCounts,
    /// Its own requests by group.
    pub own: GroupCounts,
    /// Those of its own requests that others know of.
    pub reported: GroupCounts,
    /// Whether the request is late.
    pub is_late: bool,
}

/// Returns the group that a node selects, if it may use one.
pub fn pick_by_shares(
    node: usize,
    knowledge: &NodeKnowledge,
    now: Moment,
    random: &mut StdRng,
) -> Option<GroupKey> {
    let total = weight_before(NODES);
    let own_weight = node_weight(node);
    let load_of = |group: usize| {
        // The shares of each group begin at another node, so that each node has a share of some group.
        let first = (group * NODES) / GROUPS;
        let before = weight_before(node) - weight_before(first);
        let weight = NodeWeight {
            before: if node < first { before + total } else { before },
            own: own_weight,
            total,
        };
        let own = knowledge.own[group];
        let unreported = own.saturating_sub(knowledge.reported[group]);
        GroupLoad {
            active_requests: (knowledge.known[group] + unreported).max(own),
            local_requests: own,
            unreported_requests: unreported,
            nodes: NODES as u32,
            slot_share: slot_share(SLOTS, weight),
            is_request_late: knowledge.is_late,
            ..GroupLoad::default()
        }
    };
    let loads: Vec<GroupLoad> = (0..GROUPS).map(load_of).collect();
    let window = now.as_millis() / INFO_AGE.as_millis();
    let mut turn = StdRng::seed_from_u64(window as u64 * 1_000 + node as u64);
    let per_second = f64::from(SLOTS) * GROUPS as f64 / MEAN_SLOT_SECONDS;
    let params = PlacementParams {
        prompt_tokens: 1_600,
        unseen_requests: per_second * INFO_AGE.as_secs_f64(),
        draw: random.random(),
        turn: turn.random(),
    };
    let group = pick_group(&ENGINE, &ENGINE.models["large"], &loads, &params)?;
    Some(group as GroupKey)
}
