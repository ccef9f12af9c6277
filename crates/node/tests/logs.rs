//! Logs while nobody reads them.

mod support;

use std::io::{self, BufRead, BufReader, Write};
use std::sync::mpsc::{channel, sync_channel, Receiver, SyncSender};

use briarswitch_node::log_writer::LogWriter;
use futures::future::join_all;
use googletest::prelude::*;
use support::{Cluster, ClusterSpec};

/// Requests sent at a time.
const AT_ONCE: usize = 50;
/// Requests whose lines fill the pipe (about 300) and all that the node holds back (4,096).
const REQUESTS: usize = 5_500;

/// An output that takes nothing until it is released.
struct HeldOutput {
    gate: Receiver<()>,
    is_open: bool,
    written: SyncSender<Vec<u8>>,
}

impl Write for HeldOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            self.is_open = self.gate.recv().is_ok();
        }
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Symptom: every request stands still when whatever collects the logs does.
/// Events: the output takes nothing; 10,000 lines are logged; the output goes on.
/// Cause guarded against: writing to the output from the thread that logs.
#[gtest]
fn lines_that_nobody_takes_are_dropped_and_counted() {
    let (open, gate) = channel();
    let (written, output) = sync_channel(100_000);
    let mut pipe = LogWriter::spawn(HeldOutput {
        gate,
        is_open: false,
        written,
    });
    for index in 0..10_000 {
        writeln!(pipe, "event=test index={index}").expect("a line is taken");
        pipe.flush().expect("a line is passed on");
    }
    drop(pipe);
    open.send(()).expect("the output waits");
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

/// Symptom: a node answers nobody any more.
/// Events: the reader of a real node's standard output stops reading; 5,500 requests come.
/// Cause guarded against: the same, on the real process.
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
    for _ in 0..REQUESTS / AT_ONCE {
        let sends = (0..AT_ONCE).map(|_| {
            let headers = &[("authorization", "Bearer nobody")];
            cluster.send(&address, "POST", "/v1/chat/completions", headers, "{}")
        });
        let answers = join_all(sends).await;
        let refusals = answers.into_iter().flatten();
        refused += refusals.filter(|answer| answer.status == 401).count();
    }
    expect_that!(refused, eq(REQUESTS));
    // What was left out is told as soon as there is room again.
    let reading = tokio::task::spawn_blocking(move || {
        let mut lines = BufReader::new(output).lines().map_while(io::Result::ok);
        lines.find(|line| line.contains("event=log_lines_dropped"))
    });
    let line = reading.await.expect("the output is read");
    expect_that!(line, some(contains_substring("count=")));
}
