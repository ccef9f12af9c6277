//! Runs real node processes against stand-ins of the platform and its targets inside the test.
#![allow(dead_code)]

pub mod service;

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use briarswitch_http::{
    full_body, BodyEnd, BodyPart, TargetAddress, TargetBody, TargetClient, TargetLimits,
};
use briarswitch_node::auth::key_hash;
use briarswitch_standins::{
    EngineSettings, EngineStandin, LinkRelay, PlainStandin, PlatformStandin,
};
use briarswitch_wire::config::{
    DeploymentDoc, KindDoc, ModelDoc, OrganisationDoc, RouteDoc, RuleDoc, ThenDoc, ValueDoc,
    WhenDoc,
};
use briarswitch_wire::operator::{EditReply, EditRequest, StatusReply};
use briarswitch_wire::peer::{GroupDoc, GroupStateDoc};
use briarswitch_wire::platform::{VmClaimDoc, VmDoc};
use bytes::Bytes;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;

/// Longest time that a test waits for a condition or a response.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Most attempts to start the nodes, each on new ports.
const MAX_START_ATTEMPTS: usize = 5;
pub const MODEL: &str = "vilakku-lm";
pub const SERVICE: &str = "kaunter-app";
pub const MODEL_POOL: &str = "vilakku-pool";
pub const SERVICE_POOL: &str = "kaunter-pool";
pub const KEY: &str = "kayal-key";
pub const ZONES: [&str; 3] = ["kakkanad", "edappally", "vyttila"];

/// Short times that keep the tests fast; no checked condition depends on them.
const FAST_SETTINGS: &[&str] = &[
    "lease.duration_ms=1500",
    "lease.margin_ms=200",
    "lease.renew_ms=300",
    "gate.evidence_ttl_ms=700",
    "gate.probe_interval_ms=100",
    "gate.probe_timeout_ms=200",
    "gate.exchange_interval_ms=80",
    "gate.remote_exchange_interval_ms=150",
    "gate.peer_timeout_ms=800",
    "control.plan_interval_ms=50",
    "control.member_grace_ms=300",
    "control.config_poll_ms=150",
    "control.list_poll_ms=150",
    "control.order_deadline_ms=300",
    "control.transport_bound_ms=100",
    "control.platform_timeout_ms=500",
    "control.usage_flush_ms=200",
    "shutdown.notice_ms=300",
];

pub struct Ports {
    pub callers: u16,
    pub operators: u16,
    pub peers: u16,
    pub health: u16,
}

pub struct NodeProcess {
    pub name: String,
    pub zone: String,
    pub ports: Ports,
    arguments: Vec<String>,
    child: Option<Child>,
}

impl NodeProcess {
    fn log_path(&self) -> PathBuf {
        let name = format!("briarswitch-{}-{}.log", self.name, self.ports.callers);
        std::env::temp_dir().join(name)
    }

    /// Returns whether the log has a line of this event.
    pub fn has_logged(&self, event: &str) -> bool {
        self.lines_of(event) > 0
    }

    /// Returns the number of the log's lines of this event since the node's last start.
    pub fn lines_of(&self, event: &str) -> usize {
        let log = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        log.matches(&format!(" event={event} ")).count()
    }

    fn start(&mut self) {
        let log = self.log_path();
        let child = Command::new(env!("CARGO_BIN_EXE_briarswitch-node"))
            .args(&self.arguments)
            .stdout(File::create(log).map_or(Stdio::null(), Stdio::from))
            .spawn()
            .expect("the node starts");
        self.child = Some(child);
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.as_ref().expect("a running node").id()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn restart(&mut self) {
        self.kill();
        self.start();
    }

    /// Restarts the node with its standard output as a pipe, and returns the reading end.
    pub fn restart_with_piped_output(&mut self) -> ChildStdout {
        self.kill();
        let mut child = Command::new(env!("CARGO_BIN_EXE_briarswitch-node"))
            .args(&self.arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the node starts");
        let output = child.stdout.take().expect("its output is a pipe");
        self.child = Some(child);
        output
    }

    /// Sends a signal; one that stops the process has taken effect when this returns.
    ///
    /// SIGSTOP takes effect when a thread of the process next runs; on a busy machine the other
    /// threads go on until then.
    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else {
            return;
        };
        kill(Pid::from_raw(child.id() as i32), signal).expect("the process is there");
        while signal == Signal::SIGSTOP && !is_stopped(child.id()) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn has_exited(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
}

/// Returns whether every thread of a process is stopped.
fn is_stopped(process: u32) -> bool {
    let threads = std::fs::read_dir(format!("/proc/{process}/task")).expect("the process is there");
    let mut states = threads.map(|thread| {
        let stat = thread.map(|thread| std::fs::read_to_string(thread.path().join("stat")));
        let stat = stat.and_then(|stat| stat).expect("a thread's state");
        // The state follows the thread's name, which is in parentheses.
        stat.rsplit(") ").next().unwrap_or_default().to_owned()
    });
    states.all(|state| state.starts_with('T'))
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One response as the test's client received it.
#[derive(Clone, Debug)]
pub struct TestResponse {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// Whether the body was received to its end.
    pub is_complete: bool,
}

impl TestResponse {
    pub fn outcome(&self) -> String {
        self.headers.get("x-outcome").cloned().unwrap_or_default()
    }

    pub fn code(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the events of a stream, without the final `[DONE]`.
    pub fn events(&self) -> Vec<String> {
        self.body
            .split("\n\n")
            .filter_map(|event| event.strip_prefix("data: "))
            .filter(|event| *event != "[DONE]")
            .map(str::to_owned)
            .collect()
    }

    pub fn has_done_marker(&self) -> bool {
        self.body.contains("data: [DONE]")
    }
}

pub struct Cluster {
    pub platform: PlatformStandin,
    pub engines: BTreeMap<String, EngineStandin>,
    pub services: BTreeMap<String, PlainStandin>,
    pub nodes: Vec<NodeProcess>,
    client: TargetClient,
}

/// Size, deployments and settings of a cluster.
pub struct ClusterSpec {
    pub zones: usize,
    pub nodes_per_zone: usize,
    pub engines_per_zone: usize,
    pub services_per_zone: usize,
    pub vms_per_replica: u32,
    pub replicas_per_zone: u32,
    pub checks_fencing: bool,
    pub target_in_flight: u32,
    pub settings: Vec<String>,
}

impl Default for ClusterSpec {
    fn default() -> Self {
        Self {
            zones: 1,
            nodes_per_zone: 1,
            engines_per_zone: 2,
            services_per_zone: 0,
            vms_per_replica: 2,
            replicas_per_zone: 1,
            checks_fencing: true,
            target_in_flight: 64,
            settings: Vec::new(),
        }
    }
}

impl Cluster {
    /// Starts a cluster and waits until every wanted group serves.
    pub async fn start(spec: ClusterSpec) -> Self {
        let cluster = Self::start_unconfigured(&spec).await;
        cluster.configure(&spec).await;
        let groups = spec.zones * spec.replicas_per_zone as usize;
        if spec.engines_per_zone > 0 {
            cluster.wait_routable(groups).await;
        }
        for index in 0..cluster.nodes.len() {
            cluster
                .wait("every machine of the zone is seen", async |cluster| {
                    cluster.sees_its_zone(index).await
                })
                .await;
            // Routes are built shortly after reports and configuration have arrived; a successful
            // call shows that they are.
            if spec.services_per_zone > 0 {
                cluster
                    .wait("the service answers", async |cluster| {
                        let answer = cluster.call_service(index, "/ping", &[]).await;
                        answer.is_some_and(|answer| answer.status == 200)
                    })
                    .await;
            }
        }
        cluster
    }

    /// Starts processes and stand-ins without any configuration.
    pub async fn start_unconfigured(spec: &ClusterSpec) -> Self {
        let mut cluster = Self {
            platform: PlatformStandin::spawn("127.0.0.1:0").expect("a platform"),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            nodes: Vec::new(),
            client: TargetClient::new(TargetLimits {
                connect_timeout: Duration::from_secs(5),
                max_idle: 0,
            }),
        };
        for zone in &ZONES[..spec.zones] {
            for index in 0..spec.engines_per_zone {
                let name = format!("{zone}-gpu-{index}");
                let mut settings = EngineSettings::quick(&name);
                settings.checks_fencing = spec.checks_fencing;
                cluster.add_engine(zone, &format!("{zone}-fabric"), settings);
            }
            for index in 0..spec.services_per_zone {
                cluster.add_service(zone, &format!("{zone}-app-{index}"), 1, "127.0.0.1:0");
            }
        }
        cluster.start_nodes(spec).await;
        cluster
    }

    /// Starts the nodes; tries other ports when a chosen port was taken before the node bound it.
    async fn start_nodes(&mut self, spec: &ClusterSpec) {
        for _ in 0..MAX_START_ATTEMPTS {
            self.nodes.clear();
            self.add_nodes(spec);
            for node in &mut self.nodes {
                node.start();
            }
            if self.all_ready().await {
                return;
            }
        }
        panic!("the nodes did not start");
    }

    /// Waits until every node is ready; returns false when one exited instead, or lacks a listener.
    ///
    /// Another process has taken the port of a listener that is missing, and may answer in its place.
    async fn all_ready(&mut self) -> bool {
        for index in 0..self.nodes.len() {
            let start = Instant::now();
            // The line on a missing listener comes before this one.
            while !self.nodes[index].has_logged("node_started") || !self.is_ready(index).await {
                let node = &mut self.nodes[index];
                if node.has_exited() || node.has_logged("listener_unbound") {
                    return false;
                }
                assert!(
                    start.elapsed() < WAIT_TIMEOUT,
                    "timed out: the node is ready"
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            if self.nodes[index].has_logged("listener_unbound") {
                return false;
            }
        }
        true
    }

    pub fn add_engine(&mut self, zone: &str, domain: &str, settings: EngineSettings) {
        let name = settings.vm.clone();
        let incarnation = settings.incarnation;
        let engine = EngineStandin::spawn("127.0.0.1:0", settings).expect("an engine");
        self.platform.list_vm(VmDoc {
            id: name.clone(),
            zone: zone.to_owned(),
            domain: domain.to_owned(),
            pool: MODEL_POOL.to_owned(),
            address: engine.address().to_string(),
            incarnation,
            accelerators: 2,
            leaving: false,
        });
        self.engines.insert(name, engine);
    }

    pub fn add_service(&mut self, zone: &str, name: &str, incarnation: u64, address: &str) {
        let service = spawn_service(address, name, incarnation);
        self.platform.list_vm(VmDoc {
            id: name.to_owned(),
            zone: zone.to_owned(),
            domain: format!("{zone}-fabric"),
            pool: SERVICE_POOL.to_owned(),
            address: service.address().to_string(),
            incarnation,
            accelerators: 0,
            leaving: false,
        });
        self.services.insert(name.to_owned(), service);
    }

    fn add_nodes(&mut self, spec: &ClusterSpec) {
        let count = spec.zones * spec.nodes_per_zone;
        let mut ports = free_ports(count * 4).into_iter();
        let mut next = || ports.next().expect("a port");
        let members: Vec<(String, String, Ports)> = (0..count)
            .map(|index| {
                let zone = ZONES[index / spec.nodes_per_zone];
                let name = format!("{zone}-{}", index % spec.nodes_per_zone + 1);
                let ports = Ports {
                    callers: next(),
                    operators: next(),
                    peers: next(),
                    health: next(),
                };
                (name, zone.to_owned(), ports)
            })
            .collect();
        let platform = self.platform.address().to_string();
        let peer_ports: Vec<_> = members
            .iter()
            .map(|(name, zone, ports)| (name.clone(), zone.clone(), ports.peers))
            .collect();
        for (name, zone, ports) in members {
            let arguments = arguments(&name, &zone, &ports, &platform, &peer_ports, spec);
            self.nodes.push(NodeProcess {
                name,
                zone,
                ports,
                arguments,
                child: None,
            });
        }
    }

    /// Routes the connections between all nodes through links, from their next start on.
    ///
    /// Returns the links by the node that connects and the one that it connects to.
    pub fn link_peers(&mut self) -> BTreeMap<(usize, usize), LinkRelay> {
        let mut links = BTreeMap::new();
        for from in 0..self.nodes.len() {
            let mut peers = Vec::new();
            for to in (0..self.nodes.len()).filter(|to| *to != from) {
                let node = &self.nodes[to];
                let link = LinkRelay::spawn(&format!("127.0.0.1:{}", node.ports.peers));
                let link = link.expect("a link");
                let address = link.address().to_string();
                peers.push(serde_json::json!({
                    "node": node.name, "zone": node.zone, "address": address,
                }));
                links.insert((from, to), link);
            }
            let file = &self.nodes[from].arguments[1];
            let text = serde_json::json!({ "peers": peers }).to_string();
            std::fs::write(file, text).expect("a settings file");
        }
        links
    }

    /// Sets the platform address of one node, from its next start on.
    pub fn set_platform_address(&mut self, node: usize, address: &str) {
        for service in ["table", "objects", "vms", "weights"] {
            let flag = format!("platform.{service}=http://{address}");
            self.nodes[node]
                .arguments
                .extend(["--set".to_owned(), flag]);
        }
    }

    /// Lets one node reach the services along links, from its next start on.
    ///
    /// The node gets a VM list of its own, in which the services have the addresses of the links.
    pub fn link_services(&mut self, node: usize) -> (PlatformStandin, Vec<LinkRelay>) {
        let list = PlatformStandin::spawn("127.0.0.1:0").expect("a platform");
        let zone = self.nodes[node].zone.clone();
        let links = self.services.iter().map(|(name, service)| {
            let link = LinkRelay::spawn(&service.address().to_string()).expect("a link");
            list.list_vm(VmDoc {
                id: name.clone(),
                zone: zone.clone(),
                domain: format!("{zone}-fabric"),
                pool: SERVICE_POOL.to_owned(),
                address: link.address().to_string(),
                incarnation: 1,
                accelerators: 0,
                leaving: false,
            });
            link
        });
        let links = links.collect();
        let flag = format!("platform.vms=http://{}", list.address());
        self.nodes[node]
            .arguments
            .extend(["--set".to_owned(), flag]);
        (list, links)
    }

    pub async fn wait_ready(&self) {
        for index in 0..self.nodes.len() {
            self.wait("the node is ready", async |cluster| {
                cluster.is_ready(index).await
            })
            .await;
        }
    }

    pub async fn is_ready(&self, node: usize) -> bool {
        let address = format!("127.0.0.1:{}", self.nodes[node].ports.health);
        let answer = self.send(&address, "GET", "/ready", &[], "").await;
        answer.is_some_and(|answer| answer.status == 200)
    }

    async fn configure(&self, spec: &ClusterSpec) {
        self.must_edit(KindDoc::Organisation, "kayal", organisation(KEY))
            .await;
        let model = ValueDoc::Deployment(DeploymentDoc {
            pool: MODEL_POOL.to_owned(),
            model: Some(ModelDoc {
                vms_per_replica: spec.vms_per_replica,
                replicas_per_zone: spec.replicas_per_zone,
                checks_fencing: spec.checks_fencing,
                spans_domains: false,
                downtime_weight: 2,
                stranded_weight: 1,
            }),
            target_in_flight: spec.target_in_flight,
            priority: 0,
        });
        self.must_edit(KindDoc::Deployment, MODEL, model).await;
        let service = ValueDoc::Deployment(DeploymentDoc {
            pool: SERVICE_POOL.to_owned(),
            model: None,
            target_in_flight: 64,
            priority: 0,
        });
        self.must_edit(KindDoc::Deployment, SERVICE, service).await;
        let rules = [MODEL, SERVICE].map(route_rule).to_vec();
        self.must_edit(KindDoc::Rules, "main", ValueDoc::Rules(rules))
            .await;
        let versions = 4;
        for index in 0..self.nodes.len() {
            self.wait("the configuration is in force", async |cluster| {
                cluster.version(index).await >= Some(versions)
            })
            .await;
        }
    }

    async fn sees_its_zone(&self, node: usize) -> bool {
        let watch = self.dump(node, "watch").await;
        let zone = &self.nodes[node].zone;
        let mut names = self.engines.keys().chain(self.services.keys());
        names.all(|name| !name.starts_with(zone) || !watch["evidence_age_ms"][name].is_null())
    }

    pub async fn must_edit(&self, kind: KindDoc, id: &str, value: ValueDoc) -> u64 {
        match self.edit(0, kind, id, 0, value).await {
            Some(EditReply::Accepted { version }) => version,
            other => panic!("the edit of {id} was not accepted: {other:?}"),
        }
    }

    pub async fn edit(
        &self,
        node: usize,
        kind: KindDoc,
        id: &str,
        base: u64,
        value: ValueDoc,
    ) -> Option<EditReply> {
        let request = EditRequest {
            kind,
            id: id.to_owned(),
            base,
            value,
            write: format!("test-{id}-{node}-{base}-{}", next_suffix()),
        };
        let text = serde_json::to_string(&request).expect("an edit");
        self.operator_request(node, "POST", "/v1/edit", &text).await
    }

    pub async fn operator_request<T: serde::de::DeserializeOwned>(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<T> {
        let address = format!("127.0.0.1:{}", self.nodes[node].ports.operators);
        let headers = [("authorization", "Bearer operator")];
        let answer = self.send(&address, method, path, &headers, body).await?;
        serde_json::from_str(&answer.body).ok()
    }

    /// Configures a cluster that was started without a configuration.
    pub async fn configured(self, spec: &ClusterSpec) -> Self {
        self.configure(spec).await;
        self
    }

    /// Returns the part of a node's state dump that describes one service.
    pub async fn dump(&self, node: usize, service: &str) -> Value {
        let dump: Option<Value> = self.operator_request(node, "GET", "/v1/dump", "").await;
        dump.unwrap_or_default()["services"][service].clone()
    }

    pub async fn status(&self, node: usize) -> Option<StatusReply> {
        self.operator_request(node, "GET", "/v1/status", "").await
    }

    pub async fn version(&self, node: usize) -> Option<u64> {
        Some(self.status(node).await?.versions.first()?.version)
    }

    /// Returns the number of groups that a node would send requests to.
    pub async fn routable(&self, node: usize) -> usize {
        let status = self.status(node).await;
        status.map_or(0, |status| {
            status
                .groups
                .iter()
                .filter(|group| group.is_routable)
                .count()
        })
    }

    pub async fn wait_routable(&self, groups: usize) {
        for index in 0..self.nodes.len() {
            self.wait("the groups are routable", async |cluster| {
                cluster.routable(index).await == groups
            })
            .await;
        }
    }

    /// Returns a node's processor time in seconds and its resident memory in kB.
    pub fn process_usage(&self, node: usize) -> (f64, u64) {
        let child = self.nodes[node].child.as_ref().expect("a running node");
        let read = |file: &str| {
            std::fs::read_to_string(format!("/proc/{}/{file}", child.id())).unwrap_or_default()
        };
        let stat = read("stat");
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let ticks = |index: usize| fields.get(index).and_then(|text| text.parse().ok());
        let spent: f64 = ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0);
        let status = read("status");
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
        (spent / 100.0, resident.unwrap_or(0))
    }

    /// Returns the bytes of exchange requests that a node received from its peers.
    pub async fn peer_bytes(&self, node: usize) -> u64 {
        let dump: Option<Value> = self.operator_request(node, "GET", "/v1/dump", "").await;
        dump.unwrap_or_default()["peer_bytes"].as_u64().unwrap_or(0)
    }

    /// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
    pub async fn wait(&self, what: &str, condition: impl AsyncFn(&Self) -> bool) {
        let start = Instant::now();
        while !condition(self).await {
            assert!(start.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn callers(&self, node: usize) -> String {
        format!("127.0.0.1:{}", self.nodes[node].ports.callers)
    }

    /// Sends a chat request for at most `tokens` tokens.
    pub async fn chat(&self, node: usize, tokens: u32, is_stream: bool) -> Option<TestResponse> {
        self.chat_with(node, tokens, is_stream, &[]).await
    }

    pub async fn chat_with(
        &self,
        node: usize,
        tokens: u32,
        is_stream: bool,
        headers: &[(&str, &str)],
    ) -> Option<TestResponse> {
        let body = chat_body(tokens, is_stream);
        let mut all = vec![("authorization", "Bearer kayal-key")];
        all.extend_from_slice(headers);
        let path = "/v1/chat/completions";
        self.send(&self.callers(node), "POST", path, &all, &body)
            .await
    }

    /// Calls the plain service.
    pub async fn call_service(
        &self,
        node: usize,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Option<TestResponse> {
        let mut all = vec![("authorization", "Bearer kayal-key")];
        all.extend_from_slice(headers);
        let path = format!("/services/{SERVICE}{path}");
        self.send(&self.callers(node), "POST", &path, &all, "{}")
            .await
    }

    /// Sends one request on a new connection; `None` when no response head arrived.
    pub async fn send(
        &self,
        address: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<TestResponse> {
        let (head, body) = self
            .send_for_head(address, method, path, headers, body)
            .await?;
        Some(read_response(head, body).await)
    }

    /// Sends one request and returns the head of its response, with the body still to be read.
    pub async fn send_for_head(
        &self,
        address: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<(http::response::Parts, TargetBody)> {
        let mut request = http::Request::builder()
            .method(method)
            .uri(path)
            .header("host", address);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = full_body(Bytes::copy_from_slice(body.as_bytes()));
        let request = request.body(body).expect("a request");
        let target = TargetAddress {
            address: address.to_owned(),
            incarnation: 0,
        };
        let sending = self.client.send(&target, request, true);
        let reply = tokio::time::timeout(WAIT_TIMEOUT, sending)
            .await
            .ok()?
            .ok()?;
        Some((reply.head, reply.body))
    }

    /// Returns the number of requests that the engines ran.
    pub fn executions(&self) -> usize {
        let records = self.engines.values().map(EngineStandin::record);
        records.map(|record| record.executions.len()).sum()
    }

    /// Returns the number of calls that the plain services ran on a path.
    pub fn calls(&self, path: &str) -> usize {
        let calls = self.services.values().flat_map(PlainStandin::calls);
        calls.filter(|call| call.path == path).count()
    }
}

/// Reads a response to its end, or to where it broke off.
pub async fn read_response(head: http::response::Parts, mut body: TargetBody) -> TestResponse {
    let mut bytes = Vec::new();
    let is_complete = loop {
        match tokio::time::timeout(WAIT_TIMEOUT, body.next()).await {
            Ok(Ok(BodyPart::Chunk(piece))) => bytes.extend_from_slice(&piece),
            Ok(Ok(BodyPart::End(end))) => break end == BodyEnd::Marked,
            Ok(Err(_)) | Err(_) => break false,
        }
    };
    let headers = head.headers.iter().map(|(name, value)| {
        let text = value.to_str().unwrap_or_default().to_owned();
        (name.as_str().to_owned(), text)
    });
    TestResponse {
        status: head.status.as_u16(),
        headers: headers.collect(),
        body: String::from_utf8_lossy(&bytes).into_owned(),
        is_complete,
    }
}

pub fn chat_body(tokens: u32, is_stream: bool) -> String {
    format!(
        r#"{{"model":"{MODEL}","stream":{is_stream},"max_tokens":{tokens},"messages":[{{"role":"user","content":"price of rice"}}]}}"#
    )
}

pub fn organisation(key: &str) -> ValueDoc {
    ValueDoc::Organisation(OrganisationDoc {
        key_hash: key_hash(key),
        weight: 1,
        requests_per_second: None,
    })
}

pub fn route_rule(name: &str) -> RuleDoc {
    RuleDoc {
        name: name.to_owned(),
        when: WhenDoc {
            asked: Some(name.to_owned()),
            ..WhenDoc::default()
        },
        then: ThenDoc::Route(RouteDoc {
            deployment: name.to_owned(),
            priority: None,
        }),
    }
}

/// Checks by the platform's record of writes that no machine was ever in two groups.
///
/// The nodes' own reports are not used. After each transaction, no two groups that are not
/// dissolving may have the same incarnation of a machine as a member, and the claim of a member
/// must name its group unless the claim is for another incarnation.
pub fn check_history(platform: &PlatformStandin) {
    let mut groups: BTreeMap<String, GroupDoc> = BTreeMap::new();
    let mut claims: BTreeMap<String, VmClaimDoc> = BTreeMap::new();
    for write in platform.history() {
        for key in write.deleted {
            groups.remove(&key);
            claims.remove(&key);
        }
        for row in write.rows {
            if row.key.starts_with("group/") {
                let group = serde_json::from_value(row.value).expect("a group row");
                groups.insert(row.key, group);
            } else if row.key.starts_with("vm/") {
                let claim = serde_json::from_value(row.value).expect("a claim row");
                claims.insert(row.key, claim);
            }
        }
        let mut owners: BTreeMap<(String, u64), String> = BTreeMap::new();
        for group in groups.values() {
            if group.state == GroupStateDoc::Dissolving {
                continue;
            }
            for member in &group.members {
                let incarnation = (member.vm.clone(), member.incarnation);
                let other = owners.insert(incarnation, group.id.clone());
                assert_eq!(other, None, "{} is in two groups", member.vm);
                let zone = group.id.split('-').next().unwrap_or_default();
                let claim = claims.get(&format!("vm/{zone}/{}", member.vm));
                if let Some(claim) = claim {
                    let is_same_group = claim.group == group.id;
                    let is_other_incarnation = claim.incarnation != member.incarnation;
                    assert!(
                        is_same_group || is_other_incarnation,
                        "{} is claimed by another",
                        member.vm
                    );
                }
            }
        }
    }
}

/// Starts a plain service; tries again while a stopped one still holds the address.
fn spawn_service(address: &str, name: &str, incarnation: u64) -> PlainStandin {
    let start = Instant::now();
    loop {
        match PlainStandin::spawn(address, name, incarnation) {
            Ok(service) => return service,
            Err(error) => assert!(start.elapsed() < WAIT_TIMEOUT, "{address}: {error}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn next_suffix() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Ports handed out in this process.
///
/// Tests run concurrently. A port that one test has chosen but its node has not yet bound looks free
/// to another test. If both use it, only one node can bind it: that node answers in place of the
/// other, which has exited, and the other test waits until it times out.
static TAKEN_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

pub fn free_ports(count: usize) -> Vec<u16> {
    let mut taken = TAKEN_PORTS.lock().expect("no test panics here");
    let mut held = Vec::new();
    let mut ports = Vec::new();
    while ports.len() < count {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let port = listener.local_addr().expect("an address").port();
        held.push(listener);
        if taken.insert(port) {
            ports.push(port);
        }
    }
    ports
}

fn arguments(
    name: &str,
    zone: &str,
    ports: &Ports,
    platform: &str,
    nodes: &[(String, String, u16)],
    spec: &ClusterSpec,
) -> Vec<String> {
    let peers: Vec<Value> = nodes
        .iter()
        .filter(|(other, _, _)| other != name)
        .map(|(node, zone, port)| {
            serde_json::json!({"node": node, "zone": zone, "address": format!("127.0.0.1:{port}")})
        })
        .collect();
    let file = std::env::temp_dir().join(format!("briarswitch-{name}-{}.json", ports.callers));
    let text = serde_json::json!({"peers": peers}).to_string();
    std::fs::write(&file, text).expect("a settings file");
    let mut flags = vec![
        format!("node={name}"),
        format!("zone={zone}"),
        format!("listen.callers=127.0.0.1:{}", ports.callers),
        format!("listen.operators=127.0.0.1:{}", ports.operators),
        format!("listen.peers=127.0.0.1:{}", ports.peers),
        format!("listen.health=127.0.0.1:{}", ports.health),
        "operator_token=operator".to_owned(),
        "peer_token=peer".to_owned(),
    ];
    for service in ["table", "objects", "vms", "weights"] {
        flags.push(format!("platform.{service}=http://{platform}"));
    }
    flags.extend(FAST_SETTINGS.iter().map(|flag| (*flag).to_owned()));
    flags.extend(spec.settings.iter().cloned());
    let mut arguments = vec!["--settings".to_owned(), file.display().to_string()];
    for flag in flags {
        arguments.extend(["--set".to_owned(), flag]);
    }
    arguments
}
