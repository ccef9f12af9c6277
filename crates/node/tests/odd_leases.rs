//! Lease rows that cannot be read or are missing although the zone has had a controller.

use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_node::lease::{LeaseCall, LeaseDriver};
use briarswitch_node::row_keys::{epoch_key, lease_key};
use briarswitch_node::{NodeSettings, SettingsLayers};
use briarswitch_platform::TransactBuilder;
use briarswitch_wire::platform::{EpochDoc, LeaseDoc, ReadReply, RowDoc, TransactRequest};
use googletest::prelude::*;
use serde_json::{json, Value};

const ZONE: &str = "kakkanad";
const TICK: Duration = Duration::from_millis(100);
/// Epoch of the last controller of the zone.
const LAST_EPOCH: Epoch = 7;

fn settings() -> NodeSettings {
    let mut layers = SettingsLayers::with_defaults();
    for flag in [
        "node=kakkanad-1",
        "zone=kakkanad",
        "operator_token=a",
        "peer_token=b",
    ] {
        layers.add_flag(flag);
    }
    layers.build().expect("settings")
}

fn row(key: String, value: Value) -> RowDoc {
    RowDoc {
        key,
        version: 30,
        value,
    }
}

fn epoch_row() -> RowDoc {
    row(
        epoch_key(ZONE),
        json!({"epoch": LAST_EPOCH, "holder": "kakkanad-2"}),
    )
}

fn odd_row(key: String) -> RowDoc {
    row(key, json!({"of": "another version"}))
}

/// Returns the first write of a node that finds these rows at each read, and its time. The node
/// runs for twice the time after which a lease has expired.
fn first_write(rows: &[RowDoc]) -> Option<(TransactRequest, Duration)> {
    let settings = settings();
    let mut driver = LeaseDriver::new(&settings, 3);
    let end = 2 * (settings.lease.duration + settings.lease.margin);
    let mut now = Duration::from_secs(100);
    let start = now;
    while now < start + end {
        match driver.next_call(now) {
            Some(LeaseCall::Write(write)) => return Some((write, now - start)),
            Some(LeaseCall::Read(request)) => {
                let found = rows.iter().filter(|row| request.keys.contains(&row.key));
                let rows = found.cloned().collect();
                driver.handle_read(Ok(ReadReply { rows }), now);
            }
            None => now += TICK,
        }
    }
    None
}

/// Returns the write with which the node takes the lease of this row in the given epoch.
fn taking(version: RowVersion, epoch: Epoch) -> TransactRequest {
    let holder = "kakkanad-1".to_owned();
    let lease = LeaseDoc {
        holder: holder.clone(),
        incarnation: 3,
        epoch,
        write: String::new(),
    };
    TransactBuilder::default()
        .check(lease_key(ZONE), version)
        .put(lease_key(ZONE), &lease)
        .put(epoch_key(ZONE), &EpochDoc { epoch, holder })
        .build()
}

/// Returns a write without the id that its sender chose.
fn without_id(mut write: TransactRequest) -> TransactRequest {
    for put in &mut write.puts {
        if let Some(lease) = put
            .value
            .as_mut()
            .filter(|value| value["write"].is_string())
        {
            lease["write"] = json!("");
        }
    }
    write
}

/// Guards against a lease that is taken while its holder has it, in an epoch whose orders engines refuse.
#[gtest]
#[test]
fn a_lease_that_cannot_be_read_is_taken_once_it_has_expired_and_in_a_later_epoch() {
    let timing = settings().lease;
    let unreadable = vec![epoch_row(), odd_row(lease_key(ZONE))];
    let missing = vec![epoch_row()];
    for (rows, version) in [(unreadable, 30), (missing, 0)] {
        let (write, waited) = first_write(&rows).expect("a write");

        expect_that!(without_id(write), eq(&taking(version, LAST_EPOCH + 1)));
        expect_that!(waited, ge(timing.duration + timing.margin), "{rows:?}");
    }
}

/// Guards against a lease that is taken although no row tells the epochs that orders have had.
#[gtest]
#[test]
fn a_lease_is_not_taken_while_no_row_tells_its_epoch() {
    let both = vec![odd_row(epoch_key(ZONE)), odd_row(lease_key(ZONE))];
    let only_lease = vec![odd_row(lease_key(ZONE))];
    let only_epoch = vec![odd_row(epoch_key(ZONE))];
    for rows in [both, only_lease, only_epoch] {
        expect_that!(first_write(&rows), none(), "{rows:?}");
    }
}

/// Guards against a new zone that never gets a controller.
#[gtest]
#[test]
fn the_lease_of_a_new_zone_is_taken_at_once() {
    let (write, waited) = first_write(&[]).expect("a write");

    expect_that!(without_id(write), eq(&taking(0, 1)));
    expect_that!(waited, lt(settings().lease.duration));
}
