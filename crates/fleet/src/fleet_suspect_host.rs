//! Connects the tracking of requests that crash targets to a node that finds its targets through the platform.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::fingerprint::RequestFingerprint;
use briarswitch_core::id::*;
use briarswitch_membership::ThingHolders;
use futures::future::BoxFuture;

use crate::costs::CostKind;
use crate::ports::{FeedMark, FeedResponse, ReportError, SourceFuture, SuspectRegistry};
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
    ) -> SourceFuture<'static, FeedResponse> {
        Box::pin(async move {
            let table = self.platform.suspects.table();
            Self::changes(&self, table, mark, wait).await
        })
    }

    fn holders_of(&self, print: &RequestFingerprint, count: usize) -> ThingHolders {
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
            // A target without a group does not report its incarnation; only its port can be probed.
            if facts.group.is_empty() {
                let reached = targets.probe(address, limit).await;
                return reached.map(|()| LifeSign::Listens);
            }
            let report = targets.report(target, address, limit).await?;
            let is_same = report.incarnation == facts.target.incarnation;
            is_same
                .then_some(LifeSign::Lives)
                .ok_or(ReportError::OtherIncarnation)
        })
    }

    fn is_listed(&self, target: &TargetIncarnation) -> bool {
        let directory = self.directory.load();
        let record = directory.cache.targets().get(&target.id);
        record.is_some_and(|record| record.incarnation == target.incarnation)
    }

    fn end_count(&self) -> EndCount {
        let directory = self.directory.load();
        EndCount {
            ends: directory.cache.unexpected_exits(),
            targets: directory.cache.targets().len(),
        }
    }

    fn keep_away(&self, target: &TargetId, until: Moment) {
        self.gauges.get(target).suspect(until);
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
