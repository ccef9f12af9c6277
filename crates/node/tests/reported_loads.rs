//! Reports of engines whose numbers of requests are out of any sensible range.

use std::time::Duration;

use briarswitch_core::group::GroupMember;
use briarswitch_core::prelude::*;
use briarswitch_node::evidence_feed::EvidenceFeed;
use briarswitch_node::routes::RouteTable;
use googletest::prelude::*;
use indexmap::IndexMap;

const NOW: Moment = Duration::from_secs(100);
const ZONE: &str = "kakkanad";
const POOL: &str = "pool";
const MODEL: &str = "model";
const SERVICE: &str = "service";
const VM: &str = "vm";
const GROUP: &str = "group";

/// Numbers of running and queued requests whose sum is out of range.
const ODD_LOADS: [(u32, u32); 3] = [(u32::MAX, 1), (1, u32::MAX), (u32::MAX, u32::MAX)];

fn report(running: u32, queued: u32) -> MemberReport {
    MemberReport {
        vm: VM.to_owned(),
        incarnation: 1,
        state: MemberState::Ready,
        group: Some(GROUP.to_owned()),
        generation: 1,
        fence: 1,
        weights: None,
        running,
        queued,
    }
}

fn deployment(id: &str, version: ConfigVersion, kind: DeploymentKind) -> ConfigEntry {
    let key = EntityKey {
        kind: EntityKind::Deployment,
        id: id.to_owned(),
    };
    let deployment = Deployment {
        id: id.to_owned(),
        pool: POOL.to_owned(),
        kind,
        target_in_flight: 4,
        priority: 0,
    };
    ConfigEntry {
        version,
        key,
        value: ConfigValue::Deployment(deployment),
    }
}

fn config() -> VersionedConfig {
    let model = DeploymentKind::Model {
        vms_per_replica: 1,
        replicas_per_zone: 1,
        checks_fencing: true,
        spans_domains: false,
        weights: PlanWeights::default(),
    };
    let service = deployment(SERVICE, 2, DeploymentKind::Service);
    VersionedConfig::restore(2, vec![deployment(MODEL, 1, model), service])
}

fn views() -> IndexMap<ZoneId, ZoneView> {
    let member = GroupMember {
        vm: VM.to_owned(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
    };
    let group = GroupRecord {
        state: GroupState::Serving,
        ..GroupRecord::forming(GROUP.to_owned(), MODEL.to_owned(), vec![member], 1)
    };
    let view = ZoneView {
        zone: ZONE.to_owned(),
        epoch: 1,
        sequence: 1,
        groups: [(GROUP.to_owned(), group)].into(),
    };
    [(ZONE.to_owned(), view)].into()
}

fn vms() -> IndexMap<VmId, Vm> {
    let vm = Vm {
        id: VM.to_owned(),
        zone: ZONE.to_owned(),
        domain: "domain".to_owned(),
        pool: POOL.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        incarnation: 1,
        accelerators: 1,
        status: VmStatus::Live,
    };
    [(VM.to_owned(), vm)].into()
}

/// Guards against a target that looks idle because the sum of its requests is out of range.
#[gtest]
#[test]
fn a_target_whose_load_is_out_of_range_is_routed_as_a_loaded_one() {
    for (running, queued) in ODD_LOADS {
        let mut evidence = EvidenceCache::new(Duration::from_secs(1));
        evidence.record(report(running, queued), NOW);
        let is_leaving = |_: &str, _: Incarnation| false;
        let table = RouteTable::build(&config(), &views(), &vms(), &evidence, &is_leaving, NOW);

        for deployment in [MODEL, SERVICE] {
            let targets = table.targets(deployment).iter();
            let loads: Vec<u32> = targets.map(|target| target.reported).collect();
            expect_that!(loads, elements_are![eq(&u32::MAX)], "{deployment}");
        }
    }
}

/// Guards against a target that is chosen because the requests sent to it leave the range of its load.
#[gtest]
#[test]
fn a_target_whose_load_is_at_the_end_of_the_range_is_not_chosen() {
    let full = TargetLoad {
        reported: u32::MAX,
        sent_since_report: 1,
        ..TargetLoad::default()
    };
    let loads = [full, TargetLoad::default()];

    expect_that!(TargetPicker::default().pick(&loads, [0, 1]), some(eq(1)));
}

/// Guards against evidence that is not sent because a load out of range counts as a small one.
#[gtest]
#[test]
fn a_load_out_of_range_is_sent_to_peers_once() {
    for (running, queued) in ODD_LOADS {
        let mut feed = EvidenceFeed::new(1);
        feed.record(&report(0, 0), NOW);
        let idle = feed.mark().sequence;
        feed.record(&report(running, queued), NOW);
        let loaded = feed.mark().sequence;
        feed.record(&report(running, queued), NOW);

        expect_that!([loaded, feed.mark().sequence], eq([idle + 1, idle + 1]));
    }
}
