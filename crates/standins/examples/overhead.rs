//! Measures what a node adds: callers through a node against callers straight to the engine.
//!
//! Usage: `overhead [SECONDS]`, against `briarswitch-node` built with the same profile. Prints, for
//! rising load, added latency at 50, 99 and 99.9 in 100, and the node's processor time a request and
//! a token event. Traffic goes to the loopback interface only.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use briarswitch_http::{full_body, ApiClient, Codec, TargetAddress, TargetClient, TargetLimits};
use briarswitch_standins::{EngineSettings, EngineStandin, PlatformStandin};
use briarswitch_wire::config::{
    DeploymentDoc, KindDoc, ModelDoc, OrganisationDoc, RouteDoc, RuleDoc, ThenDoc, ValueDoc,
    WhenDoc,
};
use briarswitch_wire::engine::GROUP_HEADER;
use briarswitch_wire::operator::{EditReply, EditRequest, StatusReply};
use briarswitch_wire::platform::VmDoc;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;

/// Time between the tokens of a paced stream.
const PACE: Duration = Duration::from_millis(20);
const MODEL: &str = "m";
/// SHA-256 of the key `key`.
const KEY_HASH: &str = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683";
/// Slowest request that is told apart, in microseconds.
const SLOWEST_US: u64 = 60_000_000;
const LIMIT: Duration = Duration::from_secs(10);
/// Clock ticks a second in the kernel's accounting.
const TICKS: f64 = 100.0;

type Failure = Box<dyn std::error::Error + Send + Sync>;

struct Bench {
    _platform: PlatformStandin,
    engine: EngineStandin,
    node: Child,
    callers: String,
}

/// What one run of load measured.
struct LoadResult {
    latency: Histogram<u64>,
    requests: u64,
    events: u64,
    failures: u64,
}

fn main() -> Result<(), Failure> {
    let seconds = std::env::args().nth(1).map_or(Ok(4), |text| text.parse())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    runtime.block_on(measure(Duration::from_secs(seconds)))
}

async fn measure(time: Duration) -> Result<(), Failure> {
    let bench = Bench::start().await?;
    let direct = bench.engine.address().to_string();
    let pid = bench.node.id();
    println!("load                    rate/s  direct p50/p99/p99.9 us   via node p50/p99/p99.9 us  added p50  node us/request  us/event");
    for (tokens, is_stream) in [(1, false), (32, true), (300, true)] {
        for clients in [1, 8, 32] {
            let straight = run_load(&direct, tokens, is_stream, clients, time).await?;
            let before = cpu_seconds(pid)?;
            let through = run_load(&bench.callers, tokens, is_stream, clients, time).await?;
            let spent = cpu_seconds(pid)? - before;
            print_row(tokens, is_stream, clients, &straight, &through, spent, time);
        }
    }
    println!("node memory: {} kB resident", resident_kb(pid)?);
    measure_paced(&bench, time).await
}

/// Measures many streams at once whose tokens come at the pace of a real engine.
async fn measure_paced(bench: &Bench, time: Duration) -> Result<(), Failure> {
    println!("\nstreams of one token every {PACE:?}");
    bench.engine.set_token_time(PACE);
    let pid = bench.node.id();
    let idle = resident_kb(pid)?;
    for streams in [100, 500, 1000] {
        let address = bench.callers.clone();
        let load = tokio::spawn(async move { run_load(&address, 200, true, streams, time).await });
        tokio::time::sleep(time / 2).await;
        let before = cpu_seconds(pid)?;
        let from = Instant::now();
        tokio::time::sleep(time).await;
        let spent = cpu_seconds(pid)? - before;
        let rate = streams as f64 / PACE.as_secs_f64();
        let events = rate * from.elapsed().as_secs_f64();
        let resident = resident_kb(pid)?;
        load.await??;
        println!(
            "{streams:>5} streams, about {rate:.0} events/s: {:.2} cores, {:.1} us/event, {:.1} kB a stream",
            spent / time.as_secs_f64(),
            spent * 1e6 / events,
            (resident.saturating_sub(idle)) as f64 / streams as f64,
        );
    }
    Ok(())
}

fn print_row(
    tokens: u32,
    is_stream: bool,
    clients: usize,
    straight: &LoadResult,
    through: &LoadResult,
    spent: f64,
    time: Duration,
) {
    let quantiles = |result: &LoadResult| {
        let at = |quantile| result.latency.value_at_quantile(quantile);
        format!("{:>6}/{:>6}/{:>6}", at(0.5), at(0.99), at(0.999))
    };
    let middle = |result: &LoadResult| result.latency.value_at_quantile(0.5) as f64;
    println!(
        "{:<6} {tokens:>3} tokens x{clients:<3} {:>8.0}  {}      {}      {:>6.0}     {:>8.1}      {:>6.2}  failures {}",
        if is_stream { "stream" } else { "whole" },
        through.requests as f64 / time.as_secs_f64(),
        quantiles(straight),
        quantiles(through),
        middle(through) - middle(straight),
        spent * 1e6 / through.requests.max(1) as f64,
        spent * 1e6 / through.events.max(1) as f64,
        straight.failures + through.failures,
    );
}

/// Sends requests from `clients` callers, one after another each, for some time.
async fn run_load(
    address: &str,
    tokens: u32,
    is_stream: bool,
    clients: usize,
    time: Duration,
) -> Result<LoadResult, Failure> {
    let shared = Arc::new(Mutex::new(Histogram::<u64>::new_with_bounds(
        1, SLOWEST_US, 3,
    )?));
    let events = Arc::new(AtomicU64::new(0));
    let failures = Arc::new(AtomicU64::new(0));
    let end = Instant::now() + time;
    let mut tasks = Vec::new();
    for _ in 0..clients {
        let target = TargetAddress {
            address: address.to_owned(),
            incarnation: 0,
        };
        let (shared, events, failures) = (
            Arc::clone(&shared),
            Arc::clone(&events),
            Arc::clone(&failures),
        );
        tasks.push(tokio::spawn(async move {
            let client = TargetClient::new(TargetLimits {
                connect_timeout: LIMIT,
                max_idle: 1,
            });
            let mut own = Histogram::<u64>::new_with_bounds(1, SLOWEST_US, 3).expect("a histogram");
            while Instant::now() < end {
                let start = Instant::now();
                match ask(&client, &target, tokens, is_stream).await {
                    Some(count) => {
                        events.fetch_add(count, Ordering::Relaxed);
                        let micros = start.elapsed().as_micros() as u64;
                        own.saturating_record(micros);
                    }
                    None => {
                        failures.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
            if let Ok(mut all) = shared.lock() {
                let _ = all.add(own);
            }
        }));
    }
    for task in tasks {
        task.await?;
    }
    let latency = shared.lock().map_err(|_| "a caller failed")?.clone();
    Ok(LoadResult {
        requests: latency.len(),
        latency,
        events: events.load(Ordering::Relaxed),
        failures: failures.load(Ordering::Relaxed),
    })
}

/// Sends one request and counts the stream events, or returns `None` when it was not answered whole.
async fn ask(
    client: &TargetClient,
    target: &TargetAddress,
    tokens: u32,
    is_stream: bool,
) -> Option<u64> {
    let body = format!(
        r#"{{"model":"{MODEL}","stream":{is_stream},"max_tokens":{tokens},"messages":[{{"role":"user","content":"rate card"}}]}}"#
    );
    let request = http::Request::post("/v1/chat/completions")
        .header("host", &target.address)
        .header("authorization", "Bearer key")
        .body(full_body(Bytes::from(body)))
        .ok()?;
    let mut reply = client.send(target, request, false).await.ok()?;
    let mut events = 0;
    while let Some(piece) = reply.body.next().await.ok()? {
        events += memchr_count(&piece);
    }
    (reply.head.status == 200).then_some(events)
}

fn memchr_count(piece: &[u8]) -> u64 {
    piece.windows(2).filter(|pair| *pair == b"\n\n").count() as u64
}

impl Bench {
    async fn start() -> Result<Self, Failure> {
        let platform = PlatformStandin::spawn("127.0.0.1:0")?;
        let mut settings = EngineSettings::quick("vm-1");
        settings.slots = 1024;
        let engine = EngineStandin::spawn("127.0.0.1:0", settings)?;
        platform.list_vm(VmDoc {
            id: "vm-1".to_owned(),
            zone: "zone-1".to_owned(),
            domain: "d".to_owned(),
            pool: "p".to_owned(),
            address: engine.address().to_string(),
            incarnation: 1,
            accelerators: 2,
            leaving: false,
        });
        let ports = free_ports(2)?;
        let callers = format!("127.0.0.1:{}", ports[0]);
        let operators = format!("127.0.0.1:{}", ports[1]);
        let mut command = Command::new(node_program()?);
        for service in ["table", "objects", "vms", "weights"] {
            let flag = format!("platform.{service}=http://{}", platform.address());
            command.args(["--set", &flag]);
        }
        command.args(["--set", &format!("listen.callers={callers}")]);
        command.args(["--set", &format!("listen.operators={operators}")]);
        command.args(["--set", "log_level=warn"]);
        let node = command.stderr(Stdio::null()).spawn()?;
        let bench = Self {
            _platform: platform,
            engine,
            node,
            callers,
        };
        configure(&operators).await?;
        // The engine answers straight requests too once it is in its group.
        println!("requests carry {GROUP_HEADER} from the node and none straight");
        Ok(bench)
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = self.node.kill();
        let _ = self.node.wait();
    }
}

async fn configure(operators: &str) -> Result<(), Failure> {
    let client = ApiClient::new(Codec::Json, Some("change-me-operator".to_owned()));
    let organisation = ValueDoc::Organisation(OrganisationDoc {
        key_hash: KEY_HASH.to_owned(),
        weight: 1,
        requests_per_second: None,
    });
    let deployment = ValueDoc::Deployment(DeploymentDoc {
        pool: "p".to_owned(),
        model: Some(ModelDoc {
            vms_per_replica: 1,
            replicas_per_zone: 1,
            checks_fencing: true,
            spans_domains: false,
            downtime_weight: 1,
            stranded_weight: 1,
        }),
        target_in_flight: 4096,
        priority: 0,
    });
    let rules = ValueDoc::Rules(vec![RuleDoc {
        name: "all".to_owned(),
        when: WhenDoc::default(),
        then: ThenDoc::Route(RouteDoc {
            deployment: MODEL.to_owned(),
            priority: None,
        }),
    }]);
    let edits = [
        (KindDoc::Organisation, "o", organisation),
        (KindDoc::Deployment, MODEL, deployment),
        (KindDoc::Rules, "main", rules),
    ];
    for (kind, id, value) in edits {
        let request = EditRequest {
            kind,
            id: id.to_owned(),
            base: 0,
            value,
            write: format!("overhead-{id}"),
        };
        let url = format!("http://{operators}/v1/edit");
        loop {
            let sent = client.call::<_, EditReply>(Method::POST, &url, Some(&request), LIMIT);
            if let Ok(EditReply::Accepted { .. }) = sent.await {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let url = format!("http://{operators}/v1/status");
    loop {
        let status = client.call::<(), StatusReply>(Method::GET, &url, None, LIMIT);
        if status.await?.groups.iter().any(|group| group.is_routable) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn node_program() -> Result<PathBuf, Failure> {
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(|folder| folder.parent());
    let program = folder.ok_or("no folder")?.join("briarswitch-node");
    if program.exists() {
        return Ok(program);
    }
    Err("build briarswitch-node with the same profile first".into())
}

fn free_ports(count: usize) -> Result<Vec<u16>, Failure> {
    let held: Result<Vec<_>, _> = (0..count)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0"))
        .collect();
    let ports = held?
        .iter()
        .map(|listener| Ok(listener.local_addr()?.port()))
        .collect::<Result<Vec<_>, std::io::Error>>()?;
    Ok(ports)
}

/// Returns the processor time of a process, from the kernel's accounting.
fn cpu_seconds(pid: u32) -> Result<f64, Failure> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let user: f64 = fields.get(11).ok_or("no user time")?.parse()?;
    let system: f64 = fields.get(12).ok_or("no system time")?.parse()?;
    Ok((user + system) / TICKS)
}

fn resident_kb(pid: u32) -> Result<u64, Failure> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let text = line
        .ok_or("no resident size")?
        .trim()
        .trim_end_matches(" kB");
    Ok(text.trim().parse()?)
}
