//! The memory of requests under which targets have ended, where targets are found through the platform.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::print::RequestPrint;
use briarswitch_membership::ThingHolders;
use futures::future::BoxFuture;

use crate::costs::CostKind;
use crate::ports::{FeedAnswer, FeedMark, ReportError, SourceFuture, SuspectRegistry};
use crate::run_info::{RunInfo, TargetIncarnation};
use crate::shared::FleetShared;
use crate::suspect_host::{EndCount, LifeSign, SuspectEvent, SuspectHost};
use crate::suspects::SuspectBoard;

impl SuspectHost for FleetShared {
    fn suspects(&self) -> &SuspectBoard {
        &self.suspects
    }

    fn registry(&self) -> &dyn SuspectRegistry {
        self.platform.suspects.as_ref()
    }

    fn changes(
        self: Arc<Self>,
        mark: Option<FeedMark>,
        wait: Duration,
    ) -> SourceFuture<'static, FeedAnswer> {
        Box::pin(async move {
            let table = self.platform.suspects.table();
            Self::changes(&self, table, mark, wait).await
        })
    }

    fn holders_of(&self, print: &RequestPrint, count: usize) -> ThingHolders {
        self.live_view.read().holders_of(&print.to_string(), count)
    }

    fn life_sign<'a>(
        &'a self,
        facts: &'a RunInfo,
        limit: Duration,
    ) -> BoxFuture<'a, Result<LifeSign, ReportError>> {
        Box::pin(async move {
            let targets = &self.platform.targets;
            let (target, address) = (&facts.target.id, &facts.address);
            // A single target has nothing to say of itself, but it listens or not.
            if facts.group.is_empty() {
                let reached = targets.reach(address, limit).await;
                return reached.map(|()| LifeSign::Listens);
            }
            let report = targets.report(target, address, limit).await?;
            let is_same = report.incarnation == facts.target.incarnation;
            is_same.then_some(LifeSign::Lives).ok_or(ReportError::Gone)
        })
    }

    fn is_listed(&self, life: &TargetIncarnation) -> bool {
        let directory = self.directory.load();
        let record = directory.cache.targets().get(&life.id);
        record.is_some_and(|record| record.incarnation == life.incarnation)
    }

    fn end_count(&self) -> EndCount {
        let directory = self.directory.load();
        EndCount {
            ends: directory.cache.ended(),
            targets: directory.cache.targets().len(),
        }
    }

    fn keep_away(&self, target: &TargetId, until: Moment) {
        self.gauges.of(target).suspect(until);
    }

    fn note(&self, event: SuspectEvent) {
        match event {
            SuspectEvent::EndChecked => self.costs.count(CostKind::EndChecked),
            SuspectEvent::EndTold => self.costs.count(CostKind::EndTold),
            SuspectEvent::RowsWritten => self.costs.count(CostKind::SuspectWrite),
            SuspectEvent::TargetEnded(proof) => self.metrics.count_target_end(proof.name()),
            SuspectEvent::QuarantineBegun => self.metrics.count_quarantine(),
        }
    }
}
