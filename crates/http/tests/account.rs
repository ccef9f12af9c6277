//! The account of held bytes.

use briarswitch_http::ByteAccount;
use googletest::prelude::*;

const KILOBYTE: usize = 1 << 10;
const LIMIT: usize = 1_000 * KILOBYTE;
/// The most that large claims may hold together.
const LARGE_LIMIT: usize = 750 * KILOBYTE;

/// Guards against bodies that hold more together than the process may.
#[gtest]
fn claims_beyond_the_limit_are_refused_and_keep_what_they_had() {
    let account = ByteAccount::new(LIMIT);
    let mut first = account.open_claim();
    let mut second = account.open_claim();
    expect_that!(first.resize(400 * KILOBYTE), ok(anything()));
    expect_that!(second.resize(350 * KILOBYTE), ok(anything()));
    expect_that!(second.resize(351 * KILOBYTE), err(anything()));
    expect_that!(second.bytes(), eq(350 * KILOBYTE));
    expect_that!(account.held(), eq(LARGE_LIMIT));
}

/// Guards against ordinary requests that find no room since large bodies have it all.
#[gtest]
fn small_claims_fit_beside_large_ones() {
    let account = ByteAccount::new(LIMIT);
    let mut large = [account.open_claim(), account.open_claim()];
    for claim in &mut large {
        expect_that!(claim.resize(LARGE_LIMIT / 2), ok(anything()));
    }
    expect_that!(account.open_claim().resize(65 * KILOBYTE), err(anything()));
    expect_that!(account.open_claim().resize(64 * KILOBYTE), ok(anything()));
}

/// Guards against a request within the limits that no machine of a size ever serves.
#[gtest]
fn a_claim_alone_may_have_any_size() {
    let account = ByteAccount::new(LIMIT);
    let mut claim = account.open_claim();
    expect_that!(claim.resize(3 * LIMIT), ok(anything()));
    expect_that!(account.open_claim().resize(1), err(anything()));
    expect_that!(claim.resize(4 * LIMIT), ok(anything()));
}

/// Guards against bytes that are never given back.
#[gtest]
fn dropped_and_shrunk_claims_give_back_their_bytes() {
    let account = ByteAccount::new(LIMIT);
    let mut claim = account.open_claim();
    expect_that!(claim.resize(LARGE_LIMIT), ok(anything()));
    expect_that!(claim.resize(KILOBYTE), ok(anything()));
    expect_that!(account.held(), eq(KILOBYTE));
    drop(claim);
    expect_that!(account.held(), eq(0));
}
