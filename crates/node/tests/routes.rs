//! Whether a request may be sent to a target, decided when it is sent.

use std::time::Duration;

use briarswitch_http::TargetAddress;
use briarswitch_node::routes::Target;
use googletest::prelude::*;

fn target(fresh_until: Duration, is_leaving: bool) -> Target {
    Target {
        id: "group@1".to_owned(),
        label: "group".to_owned(),
        zone: "zone".to_owned(),
        address: TargetAddress {
            address: "127.0.0.1:1".to_owned(),
            incarnation: 1,
        },
        vm: "vm".to_owned(),
        fresh_until,
        reported: 0,
        is_leaving,
    }
}

/// A request was sent on expired evidence: the control thread published a route and then stalled,
/// and the published route was used without a check. The expiry is checked for each request.
#[test]
fn route_closes_by_itself_when_its_evidence_runs_out() {
    let end = Duration::from_secs(10);
    let open = target(end, false);
    assert_that!(open.is_routable(end - Duration::from_millis(1)), eq(true));
    assert_that!(open.is_routable(end), eq(false));
    assert_that!(open.is_routable(end + Duration::from_secs(3600)), eq(false));
}

#[test]
fn leaving_target_is_closed() {
    assert_that!(
        target(Duration::from_secs(10), true).is_routable(Duration::ZERO),
        eq(false)
    );
}
