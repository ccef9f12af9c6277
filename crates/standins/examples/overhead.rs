//! Measures the overhead of a node: requests through a node compared with direct requests to the
//! engine.
//!
//! Usage: `overhead [SECONDS]`. Needs `briarswitch-node` built with the same profile. Prints, for
//! increasing load, the latency at the 50th, 99th and 99.9th percentile and the CPU time of the node
//! per request and per token event. All traffic uses the loopback interface.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use briarswitch_http::{
    full_body, ApiClient, BodyPart, Codec, TargetAddress, TargetClient, TargetLimits,
};
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
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);
const MODEL: &str = "m";
/// SHA-256 of the key `key`.
const KEY_HASH: &str = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683";
/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
const TIMEOUT: Duration = Duration::from_secs(10);
/// Clock ticks per second in the kernel's CPU accounting.
const TICKS_PER_SECOND: f64 = 100.0;

type Error = Box<dyn std::error::Error + Send + Sync>;

struct Cluster {
    _platform: PlatformStandin,
    engine: EngineStandin,
    node: Child,
    callers: String,
}

/// Results of one load run.
struct LoadResult {
    latency: Histogram<u64>,
    requests: u64,
    events: u64,
    failures: u64,
}

fn main() -> Result<(), Error> {
    let seconds = std::env::args().nth(1).map_or(Ok(4), |text| text.parse())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    runtime.block_on(measure(Duration::from_secs(seconds)))
}

async fn measure(time: Duration) -> Result<(), Error> {
    let cluster = Cluster::start().await?;
    let direct = cluster.engine.address().to_string();
    let pid = cluster.node.id();
    println!("load                    rate/s  direct p50/p99/p99.9 us   via node p50/p99/p99.9 us  added p50  node us/request  us/event");
    for (tokens, is_stream) in [(1, false), (32, true), (300, true)] {
        for clients in [1, 8, 32] {
            let direct_result = run_load(&direct, tokens, is_stream, clients, time).await?;
            let before = cpu_seconds(pid)?;
            let node_result = run_load(&cluster.callers, tokens, is_stream, clients, time).await?;
            let cpu_time = cpu_seconds(pid)? - before;
            print_row(
                tokens,
                is_stream,
                clients,
                &direct_result,
                &node_result,
                cpu_time,
                time,
            );
        }
    }
    println!("node memory: {} kB resident", resident_kb(pid)?);
    measure_paced(&cluster, time).await
}

/// Measures many concurrent streams at the token rate of a real engine.
async fn measure_paced(cluster: &Cluster, time: Duration) -> Result<(), Error> {
    println!("\nstreams of one token every {TOKEN_INTERVAL:?}");
    cluster.engine.set_token_time(TOKEN_INTERVAL);
    let pid = cluster.node.id();
    let idle = resident_kb(pid)?;
    for streams in [100, 500, 1000] {
        let address = cluster.callers.clone();
        let load = tokio::spawn(async move { run_load(&address, 200, true, streams, time).await });
        tokio::time::sleep(time / 2).await;
        let before = cpu_seconds(pid)?;
        let start = Instant::now();
        tokio::time::sleep(time).await;
        let cpu_time = cpu_seconds(pid)? - before;
        let rate = streams as f64 / TOKEN_INTERVAL.as_secs_f64();
        let events = rate * start.elapsed().as_secs_f64();
        let resident = resident_kb(pid)?;
        load.await??;
        println!(
            "{streams:>5} streams, about {rate:.0} events/s: {:.2} cores, {:.1} us/event, {:.1} kB a stream",
            cpu_time / time.as_secs_f64(),
            cpu_time * 1e6 / events,
            (resident.saturating_sub(idle)) as f64 / streams as f64,
        );
    }
    Ok(())
}

fn print_row(
    tokens: u32,
    is_stream: bool,
    clients: usize,
    direct: &LoadResult,
    node: &LoadResult,
    cpu_time: f64,
    time: Duration,
) {
    let quantiles = |result: &LoadResult| {
        let at = |quantile| result.latency.value_at_quantile(quantile);
        format!("{:>6}/{:>6}/{:>6}", at(0.5), at(0.99), at(0.999))
    };
    let median = |result: &LoadResult| result.latency.value_at_quantile(0.5) as f64;
    println!(
        "{:<6} {tokens:>3} tokens x{clients:<3} {:>8.0}  {}      {}      {:>6.0}     {:>8.1}      {:>6.2}  failures {}",
        if is_stream { "stream" } else { "single" },
        node.requests as f64 / time.as_secs_f64(),
        quantiles(direct),
        quantiles(node),
        median(node) - median(direct),
        cpu_time * 1e6 / node.requests.max(1) as f64,
        cpu_time * 1e6 / node.events.max(1) as f64,
        direct.failures + node.failures,
    );
}

/// Runs `clients` concurrent clients for `time`; each sends its requests one after another.
async fn run_load(
    address: &str,
    tokens: u32,
    is_stream: bool,
    clients: usize,
    time: Duration,
) -> Result<LoadResult, Error> {
    let histogram = Arc::new(Mutex::new(Histogram::<u64>::new_with_bounds(
        1,
        MAX_LATENCY_US,
        3,
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
        let (histogram, events, failures) = (
            Arc::clone(&histogram),
            Arc::clone(&events),
            Arc::clone(&failures),
        );
        tasks.push(tokio::spawn(async move {
            let client = TargetClient::new(TargetLimits {
                connect_timeout: TIMEOUT,
                max_idle: 1,
            });
            let mut latencies =
                Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).expect("a histogram");
            while Instant::now() < end {
                let start = Instant::now();
                match send_request(&client, &target, tokens, is_stream).await {
                    Some(count) => {
                        events.fetch_add(count, Ordering::Relaxed);
                        let micros = start.elapsed().as_micros() as u64;
                        latencies.saturating_record(micros);
                    }
                    None => {
                        failures.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
            if let Ok(mut all) = histogram.lock() {
                let _ = all.add(latencies);
            }
        }));
    }
    for task in tasks {
        task.await?;
    }
    let latency = histogram
        .lock()
        .map_err(|_| "a client task panicked")?
        .clone();
    Ok(LoadResult {
        requests: latency.len(),
        latency,
        events: events.load(Ordering::Relaxed),
        failures: failures.load(Ordering::Relaxed),
    })
}

/// Sends a request and returns the number of stream events, or `None` if it failed.
async fn send_request(
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
    let mut response = client.send(target, request, false).await.ok()?;
    let mut events = 0;
    while let BodyPart::Chunk(chunk) = response.body.next().await.ok()? {
        events += count_events(&chunk);
    }
    (response.head.status == 200).then_some(events)
}

fn count_events(chunk: &[u8]) -> u64 {
    chunk.windows(2).filter(|pair| *pair == b"\n\n").count() as u64
}

impl Cluster {
    async fn start() -> Result<Self, Error> {
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
        let cluster = Self {
            _platform: platform,
            engine,
            node,
            callers,
        };
        configure(&operators).await?;
        // Once it is in its group, the engine also accepts requests without a group header.
        println!("requests through the node carry {GROUP_HEADER}, direct ones do not");
        Ok(cluster)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = self.node.kill();
        let _ = self.node.wait();
    }
}

async fn configure(operators: &str) -> Result<(), Error> {
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
            let sent = client.call::<_, EditReply>(Method::POST, &url, Some(&request), TIMEOUT);
            if let Ok(EditReply::Accepted { .. }) = sent.await {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let url = format!("http://{operators}/v1/status");
    loop {
        let status = client.call::<(), StatusReply>(Method::GET, &url, None, TIMEOUT);
        if status.await?.groups.iter().any(|group| group.is_routable) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn node_program() -> Result<PathBuf, Error> {
    let example = std::env::current_exe()?;
    let directory = example.parent().and_then(|examples| examples.parent());
    let program = directory
        .ok_or("the program has no parent directory")?
        .join("briarswitch-node");
    if program.exists() {
        return Ok(program);
    }
    Err("briarswitch-node not found; build it with the same profile first".into())
}

fn free_ports(count: usize) -> Result<Vec<u16>, Error> {
    let listeners: Result<Vec<_>, _> = (0..count)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0"))
        .collect();
    let ports = listeners?
        .iter()
        .map(|listener| Ok(listener.local_addr()?.port()))
        .collect::<Result<Vec<_>, std::io::Error>>()?;
    Ok(ports)
}

/// Returns the CPU time of a process from procfs.
fn cpu_seconds(pid: u32) -> Result<f64, Error> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let user: f64 = fields.get(11).ok_or("no user time")?.parse()?;
    let system: f64 = fields.get(12).ok_or("no system time")?.parse()?;
    Ok((user + system) / TICKS_PER_SECOND)
}

fn resident_kb(pid: u32) -> Result<u64, Error> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let text = line
        .ok_or("no resident size")?
        .trim()
        .trim_end_matches(" kB");
    Ok(text.trim().parse()?)
}
