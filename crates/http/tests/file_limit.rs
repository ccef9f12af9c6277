//! What works while the process can open no file; the limit holds for the process, so this test has it to itself.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_http::{
    reply_json, ApiClient, CallError, Codec, Handler, HttpServer, Request, Response,
};
use futures::future::BoxFuture;
use googletest::prelude::*;
use http::{Method, StatusCode};
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use tokio::sync::watch;

/// Longest time that the test waits for a response.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

struct PlainHandler;

impl Handler for PlainHandler {
    fn handle(&self, _: Request) -> BoxFuture<'_, Response> {
        Box::pin(async { reply_json(StatusCode::OK, &7) })
    }
}

async fn call(client: &ApiClient, url: &str) -> std::result::Result<u32, CallError> {
    let body: Option<&u32> = None;
    client.call(Method::GET, url, body, WAIT_TIMEOUT).await
}

/// Guards against a process that ends because a file of the system can't be read, which calls to IP addresses don't need.
#[gtest]
#[tokio::test]
async fn a_client_is_created_while_no_file_can_be_opened() {
    let server = HttpServer::bind("127.0.0.1:0").await.expect("a port");
    let (_stop, stopped) = watch::channel(false);
    let guard = server.spawn(Arc::new(PlainHandler), stopped);
    let url = format!("http://{}/", guard.address());
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
    setrlimit(Resource::RLIMIT_NOFILE, 0, hard).expect("a lower limit");
    let created = std::panic::catch_unwind(|| ApiClient::new(Codec::Json, None));
    let refused = match &created {
        Ok(client) => Some(call(client, &url).await),
        Err(_) => None,
    };
    setrlimit(Resource::RLIMIT_NOFILE, soft, hard).expect("the limit before");
    assert_that!(refused, some(err(pat!(CallError::NoResponse(_)))));
    let client = created.expect("a client");
    let answering = async {
        loop {
            if let Ok(answer) = call(&client, &url).await {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let answered = tokio::time::timeout(WAIT_TIMEOUT, answering).await;
    expect_that!(answered, ok(eq(&7)));
}
