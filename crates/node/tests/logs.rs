//! Logging while the output is not read.

mod support;

use std::io::{self, BufRead, BufReader, Write};
use std::sync::mpsc::{channel, sync_channel, Receiver, SyncSender};

use briarswitch_node::log_writer::LogWriter;
use futures::future::join_all;
use googletest::prelude::*;
use support::{Cluster, ClusterSpec};

/// Requests sent concurrently.
const CONCURRENT_REQUESTS: usize = 50;
/// Requests whose log lines fill the pipe (about 300 lines) and the node's queue (4,096 lines).
const REQUESTS: usize = 5_500;

/// Output whose first write blocks until it is released.
struct BlockedOutput {
    release: Receiver<()>,
    is_released: bool,
    written: SyncSender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_released {
            self.is_released = self.release.recv().is_ok();
        }
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that block when the reader of the logs stops reading.
///
/// The output blocks, 10,000 lines are logged, and the output is released. A thread that logs must
/// not write to the output itself; lines that do not fit the queue are dropped and counted.
#[gtest]
fn lines_that_nobody_takes_are_dropped_and_counted() {
    let (release, released) = channel();
    let (written, output) = sync_channel(100_000);
    let mut writer = LogWriter::spawn(BlockedOutput {
        release: released,
        is_released: false,
        written,
    });
    for index in 0..10_000 {
        writeln!(writer, "event=test index={index}").expect("a line is accepted");
        writer.flush().expect("a line is queued or dropped");
    }
    drop(writer);
    release.send(()).expect("the output waits");
    let text: Vec<u8> = output.iter().flatten().collect();
    let text = String::from_utf8(text).expect("text");
    let kept = text
        .lines()
        .filter(|line| line.starts_with("event=test"))
        .count();
    let dropped = text
        .lines()
        .filter_map(|line| line.strip_prefix("event=log_lines_dropped count="))
        .filter_map(|count| count.parse::<usize>().ok())
        .sum::<usize>();
    expect_that!(dropped, gt(0));
    expect_that!(kept + dropped, eq(10_000));
}

/// Guards against a queue of lines that holds what callers chose as texts, such as long ids.
#[gtest]
fn a_long_line_is_cut_off() {
    let (release, released) = channel();
    let (written, output) = sync_channel(100);
    let mut writer = LogWriter::spawn(BlockedOutput {
        release: released,
        is_released: false,
        written,
    });
    writeln!(writer, "event=test id={}", "x".repeat(16_000)).expect("a line is accepted");
    writer.flush().expect("a line is queued");
    writeln!(writer, "event=next").expect("a line is accepted");
    writer.flush().expect("a line is queued");
    drop(writer);
    release.send(()).expect("the output waits");
    let text: Vec<u8> = output.iter().flatten().collect();
    let text = String::from_utf8(text).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    expect_that!(lines, len(eq(2)));
    expect_that!(lines[0], starts_with("event=test id=xxx"));
    expect_that!(lines[0].len(), le(4_096));
    expect_that!(lines[1], eq("event=next"));
}

/// Guards against a node that stops answering when its standard output is not read.
///
/// The same fault as above on a real process: 5,500 requests are sent while its output is a pipe
/// that nobody reads.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_while_nobody_reads_the_output() {
    let mut cluster = Cluster::start(ClusterSpec {
        engines_per_zone: 0,
        services_per_zone: 1,
        ..ClusterSpec::default()
    })
    .await;
    let output = cluster.nodes[0].restart_with_piped_output();
    cluster.wait_ready().await;
    let address = cluster.callers(0);
    let mut refused = 0;
    for _ in 0..REQUESTS / CONCURRENT_REQUESTS {
        let sends = (0..CONCURRENT_REQUESTS).map(|_| {
            let headers = &[("authorization", "Bearer nobody")];
            cluster.send(&address, "POST", "/v1/chat/completions", headers, "{}")
        });
        let answers = join_all(sends).await;
        let refusals = answers.into_iter().flatten();
        refused += refusals.filter(|answer| answer.status == 401).count();
    }
    expect_that!(refused, eq(REQUESTS));
    // The number of dropped lines is logged as soon as there is room again.
    let reading = tokio::task::spawn_blocking(move || {
        let mut lines = BufReader::new(output).lines().map_while(io::Result::ok);
        lines.find(|line| line.contains("event=log_lines_dropped"))
    });
    let line = reading.await.expect("the output is read");
    expect_that!(line, some(contains_substring("count=")));
}
