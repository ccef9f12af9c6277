//! What works while the process can open no file; the limit holds for the process, so this test has it to itself.

use briarswitch_http::{ApiClient, Codec};
use googletest::prelude::*;
use nix::sys::resource::{getrlimit, setrlimit, Resource};

/// Guards against a process that ends because a file of the system can't be read, which calls to IP addresses don't need.
#[gtest]
fn a_client_is_created_while_no_file_can_be_opened() {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
    setrlimit(Resource::RLIMIT_NOFILE, 0, hard).expect("a lower limit");
    let created = std::panic::catch_unwind(|| {
        ApiClient::new(Codec::Json, None);
    });
    setrlimit(Resource::RLIMIT_NOFILE, soft, hard).expect("the limit before");
    expect_true!(created.is_ok());
}
