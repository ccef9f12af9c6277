//! One domain whose targets carry out every order immediately, except for loads, which the test completes.
#![allow(dead_code)]

use std::time::Duration;

use briarswitch_core::assembly::{
    DomainReconciler, DomainView, TargetFacts, TargetPace, TargetStatus,
};
use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use briarswitch_core::layout::DomainLayout;
use briarswitch_core::order::{OrderResult, TargetAction, TargetOrder};
use briarswitch_core::target::{Membership, MembershipState};
use indexmap::IndexMap;

pub struct DomainSimulation {
    pub reconciler: DomainReconciler,
    engine: EngineSpec,
    pub layout: DomainLayout,
    pub targets: IndexMap<TargetId, TargetFacts>,
    loading: IndexMap<TargetId, ModelId>,
    load_budget: usize,
    now: Duration,
}

impl DomainSimulation {
    /// Creates a domain of targets that all hold the weights of the first model, and lets them form two groups.
    pub fn new(
        models: [(&str, usize); 2],
        layout: DomainLayout,
        targets: usize,
        load_budget: usize,
    ) -> Self {
        let staged = models[0].0.to_owned();
        let models = models.map(|(id, size)| {
            let spec = ModelSpec {
                id: id.to_owned(),
                group_size: size,
                load_time: Duration::from_secs(16),
                warmup: Duration::from_millis(1_600),
                ..ModelSpec::default()
            };
            (id.to_owned(), spec)
        });
        let mut domain = Self {
            reconciler: DomainReconciler::new("n1"),
            engine: EngineSpec {
                models: IndexMap::from(models),
                ..EngineSpec::default()
            },
            layout,
            targets: IndexMap::new(),
            loading: IndexMap::new(),
            load_budget,
            now: Duration::from_secs(100),
        };
        for index in 0..targets {
            let facts = TargetFacts {
                incarnation: 1,
                status: TargetStatus::Live,
                membership: None,
                model: None,
                staged: vec![staged.clone()],
                sequence: 0,
                is_busy: false,
                epoch_seen: 0,
                is_fresh: true,
                pace: TargetPace::default(),
            };
            domain.targets.insert(format!("t{index}"), facts);
        }
        domain.rounds(3);
        assert_eq!(domain.open_groups(), 2);
        assert_eq!(domain.open_groups_of(&staged), 2);
        domain
    }

    /// Runs one planning round, carries out its orders and returns them.
    pub fn round(&mut self) -> Vec<TargetOrder> {
        self.now += Duration::from_millis(50);
        let view = DomainView {
            targets: &self.targets,
            engine: &self.engine,
            layout: &self.layout,
            loading: &self.loading,
            load_budget: self.load_budget,
            may_load_on_join: false,
            epoch_floor: 1,
        };
        let orders = self.reconciler.plan(view, self.now);
        for order in &orders {
            self.carry_out(order);
            self.reconciler
                .note_result(&order.target, OrderResult::Begun);
        }
        orders
    }

    pub fn rounds(&mut self, count: usize) -> Vec<TargetOrder> {
        (0..count).flat_map(|_| self.round()).collect()
    }

    fn carry_out(&mut self, order: &TargetOrder) {
        let facts = &mut self.targets[&order.target];
        facts.sequence += 1;
        let effect = order
            .action
            .effect(&order.target, facts.membership.as_ref());
        // Joins and closes complete immediately.
        facts.membership = effect.map(|membership| Membership {
            state: match membership.state {
                MembershipState::Joining | MembershipState::Closing => MembershipState::Ready,
                state => state,
            },
            ..membership
        });
        match &order.action {
            TargetAction::Join { model, .. } => facts.model = Some(model.clone()),
            TargetAction::Leave { .. } => facts.model = None,
            TargetAction::Stage { model } => {
                facts.is_busy = true;
                self.loading.insert(order.target.clone(), model.clone());
            }
            _ => {}
        }
    }

    pub fn complete_loads(&mut self, count: usize) {
        for (id, model) in self.loading.drain(..count) {
            let facts = &mut self.targets[&id];
            facts.is_busy = false;
            facts.staged = vec![model];
        }
    }

    /// Returns the number of open groups of all models.
    pub fn open_groups(&self) -> usize {
        self.leaders().count()
    }

    /// Returns the number of open groups of one model.
    pub fn open_groups_of(&self, model: &str) -> usize {
        let of_model = self
            .leaders()
            .filter(|facts| facts.model.as_deref() == Some(model));
        of_model.count()
    }

    /// Returns the leaders of open groups; only they are open.
    fn leaders(&self) -> impl Iterator<Item = &TargetFacts> {
        self.targets.values().filter(|facts| {
            let membership = facts.membership.as_ref();
            membership.is_some_and(|membership| membership.state == MembershipState::Open)
        })
    }
}
