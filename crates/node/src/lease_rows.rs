//! What the rows of a zone say about its lease.

use briarswitch_core::prelude::*;
use briarswitch_wire::platform::{EpochDoc, LeaseDoc, ReadReply, RowDoc};

use crate::config::parse_row;
use crate::row_keys::{epoch_key, lease_key};

/// The rows do not tell the last epoch of the zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EpochUnknown;

/// Returns the lease of a zone and the version of its row, both from one read of the lease row and
/// the epoch row.
///
/// Each change of holder writes both rows. A lease row that cannot be parsed, or is missing beside
/// an epoch row, is therefore the lease of the epoch row's holder, in an unknown incarnation: it
/// may be valid still, and the next holder needs a later epoch. There is no lease only if neither
/// row exists.
///
/// # Errors
///
/// Returns [`EpochUnknown`] if the lease row does not tell the epoch and the epoch row does not
/// either. A holder that chose one might send orders with lower numbers than engines have seen.
pub fn read_lease(
    zone: &str,
    reply: &ReadReply,
) -> Result<(Option<LeaseRecord>, RowVersion), EpochUnknown> {
    let find = |key: String| reply.rows.iter().find(|row| row.key == key);
    let (lease, epoch) = (find(lease_key(zone)), find(epoch_key(zone)));
    let version = lease.map_or(0, |row| row.version);
    let doc = lease.and_then(|row| parse_row::<LeaseDoc>(&row.value));
    let record = match (doc, epoch) {
        (Some(doc), _) => Some(LeaseRecord::from(doc)),
        (None, Some(row)) => Some(last_holder(row)?),
        (None, None) if lease.is_some() => return Err(EpochUnknown),
        (None, None) => None,
    };
    Ok((record, version))
}

/// Returns the lease that the epoch row's holder may have still. Its incarnation and write are of
/// no process, so that nobody takes the lease for its own.
fn last_holder(row: &RowDoc) -> Result<LeaseRecord, EpochUnknown> {
    let last = parse_row::<EpochDoc>(&row.value).ok_or(EpochUnknown)?;
    Ok(LeaseRecord {
        holder: last.holder,
        incarnation: 0,
        epoch: last.epoch,
        write: WriteId::new(),
    })
}
