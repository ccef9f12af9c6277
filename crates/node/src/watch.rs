//! The service that gathers evidence, keeps the zones' views and publishes the routes.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_core::watch::watchers;
use briarswitch_http::{ApiClient, CallError, Codec};
use briarswitch_kernel::{BootClock, Service, ServiceLink};
use briarswitch_platform::StoreError;
use briarswitch_wire::engine::ReportDoc;
use briarswitch_wire::peer::EvidenceDoc;
use http::Method;
use indexmap::{IndexMap, IndexSet};
use serde_json::{json, Value};

use crate::board::EvidenceBoard;
use crate::routes::RouteTable;
use crate::shared::{FleetView, NodeShared, ViewBook};

/// Name of the service.
pub const WATCH_SERVICE: &str = "watch";
/// Time between publications of evidence that was merely renewed.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// What the service is sent.
#[derive(Debug)]
pub enum WatchMessage {
    /// Time to read the list of machines.
    List,
    /// The list of machines.
    Listed(Result<Vec<Vm>, StoreError>),
    /// Time to probe the machines this node watches.
    Round,
    /// What one machine said.
    Probed(ProbeResult),
    /// What a peer knows.
    PeerEvidence {
        /// Peer that said it.
        node: NodeId,
        /// What it said.
        evidence: EvidenceDoc,
        /// Local time before the peer was asked.
        asked: Moment,
    },
    /// A zone's groups, from its controller or a peer.
    View(ZoneView),
    /// A request found a machine gone.
    Failed {
        /// Machine.
        vm: VmId,
        /// Local time before the request was sent.
        at: Moment,
    },
    /// Time to publish renewed evidence.
    Publish,
    /// A target said that it is leaving.
    Leaving {
        /// Machine.
        vm: VmId,
        /// Its life.
        incarnation: Incarnation,
    },
}

/// What one probe found.
#[derive(Debug)]
pub struct ProbeResult {
    /// Machine probed.
    pub vm: VmId,
    /// Its report, or why there is none.
    pub report: Result<ReportDoc, CallError>,
    /// Local time before the probe was sent.
    pub asked: Moment,
}

/// Machines one peer vouches for.
#[derive(Default)]
struct PeerBoard {
    reports: IndexMap<VmId, MemberReport>,
}

/// Watches machines and publishes where requests may go.
pub struct FleetWatcher {
    shared: Arc<NodeShared>,
    client: ApiClient,
    ledger: EvidenceCache,
    fleet: FleetView,
    /// Machines of other zones that peers vouch for are routed to through the views alone.
    views: ViewBook,
    own: EvidenceBoard,
    zone: EvidenceBoard,
    peers: IndexMap<NodeId, PeerBoard>,
    leaving: IndexSet<(VmId, Incarnation)>,
    probing: IndexSet<VmId>,
    news: WatchNews,
}

/// What has to be published.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum WatchNews {
    None,
    /// Evidence was renewed, which may wait a little: publishing is work for every machine, and
    /// done for each report it would grow with their square.
    Renewed,
    /// Something was lost, changed or marked, which traffic has to know at once.
    Changed,
}

impl FleetWatcher {
    /// Opens a watcher that has seen nothing.
    pub fn open(shared: Arc<NodeShared>) -> Self {
        let incarnation = shared.incarnation;
        Self {
            ledger: EvidenceCache::new(shared.settings.gate.evidence_ttl),
            client: ApiClient::new(Codec::Json, None),
            fleet: FleetView::default(),
            views: ViewBook::default(),
            own: EvidenceBoard::open(incarnation),
            zone: EvidenceBoard::open(incarnation),
            peers: IndexMap::new(),
            leaving: IndexSet::new(),
            probing: IndexSet::new(),
            news: WatchNews::None,
            shared,
        }
    }

    fn list(&self, link: &ServiceLink<WatchMessage>) {
        let shared = Arc::clone(&self.shared);
        link.spawn(async move {
            let list = shared.platform.vms.list(&shared.settings.zone).await;
            WatchMessage::Listed(list)
        });
    }

    fn take_list(&mut self, vms: Vec<Vm>) {
        for vm in &vms {
            if vm.status == VmStatus::Leaving {
                self.mark_leaving(&vm.id, vm.incarnation);
            }
        }
        self.fleet.vms = vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect();
        self.fleet.is_listed = true;
        let zone = &self.shared.settings.zone;
        let fleet = &self.fleet;
        let view = self.views.get(zone);
        let is_member = |vm: &VmId| {
            view.is_some_and(|view| view.groups.values().any(|group| group.member(vm).is_some()))
        };
        self.leaving
            .retain(|(vm, _)| fleet.vms.contains_key(vm) || is_member(vm));
        self.note(WatchNews::Changed);
    }

    /// Marks a machine as leaving for the rest of its life.
    ///
    /// The platform's list lags and nodes read it at different times; a mark that could be taken
    /// back by an older list would let new work through again.
    fn mark_leaving(&mut self, vm: &str, incarnation: Incarnation) {
        if self.leaving.insert((vm.to_owned(), incarnation)) {
            log::info!(vm = vm, incarnation = incarnation; "vm_leaving");
            self.note(WatchNews::Changed);
        }
    }

    /// Returns the machines of the zone and where they are, by the list and by the view.
    fn watched(&self, now: Moment) -> Vec<(VmId, String)> {
        let zone = &self.shared.settings.zone;
        let mut addresses: IndexMap<&VmId, &String> = IndexMap::new();
        if let Some(view) = self.views.get(zone) {
            for member in view.groups.values().flat_map(|group| &group.members) {
                addresses.insert(&member.vm, &member.address);
            }
        }
        for vm in self.fleet.vms.values() {
            addresses.insert(&vm.id, &vm.address);
        }
        let nodes = self.shared.watchers(now);
        let own = &self.shared.settings.node;
        addresses
            .into_iter()
            .filter(|(vm, _)| watchers(vm, &nodes).contains(&own))
            .map(|(vm, address)| (vm.clone(), address.clone()))
            .collect()
    }

    fn start_round(&mut self, link: &ServiceLink<WatchMessage>) {
        let now = link.now();
        let watched = self.watched(now);
        self.own
            .retain(|vm| watched.iter().any(|(other, _)| other == vm));
        let interval = self.shared.settings.gate.probe_interval;
        let timeout = self.shared.settings.gate.probe_timeout;
        let count = watched.len().max(1) as u32;
        for (index, (vm, address)) in watched.into_iter().enumerate() {
            if !self.probing.insert(vm.clone()) {
                continue;
            }
            // Probes are spread over the interval, so that a node with many machines neither
            // bursts nor ages all evidence at once.
            let delay = interval * index as u32 / count;
            let client = self.client.clone();
            link.spawn(async move {
                tokio::time::sleep(delay).await;
                probe(client, vm, address, timeout).await
            });
        }
        self.expire(now);
        link.later(interval, WatchMessage::Round);
    }

    fn expire(&mut self, now: Moment) {
        let ttl = self.shared.settings.gate.evidence_ttl;
        self.ledger.prune(now);
        self.own.expire(now, ttl);
        self.zone.expire(now, ttl);
        self.note(WatchNews::Renewed);
    }

    fn take_probe(&mut self, result: ProbeResult) {
        self.probing.swap_remove(&result.vm);
        match result.report {
            Ok(doc) if doc.vm == result.vm => {
                let report = MemberReport::from(doc);
                self.own.record(&report, result.asked);
                self.learn(report, result.asked);
            }
            // Another machine answers at the address: the one asked for is not there any more.
            Ok(_) => self.lose(&result.vm, result.asked),
            Err(CallError::NoResponse(text)) if is_refusal(&text) => {
                self.lose(&result.vm, result.asked);
            }
            Err(_) => {}
        }
    }

    fn learn(&mut self, report: MemberReport, asked: Moment) {
        let now = BootClock::now();
        let held = self.ledger.fresh(&report.vm, now).map(|held| &held.report);
        let is_same = held.is_some_and(|held| held.has_same_state(&report));
        self.note(if is_same {
            WatchNews::Renewed
        } else {
            WatchNews::Changed
        });
        let is_local = self.fleet.vms.contains_key(&report.vm);
        if is_local {
            self.zone.record(&report, asked);
        }
        self.ledger.record(report, asked);
    }

    fn note(&mut self, news: WatchNews) {
        self.news = self.news.max(news);
    }

    fn lose(&mut self, vm: &str, at: Moment) {
        log::debug!(vm = vm; "evidence_lost");
        self.own.lose(vm);
        self.zone.lose(vm);
        self.ledger.revoke(vm, at);
        self.note(WatchNews::Changed);
    }

    fn take_peer(&mut self, node: NodeId, evidence: EvidenceDoc, asked: Moment) {
        let age = Duration::from_millis(u64::from(evidence.age_ms));
        let true_at = asked.saturating_sub(age);
        let board = self.peers.entry(node).or_default();
        if evidence.is_whole {
            board.reports.clear();
        }
        for vm in evidence.lost.iter().chain(&evidence.dropped) {
            board.reports.swap_remove(vm);
        }
        for doc in evidence.changed {
            let report = MemberReport::from(doc);
            board.reports.insert(report.vm.clone(), report);
        }
        let reports: Vec<MemberReport> = board.reports.values().cloned().collect();
        for vm in evidence.lost {
            // The peer had found it gone by the time it answered, which was after it was asked;
            // only evidence that is newer than that stands.
            self.ledger.revoke(&vm, asked);
        }
        for report in reports {
            self.learn(report, true_at);
        }
    }

    fn take_view(&mut self, view: ZoneView) {
        let held = self.views.entry(view.zone.clone()).or_default();
        if !held.adopt(view) {
            return;
        }
        self.note(WatchNews::Changed);
        self.shared.views.publish(self.views.clone());
    }

    fn publish(&mut self, now: Moment) {
        self.news = WatchNews::None;
        let config = self.shared.config.load();
        let leaving = &self.leaving;
        let is_leaving =
            |vm: &str, incarnation: Incarnation| leaving.contains(&(vm.to_owned(), incarnation));
        let routes = RouteTable::build(
            &config.book,
            &self.views,
            &self.fleet.vms,
            &self.ledger,
            &is_leaving,
            now,
        );
        self.shared.routes.publish(routes);
        self.fleet.reports = self
            .ledger
            .fresh_entries(now)
            .map(|held| {
                (
                    held.report.vm.clone(),
                    (held.report.clone(), held.requested_at),
                )
            })
            .collect();
        let mut fleet = self.fleet.clone();
        for (vm, _) in leaving {
            if let Some(vm) = fleet.vms.get_mut(vm) {
                vm.status = VmStatus::Leaving;
            }
        }
        self.shared.fleet.publish(fleet);
        self.shared.own_evidence.publish(self.own.clone());
        self.shared.zone_evidence.publish(self.zone.clone());
    }
}

impl Service for FleetWatcher {
    type Message = WatchMessage;

    fn name(&self) -> &'static str {
        WATCH_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<WatchMessage>) {
        self.list(link);
        link.later(Duration::ZERO, WatchMessage::Round);
        link.later(PUBLISH_INTERVAL, WatchMessage::Publish);
    }

    fn handle(&mut self, message: WatchMessage, link: &ServiceLink<WatchMessage>) {
        match message {
            WatchMessage::List => self.list(link),
            WatchMessage::Listed(result) => {
                if let Ok(vms) = result {
                    self.take_list(vms);
                }
                link.later(self.shared.settings.control.list_poll, WatchMessage::List);
            }
            WatchMessage::Round => self.start_round(link),
            WatchMessage::Probed(result) => self.take_probe(result),
            WatchMessage::PeerEvidence {
                node,
                evidence,
                asked,
            } => self.take_peer(node, evidence, asked),
            WatchMessage::View(view) => self.take_view(view),
            WatchMessage::Failed { vm, at } => self.lose(&vm, at),
            WatchMessage::Leaving { vm, incarnation } => self.mark_leaving(&vm, incarnation),
            WatchMessage::Publish => {
                if self.news > WatchNews::None {
                    self.publish(link.now());
                }
                link.later(PUBLISH_INTERVAL, WatchMessage::Publish);
            }
        }
        if self.news == WatchNews::Changed {
            self.publish(link.now());
        }
    }

    fn dump(&self) -> Value {
        let now = BootClock::now();
        let evidence: IndexMap<&VmId, u128> = self
            .ledger
            .fresh_entries(now)
            .map(|held| (&held.report.vm, (now - held.requested_at).as_millis()))
            .collect();
        let groups: Vec<Value> = self
            .views
            .values()
            .flat_map(|view| view.groups.values().map(move |group| (view, group)))
            .map(|(view, group)| dump_group(view, group, &self.ledger, now))
            .collect();
        json!({
            "listed": self.fleet.is_listed,
            "vms": self.fleet.vms.len(),
            "evidence_age_ms": evidence,
            "groups": groups,
            "leaving": self.leaving.iter().map(|(vm, _)| vm).collect::<Vec<_>>(),
        })
    }
}

fn dump_group(view: &ZoneView, group: &GroupRecord, ledger: &EvidenceCache, now: Moment) -> Value {
    json!({
        "group": group.id,
        "zone": view.zone,
        "deployment": group.deployment,
        "generation": group.generation,
        "epoch": group.epoch,
        "state": format!("{:?}", group.state).to_lowercase(),
        "members": group.members.iter().map(|member| &member.vm).collect::<Vec<_>>(),
        "whole": ledger.complete_until(group, now).is_some(),
    })
}

async fn probe(client: ApiClient, vm: VmId, address: String, timeout: Duration) -> WatchMessage {
    let asked = BootClock::now();
    let url = format!("http://{address}/report");
    let report = client.call(Method::GET, &url, None::<&()>, timeout).await;
    WatchMessage::Probed(ProbeResult { vm, report, asked })
}

/// Returns whether an error shows that nothing listens at the address, as opposed to silence.
fn is_refusal(text: &str) -> bool {
    text.contains("refused") || text.contains("reset")
}
