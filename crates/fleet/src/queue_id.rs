//! Names of the queues that all nodes share, and the groups of each.

use briarswitch_core::id::*;
use briarswitch_core::shared_queue::GroupKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest number of groups that one queue serves; a model with more groups has several queues (shards).
const MAX_GROUPS_PER_SHARD: usize = 24;

/// A queue for the groups of a model, or for a part of them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct QueueId {
    /// Service.
    pub service: ServiceId,
    /// Model.
    pub model: ModelId,
    /// Part of the model's groups; `None` if the queue serves all of them.
    pub shard: Option<u32>,
}

impl QueueId {
    /// Returns the ids of all queues of a model with so many groups.
    ///
    /// ```
    /// use briarswitch_fleet::queue_id::QueueId;
    ///
    /// let names = |groups| QueueId::of_model("lm", "m0", groups).map(|id| id.rank_key()).collect::<Vec<_>>();
    /// assert_eq!(names(24), ["queue/lm/m0"]);
    /// assert_eq!(names(25), ["queue/lm/m0/0", "queue/lm/m0/1"]);
    /// ```
    pub fn of_model<'a>(
        service: &'a str,
        model: &'a str,
        groups: usize,
    ) -> impl Iterator<Item = Self> + 'a {
        let shards = shard_count(groups);
        (0..shards).map(move |shard| Self {
            service: service.to_owned(),
            model: model.to_owned(),
            shard: (shards > 1).then_some(shard),
        })
    }

    /// Returns the key by which nodes are ranked as the queue's coordinator.
    pub fn rank_key(&self) -> String {
        let Self { service, model, .. } = self;
        match self.shard {
            Some(shard) => format!("queue/{service}/{model}/{shard}"),
            None => format!("queue/{service}/{model}"),
        }
    }

    /// Returns whether the queue serves a group of its model, which has so many groups.
    pub fn serves(&self, group: GroupKey, groups: usize) -> bool {
        self.shard
            .is_none_or(|shard| shard_of(group, shard_count(groups)) == shard)
    }
}

/// Returns the number of queues of a model with so many groups.
pub fn shard_count(groups: usize) -> u32 {
    groups.div_ceil(MAX_GROUPS_PER_SHARD).max(1) as u32
}

/// Returns the shard of a group by rendezvous hashing: when a shard is added, only the groups that it takes over change.
///
/// ```
/// use briarswitch_fleet::queue_id::shard_of;
///
/// assert_eq!(shard_of(7, 1), 0);
/// assert!(shard_of(7, 3) < 3);
/// ```
pub fn shard_of(group: GroupKey, shards: u32) -> u32 {
    let rank = |shard: &u32| xxh3_64_with_seed(&group.to_le_bytes(), u64::from(*shard));
    (0..shards).min_by_key(rank).unwrap_or(0)
}
