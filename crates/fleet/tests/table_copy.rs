//! Changes that a reader derives from two whole tables.

use std::collections::BTreeMap;
use std::time::Duration;

use briarswitch_fleet::ports::{FeedMark, FeedResponse, FeedRow};
use briarswitch_fleet::table_copy::TableCopy;
use proptest::prelude::{any, prop, prop_assert_eq, proptest, ProptestConfig};

type Rows = BTreeMap<u8, u8>;

fn mark(version: u64) -> FeedMark {
    FeedMark {
        version,
        ..FeedMark::default()
    }
}

fn whole_table(version: u64, rows: &Rows) -> FeedResponse {
    let rows = rows.iter().map(|(key, value)| FeedRow {
        key: key.to_string(),
        value: Some(vec![*value]),
    });
    FeedResponse {
        mark: mark(version),
        rows: rows.collect(),
        age: Duration::ZERO,
        is_snapshot: true,
    }
}

fn apply(rows: &mut Rows, changes: &[FeedRow]) {
    for change in changes {
        let key: u8 = change.key.parse().expect("a key of this test");
        match &change.value {
            Some(value) => rows.insert(key, value[0]),
            None => rows.remove(&key),
        };
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against nodes that keep a deleted row, or miss a new or changed one, after the store forgot its history.
    #[test]
    fn a_derived_change_leads_from_one_table_to_the_other(
        first in prop::collection::btree_map(0..20_u8, any::<u8>(), 0..20),
        changed in prop::collection::btree_map(0..20_u8, any::<Option<u8>>(), 0..8),
        second in prop::collection::btree_map(0..20_u8, any::<u8>(), 0..20),
    ) {
        let mut copy = TableCopy::default();
        copy.record(None, &whole_table(1, &first), Duration::ZERO);
        let rows = changed.iter().map(|(key, value)| FeedRow {
            key: key.to_string(),
            value: value.map(|value| vec![value]),
        });
        let changes = FeedResponse {
            mark: mark(2),
            rows: rows.collect(),
            ..FeedResponse::default()
        };
        copy.record(Some(mark(1)), &changes, Duration::ZERO);
        let mut known = first;
        apply(&mut known, &changes.rows);

        let later = whole_table(3, &second);
        let derived = copy.changes_to(&later, mark(2), Duration::ZERO).expect("the copy is of version 2");
        apply(&mut known, &derived.rows);
        prop_assert_eq!(known, second);
    }

    /// Guards against changes derived for a node that is at another point than the copy.
    #[test]
    fn nothing_is_derived_for_another_point_in_history(version in 0..9_u64) {
        let mut copy = TableCopy::default();
        copy.record(None, &whole_table(4, &Rows::new()), Duration::ZERO);
        let derived = copy.changes_to(&whole_table(9, &Rows::new()), mark(version), Duration::ZERO);
        prop_assert_eq!(derived.is_some(), version == 4);
    }
}
