//! Decides which groups change over to another model within seconds.
//!
//! The load addressed: the requests for one model double within a second while the groups of
//! another are mostly idle. A host keeps the weights that were staged last beside those that its
//! group runs on. A group whose members all hold another model's weights is a *standby* for that
//! model: it serves its own model, and its members can serve the other one as soon as they have
//! joined a new group, without a load.
//!
//! All controllers compute the same plan from the same need and the same targets, and each carries
//! out the part of its own domains.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;

use crate::engine::EngineSpec;
use crate::id::{DomainId, ModelId, Moment};

mod standby;
mod supply;

pub use standby::{StandbyPlan, StandbyShare};
pub use supply::{DomainSupply, GroupSupply, TargetSupply};

use supply::group_size;

/// Time that a closed group has to finish its streams before they are moved to other groups.
///
/// Callers wait up to a second for a slot, and a request holds one for 0.5 to 2 s: most streams end
/// by themselves, and the rest is moved while callers of the other model still wait.
pub const CLOSE_LIMIT: Duration = Duration::from_millis(1_500);
/// Minimum age of a group that changes over, and thereby the time between two changeovers of it.
///
/// A changeover costs 3.4 s of a group's slots. Its callers get the other two thirds of the time.
pub const CHANGEOVER_INTERVAL: Duration = Duration::from_secs(10);
/// Ratio of need and slots above which a model gets groups.
///
/// Below it, callers wait for less than a quarter of the time that a request holds a slot, which is
/// within the shortest latency objective.
const SHORTAGE_RATIO: f64 = 1.25;
/// Ratio of need and slots above which a model gets more groups while it counts as short.
const COVERED_RATIO: f64 = 1.0;
/// Time for which a model counts as short after it last lacked groups.
///
/// The need of a burst is measured over a second; a part of it would be filled otherwise.
const SHORTAGE_HOLD: Duration = Duration::from_secs(2);
/// Groups that the giving model keeps for each group that it needs.
const DONOR_RESERVE: f64 = 1.25;
/// Minimum number of groups that a model keeps, whatever its need.
const MIN_GROUPS: usize = 1;
/// Expected duration of a burst in seconds; shorter ones are over before a group has changed over.
const BURST_SECONDS: f64 = 5.0;
/// Time for which a planned transfer counts as under way although it is not visible yet.
///
/// The directory shows a change of another domain's targets after several hundred milliseconds.
const VISIBILITY_DELAY: Duration = Duration::from_secs(1);

/// Groups that a model needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelNeed {
    /// For the requests that are running and waiting now and those of the last second.
    pub short_term: f64,
    /// For the requests of the last few seconds.
    pub sustained: f64,
}

impl ModelNeed {
    /// Returns the number of groups that the model keeps.
    fn kept_groups(self) -> usize {
        let need = self.short_term.max(self.sustained);
        ((need * DONOR_RESERVE).ceil() as usize).max(MIN_GROUPS)
    }
}

/// Inputs of a plan.
#[derive(Clone, Copy, Debug)]
pub struct ChangeoverParams<'a> {
    /// Engine with its models.
    pub engine: &'a EngineSpec,
    /// Need of each model.
    pub need: &'a IndexMap<ModelId, ModelNeed>,
    /// Groups and targets of each domain.
    pub domains: &'a [DomainSupply],
    /// Plan of the previous round.
    pub previous: &'a ChangeoverPlan,
    /// Current time.
    pub now: Moment,
}

/// Groups of one domain that change over from one model to another.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupTransfer {
    /// Model that they serve.
    pub from: ModelId,
    /// Model that their targets will serve.
    pub to: ModelId,
    /// Number of groups of the first model.
    pub groups: usize,
}

/// Which groups change over now, and which prepare for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeoverPlan {
    /// Groups that change over now, by domain.
    pub transfers: IndexMap<DomainId, Vec<GroupTransfer>>,
    /// Standbys to prepare.
    pub standbys: StandbyPlan,
    /// Models that lack groups, and when they last did.
    short: IndexMap<ModelId, Moment>,
    /// Transfers that the targets' states may not show yet.
    pending: Vec<PendingTransfer>,
}

/// One domain's part of a plan.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainChangeover {
    /// Groups that change over now.
    pub transfers: Vec<GroupTransfer>,
    /// Groups that are or should be prepared.
    pub standbys: Vec<StandbyShare>,
    /// Number of loads for standbys that may be in progress.
    pub loads: usize,
}

impl ChangeoverPlan {
    /// Returns the part of one domain.
    ///
    /// ```
    /// use briarswitch_core::changeover::ChangeoverPlan;
    ///
    /// let plan = ChangeoverPlan::default();
    /// assert!(plan.of_domain("d1").transfers.is_empty());
    /// ```
    pub fn of_domain(&self, domain: &str) -> DomainChangeover {
        let standbys = &self.standbys;
        DomainChangeover {
            transfers: self.transfers.get(domain).cloned().unwrap_or_default(),
            standbys: standbys.shares.get(domain).cloned().unwrap_or_default(),
            loads: standbys.loads.get(domain).copied().unwrap_or(0),
        }
    }
}

/// A transfer, and what its domain has left afterwards.
#[derive(Clone, Debug, PartialEq)]
struct PendingTransfer {
    domain: DomainId,
    transfer: GroupTransfer,
    planned_at: Moment,
    ready_after: usize,
    open_after: usize,
    arriving_after: usize,
}

/// Decides which domains give how many groups of which model to which other model now, and which
/// prepare standbys.
///
/// ```
/// use std::time::Duration;
///
/// use briarswitch_core::changeover::{
///     plan_changeover, ChangeoverParams, ChangeoverPlan, DomainSupply, GroupSupply, ModelNeed,
/// };
/// use briarswitch_core::engine::{EngineSpec, ModelSpec};
/// use indexmap::IndexMap;
///
/// let model = |id: &str, size| {
///     let id = id.to_owned();
///     (id.clone(), ModelSpec { id, group_size: size, ..ModelSpec::default() })
/// };
/// let models = IndexMap::from([model("large", 4), model("small", 2)]);
/// let engine = EngineSpec { models, slots: 10, ..EngineSpec::default() };
/// let standby = GroupSupply {
///     model: "large".to_owned(),
///     age: Duration::from_secs(60),
///     prepared: IndexMap::from([("small".to_owned(), 4)]),
/// };
/// let small = GroupSupply { model: "small".to_owned(), ..GroupSupply::default() };
/// let groups = vec![standby.clone(), standby, small];
/// let domain = DomainSupply { domain: "d1".to_owned(), groups, ..DomainSupply::default() };
/// let need = |groups| ModelNeed { short_term: groups, sustained: groups };
/// let plan = plan_changeover(ChangeoverParams {
///     engine: &engine,
///     need: &IndexMap::from([("large".to_owned(), need(0.5)), ("small".to_owned(), need(3.0))]),
///     domains: &[domain],
///     previous: &ChangeoverPlan::default(),
///     now: Duration::from_secs(60),
/// });
/// assert_eq!(plan.transfers["d1"][0].groups, 1);
/// ```
pub fn plan_changeover(params: ChangeoverParams<'_>) -> ChangeoverPlan {
    let mut draft = ChangeoverDraft::new(params);
    draft.transfer_groups();
    let standbys = draft.plan_standbys();
    ChangeoverPlan {
        transfers: draft.transfers,
        standbys,
        short: draft.short,
        pending: draft.pending,
    }
}

/// The model that a group serves, and another one.
type ModelPair<'a> = (&'a ModelId, &'a ModelId);

/// One domain while a plan is made.
struct DomainDraft<'a> {
    supply: &'a DomainSupply,
    /// Open groups by model.
    open: IndexMap<&'a ModelId, usize>,
    /// Targets that form groups without a load, by model.
    arriving: IndexMap<&'a ModelId, usize>,
    /// Open groups that may change over.
    ready: IndexMap<ModelPair<'a>, usize>,
}

/// A plan under construction.
struct ChangeoverDraft<'a> {
    params: ChangeoverParams<'a>,
    models: Vec<&'a ModelId>,
    domains: Vec<DomainDraft<'a>>,
    transfers: IndexMap<DomainId, Vec<GroupTransfer>>,
    short: IndexMap<ModelId, Moment>,
    pending: Vec<PendingTransfer>,
}

/// Groups of one domain that together form at least one group of another model.
#[derive(Clone, Copy, Debug)]
struct TransferUnit<'a> {
    domain: usize,
    from: &'a ModelId,
    to: &'a ModelId,
    groups: usize,
}

impl<'a> ChangeoverDraft<'a> {
    fn new(params: ChangeoverParams<'a>) -> Self {
        let models: Vec<&ModelId> = params.engine.models.keys().collect();
        let domains = params.domains.iter();
        let domains = domains.map(|supply| DomainDraft::new(supply, &models, params.engine));
        let mut draft = Self {
            domains: domains.collect(),
            models,
            transfers: IndexMap::new(),
            short: IndexMap::new(),
            pending: Vec::new(),
            params,
        };
        draft.apply_pending();
        draft.short = draft.short_models();
        draft
    }

    /// Counts the transfers of the last rounds that the targets' states may not show yet.
    fn apply_pending(&mut self) {
        let is_recent = |pending: &&PendingTransfer| {
            self.params.now < pending.planned_at + VISIBILITY_DELAY
                && pending.planned_at <= self.params.now
        };
        let recent = self.params.previous.pending.iter().filter(is_recent);
        self.pending = recent.cloned().collect();
        for pending in &self.pending {
            let domains = self.domains.iter_mut();
            let mut domains = domains.filter(|domain| domain.supply.domain == pending.domain);
            if let Some(domain) = domains.next() {
                domain.apply_pending(pending);
            }
        }
    }

    /// Returns the models that lack groups, and when they last did.
    fn short_models(&self) -> IndexMap<ModelId, Moment> {
        let short = self.models.iter().filter_map(|model| {
            let previous = self.params.previous.short.get(*model).copied();
            let last = previous.filter(|last| self.params.now < *last + SHORTAGE_HOLD);
            let ratio = last.map_or(SHORTAGE_RATIO, |_| COVERED_RATIO);
            let supplied = self.supplied_groups(model) as f64;
            let is_lacking = self.need(model).short_term > supplied * ratio;
            let last = if is_lacking {
                Some(self.params.now)
            } else {
                last
            };
            Some(((*model).clone(), last?))
        });
        short.collect()
    }

    fn need(&self, model: &str) -> ModelNeed {
        self.params.need.get(model).copied().unwrap_or_default()
    }

    fn open_groups(&self, model: &ModelId) -> usize {
        self.domains
            .iter()
            .map(|domain| domain.open_of(model))
            .sum()
    }

    /// Returns the number of groups that are open or will be without a load.
    fn supplied_groups(&self, model: &ModelId) -> usize {
        let size = group_size(self.params.engine, model);
        let arriving = self.domains.iter();
        let arriving = arriving.map(|domain| domain.arriving_of(model) / size);
        self.open_groups(model) + arriving.sum::<usize>()
    }

    fn missing_groups(&self, model: &ModelId) -> f64 {
        self.need(model).short_term - self.supplied_groups(model) as f64
    }

    /// Returns the groups of a model beyond those that it keeps.
    fn spare_groups(&self, model: &ModelId) -> usize {
        let kept = self.need(model).kept_groups();
        self.open_groups(model).saturating_sub(kept)
    }

    fn coverage(&self, model: &ModelId) -> f64 {
        let need = self.need(model);
        let need = need.short_term.max(need.sustained).max(f64::MIN_POSITIVE);
        self.supplied_groups(model) as f64 / need
    }

    /// Plans transfers until no model lacks groups that another one can give.
    fn transfer_groups(&mut self) {
        let mut recipients: Vec<&'a ModelId> = self.models.clone();
        recipients.retain(|model| self.short.contains_key(*model));
        recipients.sort_by(|left, right| self.coverage(left).total_cmp(&self.coverage(right)));
        for to in recipients {
            while let Some(unit) = self.best_unit(to) {
                self.transfer(unit);
            }
        }
    }

    fn best_unit(&self, to: &'a ModelId) -> Option<TransferUnit<'a>> {
        if self.missing_groups(to) <= 0.0 {
            return None;
        }
        let donors = self.models.iter().filter(|from| **from != to);
        let mut donors: Vec<&'a ModelId> = donors.copied().collect();
        donors.retain(|from| !self.short.contains_key(*from));
        donors.sort_by(|left, right| self.coverage(right).total_cmp(&self.coverage(left)));
        donors
            .into_iter()
            .find_map(|from| self.unit_of_donor(from, to))
    }

    /// Returns the next groups of a model to transfer, from the domain that has the most.
    fn unit_of_donor(&self, from: &'a ModelId, to: &'a ModelId) -> Option<TransferUnit<'a>> {
        let engine = self.params.engine;
        let groups = group_size(engine, to).div_ceil(group_size(engine, from));
        if self.spare_groups(from) < groups || !self.is_worthwhile(from, to, groups) {
            return None;
        }
        let domains = self.domains.iter().enumerate();
        let able = domains.filter(|(_, domain)| domain.ready_of(from, to) >= groups);
        let (domain, _) = able.max_by_key(|(index, domain)| {
            let after = domain.open_of(from) - groups;
            (after, domain.ready_of(from, to), Reverse(*index))
        })?;
        Some(TransferUnit {
            domain,
            from,
            to,
            groups,
        })
    }

    /// Returns whether the slots gained during a burst exceed those lost while groups change over.
    fn is_worthwhile(&self, from: &ModelId, to: &ModelId, groups: usize) -> bool {
        let engine = self.params.engine;
        let gained = groups * group_size(engine, from) / group_size(engine, to);
        let gain = self.missing_groups(to).min(gained as f64) * BURST_SECONDS;
        let need = self.need(from);
        let used = need.short_term.max(need.sustained) / self.open_groups(from).max(1) as f64;
        let warmup = engine.models.get(to).map(|model| model.warmup);
        let time = CLOSE_LIMIT + warmup.unwrap_or_default() + engine.open_time;
        gain > groups as f64 * used.min(1.0) * time.as_secs_f64()
    }

    fn transfer(&mut self, unit: TransferUnit<'a>) {
        let targets = unit.groups * group_size(self.params.engine, unit.from);
        let domain = &mut self.domains[unit.domain];
        domain.transfer(unit, targets);
        let id = domain.supply.domain.clone();
        let transfer = GroupTransfer {
            from: unit.from.clone(),
            to: unit.to.clone(),
            groups: unit.groups,
        };
        self.pending.push(PendingTransfer {
            domain: id.clone(),
            transfer: transfer.clone(),
            planned_at: self.params.now,
            ready_after: domain.ready_of(unit.from, unit.to),
            open_after: domain.open_of(unit.from),
            arriving_after: domain.arriving_of(unit.to),
        });
        let transfers = self.transfers.entry(id).or_default();
        let mut same = transfers.iter_mut();
        match same.find(|other| other.from == *unit.from && other.to == *unit.to) {
            Some(other) => other.groups += unit.groups,
            None => transfers.push(transfer),
        }
    }
}

impl<'a> DomainDraft<'a> {
    fn new(supply: &'a DomainSupply, models: &[&'a ModelId], engine: &EngineSpec) -> Self {
        let open = models.iter();
        let open = open.map(|model| (*model, supply.open_groups(model)));
        let arriving = models.iter();
        let arriving = arriving.map(|model| {
            let targets = supply.arriving.get(*model);
            (*model, targets.copied().unwrap_or(0))
        });
        let pairs = models
            .iter()
            .flat_map(|from| models.iter().map(move |to| (*from, *to)));
        let pairs = pairs.filter(|(from, to)| from != to);
        let ready = pairs.map(|(from, to)| ((from, to), supply.ready_groups(from, to, engine)));
        Self {
            supply,
            open: open.collect(),
            arriving: arriving.collect(),
            ready: ready.collect(),
        }
    }

    fn open_of(&self, model: &ModelId) -> usize {
        self.open.get(model).copied().unwrap_or(0)
    }

    fn arriving_of(&self, model: &ModelId) -> usize {
        self.arriving.get(model).copied().unwrap_or(0)
    }

    fn ready_of(&self, from: &ModelId, to: &ModelId) -> usize {
        self.ready.get(&(from, to)).copied().unwrap_or(0)
    }

    fn transfer(&mut self, unit: TransferUnit<'a>, targets: usize) {
        *self.open.entry(unit.from).or_insert(0) -= unit.groups;
        *self.arriving.entry(unit.to).or_insert(0) += targets;
        *self.ready.entry((unit.from, unit.to)).or_insert(0) -= unit.groups;
    }

    fn apply_pending(&mut self, pending: &PendingTransfer) {
        let GroupTransfer { from, to, .. } = &pending.transfer;
        if let Some(open) = self.open.get_mut(from) {
            *open = (*open).min(pending.open_after);
        }
        let mut ready = self.ready.iter_mut();
        if let Some((_, ready)) = ready.find(|(pair, _)| *pair.0 == *from && *pair.1 == *to) {
            *ready = (*ready).min(pending.ready_after);
        }
        if let Some(arriving) = self.arriving.get_mut(to) {
            *arriving = (*arriving).max(pending.arriving_after);
        }
    }
}
