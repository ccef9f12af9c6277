//! A fleet of domains whose controllers plan changeovers, with targets that obey conditional orders.
//!
//! Each controller sees its own domain as it is and the others as they were some time ago. Targets
//! take their time to load, to join, to open and to end the streams of a closed group.

use std::time::Duration;

use briarswitch_core::assembly::{
    ChangeoverEvent, DomainReconciler, DomainView, HeldWeights, TargetFacts, TargetPace,
    TargetStatus,
};
use briarswitch_core::changeover::{
    plan_changeover, ChangeoverParams, ChangeoverPlan, DomainSupply, ModelNeed, TargetSupply,
};
use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use briarswitch_core::layout::{plan_layout, DomainInventory, DomainLayout, LayoutPhase};
use briarswitch_core::order::{OrderResult, TargetAction, TargetOrder};
use briarswitch_core::target::{Membership, MembershipState};
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub const LARGE: &str = "large";
pub const SMALL: &str = "small";
/// Group sizes of the larger and the smaller model.
pub const SIZES: [usize; 2] = [8, 4];
pub const DOMAINS: usize = 3;
/// Targets of a domain: two groups of the larger model, two of the smaller one, three spares.
const TARGETS: usize = 27;
pub const LOAD_TIME: Duration = Duration::from_secs(14);
const OPEN_TIME: Duration = Duration::from_millis(300);
const REJOIN_TIME: Duration = Duration::from_millis(200);
/// Time of one control round.
pub const ROUND: Duration = Duration::from_millis(50);
/// Rounds between two plans.
const PLAN_ROUNDS: u64 = 3;
/// Age of what controllers see of other domains, in rounds.
const VIEW_AGE: usize = 8;
/// Time that waiting requests wait, as a share of the time that a request holds a slot.
const WAIT_SHARE: f64 = 0.3;

/// Faults of the connection between controllers and targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderFaults {
    /// Share of orders that are not answered and not carried out.
    pub lost: f64,
    /// Share of orders that are not answered and carried out up to 5 s late.
    pub late: f64,
}

#[derive(Clone, Debug)]
pub struct SimTarget {
    pub facts: TargetFacts,
    domain: usize,
    members: Vec<TargetId>,
    last_model: Option<ModelId>,
    /// What it is doing, and when that ends.
    work: Option<(SimWork, Moment)>,
    /// When it last joined a group of another model than before.
    pub changed: Vec<Moment>,
}

#[derive(Clone, Debug)]
enum SimWork {
    Load(ModelId),
    Join(ModelId),
    Open,
    Close,
}

struct Controller {
    reconciler: DomainReconciler,
    layout: DomainLayout,
    plan: ChangeoverPlan,
    loading: IndexMap<TargetId, ModelId>,
}

pub struct FleetSimulation {
    pub now: Moment,
    rounds: u64,
    rng: StdRng,
    pub engine: EngineSpec,
    pub targets: IndexMap<TargetId, SimTarget>,
    controllers: Vec<Controller>,
    started: usize,
    /// Targets as they were in the last rounds.
    history: Vec<IndexMap<TargetId, SimTarget>>,
    late: Vec<(Moment, TargetOrder)>,
    /// Groups' worth of requests by model.
    pub load: IndexMap<ModelId, f64>,
    need: IndexMap<ModelId, ModelNeed>,
    /// Time that streams of a closed group take to end.
    pub stream_time: Duration,
    pub faults: OrderFaults,
    pub events: Vec<ChangeoverEvent>,
    pub violations: Vec<String>,
}

impl FleetSimulation {
    /// Creates a fleet whose targets hold the weights that their groups need, and forms the groups.
    pub fn new(warmup: Duration, seed: u64) -> Self {
        let models = [(LARGE, SIZES[0]), (SMALL, SIZES[1])].map(|(id, size)| {
            let spec = ModelSpec {
                id: id.to_owned(),
                group_size: size,
                expected_share: 0.5,
                time_factor: 1.0,
                load_time: LOAD_TIME,
                warmup,
            };
            (spec.id.clone(), spec)
        });
        let mut fleet = Self {
            now: Duration::from_secs(1_000),
            rounds: 0,
            rng: StdRng::seed_from_u64(seed),
            engine: EngineSpec {
                slots: 34,
                parallel_loads: 12,
                open_time: OPEN_TIME,
                models: IndexMap::from(models),
                ..EngineSpec::default()
            },
            targets: IndexMap::new(),
            controllers: Vec::new(),
            started: 0,
            history: Vec::new(),
            late: Vec::new(),
            load: IndexMap::from([(LARGE.to_owned(), 1.0), (SMALL.to_owned(), 4.0)]),
            need: IndexMap::new(),
            stream_time: Duration::ZERO,
            faults: OrderFaults::default(),
            events: Vec::new(),
            violations: Vec::new(),
        };
        for domain in 0..DOMAINS {
            for index in 0..TARGETS {
                let staged = if index < 2 * SIZES[0] { LARGE } else { SMALL };
                fleet.add_target(domain, index, staged);
            }
            let controller = fleet.new_controller(domain);
            fleet.controllers.push(controller);
        }
        fleet.run(Duration::from_secs(10));
        fleet
    }

    fn new_controller(&mut self, domain: usize) -> Controller {
        self.started += 1;
        Controller {
            reconciler: DomainReconciler::new(format!("n{domain}-{}", self.started)),
            layout: DomainLayout::default(),
            plan: ChangeoverPlan::default(),
            loading: IndexMap::new(),
        }
    }

    fn add_target(&mut self, domain: usize, index: usize, staged: &str) {
        let facts = TargetFacts {
            incarnation: 1,
            status: TargetStatus::Live,
            membership: None,
            model: None,
            staged: vec![staged.to_owned()],
            sequence: 0,
            is_busy: false,
            epoch_seen: 0,
            is_fresh: true,
            pace: TargetPace::default(),
        };
        let target = SimTarget {
            facts,
            domain,
            members: Vec::new(),
            last_model: None,
            work: None,
            changed: Vec::new(),
        };
        self.targets.insert(format!("d{domain}-t{index}"), target);
    }

    /// Replaces the controller of a domain by one that knows only what the targets report.
    pub fn replace_controller(&mut self, domain: usize) {
        self.controllers[domain] = self.new_controller(domain);
    }

    /// Lets the members of the first groups of a model hold another model's weights.
    pub fn prepare(&mut self, serves: &str, prepares: &str, groups: usize) {
        let mut prepared: Vec<GroupId> = Vec::new();
        for target in self.targets.values_mut() {
            let facts = &mut target.facts;
            let membership = facts.membership.as_ref();
            let Some(membership) = membership.filter(|_| facts.model.as_deref() == Some(serves))
            else {
                continue;
            };
            if !prepared.contains(&membership.group) && prepared.len() < groups {
                prepared.push(membership.group.clone());
            }
            if prepared.contains(&membership.group) {
                facts.staged = vec![prepares.to_owned()];
            }
        }
    }

    /// Terminates a target; its controller notices at once.
    pub fn kill(&mut self, id: &str) {
        self.targets.swap_remove(id);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.round();
        }
    }

    /// Runs one control round of all domains.
    pub fn round(&mut self) {
        self.now += ROUND;
        self.rounds += 1;
        self.update_need();
        self.advance_targets();
        let now = self.now;
        let late = std::mem::take(&mut self.late);
        let (due, rest): (Vec<_>, Vec<_>) = late.into_iter().partition(|(at, _)| now >= *at);
        self.late = rest;
        for (_, order) in due {
            self.execute(&order);
        }
        self.history.push(self.targets.clone());
        if self.history.len() > VIEW_AGE {
            self.history.remove(0);
        }
        for domain in 0..DOMAINS {
            self.control(domain);
        }
    }

    /// Updates the need by the load: a mean over 1 s and what waits, and a mean over 3 s.
    fn update_need(&mut self) {
        for (model, load) in &self.load {
            let open = open_groups(&self.targets, model) as f64;
            let need = self.need.entry(model.clone()).or_default();
            let mean = |mean: f64, seconds: f64| {
                mean + (load - mean) * (1.0 - (-ROUND.as_secs_f64() / seconds).exp())
            };
            let waiting = (load - open).max(0.0) * WAIT_SHARE;
            need.sustained = mean(need.sustained, 3.0);
            // The recent rate is kept without what waits.
            let recent = mean((need.short_term - waiting).max(0.0), 1.0);
            need.short_term = recent.max(load.min(open)) + waiting;
        }
    }

    fn advance_targets(&mut self) {
        let now = self.now;
        for target in self.targets.values_mut() {
            let Some((work, _)) = target.work.take_if(|(_, until)| now >= *until) else {
                continue;
            };
            let facts = &mut target.facts;
            facts.is_busy = false;
            let state = match work {
                SimWork::Load(model) => {
                    facts.staged = vec![model];
                    continue;
                }
                SimWork::Join(model) => {
                    if target.last_model.as_ref() != Some(&model) {
                        facts.staged = vec![model.clone()];
                    }
                    if target
                        .last_model
                        .as_ref()
                        .is_some_and(|last| *last != model)
                    {
                        target.changed.push(now);
                    }
                    target.last_model = Some(model);
                    MembershipState::Ready
                }
                SimWork::Open => MembershipState::Open,
                SimWork::Close => MembershipState::Ready,
            };
            if let Some(membership) = &mut facts.membership {
                membership.state = state;
            }
        }
    }

    fn control(&mut self, domain: usize) {
        let facts: IndexMap<TargetId, TargetFacts> = self
            .targets
            .iter()
            .filter(|(_, target)| target.domain == domain)
            .map(|(id, target)| (id.clone(), target.facts.clone()))
            .collect();
        for id in facts.keys() {
            self.controllers[domain].reconciler.note_report(id);
        }
        if self.rounds % PLAN_ROUNDS == domain as u64 % PLAN_ROUNDS {
            self.plan(domain, &facts);
        }
        let controller = &mut self.controllers[domain];
        let view = DomainView {
            targets: &facts,
            engine: &self.engine,
            layout: &controller.layout,
            loading: &controller.loading,
            load_budget: self.engine.parallel_loads,
            may_load_on_join: false,
            epoch_floor: self.now.as_millis() as u64,
        };
        let orders = controller.reconciler.plan(view, self.now);
        let events = controller.reconciler.take_changeover_events();
        self.events.extend(events);
        for order in orders {
            let result = self.send(&order);
            let controller = &mut self.controllers[domain];
            if let (TargetAction::Stage { model }, OrderResult::Begun) = (&order.action, result) {
                controller
                    .loading
                    .insert(order.target.clone(), model.clone());
            }
            controller.reconciler.note_result(&order.target, result);
        }
    }

    fn plan(&mut self, domain: usize, facts: &IndexMap<TargetId, TargetFacts>) {
        let known = self.seen_by(domain);
        self.plan_changeover(domain, &known, facts);
        let controller = &mut self.controllers[domain];
        // The domain's own inventory suffices, since no target is without weights.
        let mut inventory = DomainInventory {
            domain: format!("d{domain}"),
            reports_loads: true,
            ..DomainInventory::default()
        };
        for (id, facts) in facts {
            let loading = controller.loading.get(id).filter(|_| facts.is_busy);
            let reconciler = &controller.reconciler;
            let weights = reconciler.counted_weights(id, facts, loading);
            match weights.next_model() {
                Some(model) => *inventory.holders.entry(model.clone()).or_insert(0) += 1,
                None => inventory.empty += 1,
            }
        }
        let sustained = self.need.iter();
        let demand = sustained.map(|(model, need)| (model.clone(), need.sustained));
        let mut layouts = plan_layout(
            &self.engine,
            &demand.collect(),
            &[inventory],
            LayoutPhase::Serving,
        );
        let layout = layouts.swap_remove(&format!("d{domain}"));
        controller.layout = layout.unwrap_or_default();
        controller.loading.retain(|id, _| facts.contains_key(id));
    }

    fn plan_changeover(
        &mut self,
        domain: usize,
        known: &IndexMap<TargetId, SimTarget>,
        facts: &IndexMap<TargetId, TargetFacts>,
    ) {
        let now_ms = self.now.as_millis() as u64;
        let controller = &mut self.controllers[domain];
        let names: Vec<DomainId> = (0..DOMAINS).map(|index| format!("d{index}")).collect();
        let supplies = known.iter().map(|(id, target)| {
            let membership = target.facts.membership.as_ref();
            let formed = membership.map_or(now_ms, |membership| membership.epoch);
            let next = controller.reconciler.arriving_model(id, &target.facts);
            TargetSupply {
                domain: &names[target.domain],
                weights: HeldWeights::from(&target.facts),
                group_age: Duration::from_millis(now_ms.saturating_sub(formed)),
                next: next.filter(|_| target.domain == domain),
            }
        });
        let supplies = DomainSupply::collect(supplies);
        let plan = plan_changeover(ChangeoverParams {
            engine: &self.engine,
            need: &self.need,
            domains: &supplies,
            previous: &controller.plan,
            now: self.now,
        });
        let part = plan.of_domain(&names[domain]);
        let view = DomainView {
            targets: facts,
            engine: &self.engine,
            layout: &controller.layout,
            loading: &controller.loading,
            load_budget: 0,
            may_load_on_join: false,
            epoch_floor: now_ms,
        };
        controller
            .reconciler
            .begin_changeovers(part, view, self.now);
        controller.plan = plan;
    }

    /// Returns the targets as one controller sees them.
    fn seen_by(&self, domain: usize) -> IndexMap<TargetId, SimTarget> {
        let outdated = &self.history[0];
        let others = outdated
            .iter()
            .filter(|(_, target)| target.domain != domain);
        let own = self
            .targets
            .iter()
            .filter(|(_, target)| target.domain == domain);
        let mut seen: IndexMap<TargetId, SimTarget> = own
            .chain(others)
            .map(|(id, target)| (id.clone(), target.clone()))
            .collect();
        seen.sort_keys();
        seen
    }

    fn send(&mut self, order: &TargetOrder) -> OrderResult {
        let random: f64 = self.rng.random();
        if random < self.faults.lost {
            return OrderResult::Lost;
        }
        if random < self.faults.lost + self.faults.late {
            let delay = Duration::from_millis(self.rng.random_range(0..5_000));
            self.late.push((self.now + delay, order.clone()));
            return OrderResult::Lost;
        }
        self.execute(order)
    }

    /// Carries out an order if its condition holds.
    fn execute(&mut self, order: &TargetOrder) -> OrderResult {
        self.check_join(order);
        let (now, engine) = (self.now, &self.engine);
        let Some(target) = self.targets.get_mut(&order.target) else {
            return OrderResult::Lost;
        };
        let facts = &mut target.facts;
        let is_in = order.action.group() == facts.membership.as_ref().map(|held| &held.group);
        let is_join = matches!(order.action, TargetAction::Join { .. });
        let is_stage = matches!(order.action, TargetAction::Stage { .. });
        if facts.sequence != order.expected || (!is_in && !is_join && !is_stage) {
            return OrderResult::Conflict;
        }
        facts.sequence += 1;
        let effect = order
            .action
            .effect(&order.target, facts.membership.as_ref());
        let work = match &order.action {
            TargetAction::Join {
                model,
                members,
                epoch,
                ..
            } => {
                let is_last = target.last_model.as_ref() == Some(model);
                let is_staged = facts.staged.contains(model);
                let spec = &engine.models[model];
                let time = if is_staged {
                    spec.warmup
                } else {
                    spec.load_time
                };
                facts.model = Some(model.clone());
                facts.epoch_seen = *epoch;
                target.members.clone_from(members);
                let time = if is_last { REJOIN_TIME } else { time };
                Some((SimWork::Join(model.clone()), now + time))
            }
            TargetAction::Open { .. } => Some((SimWork::Open, now + OPEN_TIME)),
            TargetAction::Close { .. } => Some((SimWork::Close, now + self.stream_time)),
            TargetAction::Leave { .. } => {
                facts.model = None;
                None
            }
            TargetAction::Stage { model } => Some((SimWork::Load(model.clone()), now + LOAD_TIME)),
        };
        facts.is_busy = work.is_some();
        facts.membership = effect;
        target.work = work;
        OrderResult::Begun
    }

    /// Checks that no order takes a member of a serving group into another one.
    fn check_join(&mut self, order: &TargetOrder) {
        let TargetAction::Join { group, .. } = &order.action else {
            return;
        };
        let held = self.targets.get(&order.target);
        let held = held.filter(|target| target.facts.sequence == order.expected);
        let Some(target) = held else {
            return;
        };
        let Some(membership) = target.facts.membership.as_ref() else {
            return;
        };
        let leader = target.members.first().and_then(|id| self.targets.get(id));
        let leads = leader.and_then(|leader| leader.facts.membership.as_ref());
        let is_serving = leads.is_some_and(|leads| {
            leads.group == membership.group
                && matches!(
                    leads.state,
                    MembershipState::Open | MembershipState::Closing
                )
        });
        if is_serving && membership.group != *group {
            let text = format!("{} joins {group} while its group serves", order.target);
            self.violations.push(text);
        }
    }

    pub fn open_groups(&self, model: &str) -> usize {
        open_groups(&self.targets, model)
    }

    /// Returns the number of complete groups whose members all hold another model's weights.
    pub fn standbys(&self, serves: &str) -> usize {
        let mut prepared: IndexMap<&GroupId, usize> = IndexMap::new();
        for target in self.targets.values() {
            let facts = &target.facts;
            let membership = facts.membership.as_ref();
            let is_prepared = facts.staged.iter().any(|staged| staged != serves);
            let is_standby = facts.model.as_deref() == Some(serves) && is_prepared;
            if let Some(membership) = membership.filter(|_| is_standby) {
                *prepared.entry(&membership.group).or_insert(0) += 1;
            }
        }
        let size = self.engine.models[serves].group_size;
        prepared.values().filter(|count| **count == size).count()
    }

    /// Returns the leader of an open group of a model that is prepared for another.
    pub fn member_in(&self, state: MembershipState, model: &str) -> Option<TargetId> {
        let mut targets = self.targets.iter();
        let found = targets.find(|(_, target)| {
            let membership: Option<&Membership> = target.facts.membership.as_ref();
            target.facts.model.as_deref() == Some(model)
                && membership.is_some_and(|membership| membership.state == state)
        });
        found.map(|(id, _)| id.clone())
    }
}

fn open_groups(targets: &IndexMap<TargetId, SimTarget>, model: &str) -> usize {
    let open = targets.values().filter(|target| {
        let membership = target.facts.membership.as_ref();
        // The controller counts a group as open from the order on; it serves after the opening time.
        membership.is_some_and(|membership| membership.state == MembershipState::Open)
            && target.facts.model.as_deref() == Some(model)
            && target
                .work
                .as_ref()
                .is_none_or(|(work, _)| !matches!(work, SimWork::Open))
    });
    open.count()
}
