//! Runs nodes in the test process, with an in-memory platform and targets on real sockets.
#![allow(dead_code)]

pub mod load;
pub mod noisy_front;
pub mod path;
pub mod peer;
pub mod platform;
pub mod target;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use briarswitch_core::residency::AllowedRegions;
use briarswitch_core::traffic::{
    AnswerKind, CallerLimits, KeyHolder, RepeatKind, ServiceSpec, SplitShare, TrafficConfig,
    TrafficRule,
};
use briarswitch_core::warmup::WarmupSpec;
use briarswitch_fleet::forward::{ForwardDoc, ForwardRequest, FORWARD_PATH};
use briarswitch_fleet::ports::NodeEntry;
use briarswitch_fleet::queue_doc::QueueUpdate;
use briarswitch_fleet::{FleetNode, FleetSettings, LoadControl};
use briarswitch_http::{
    encode_msgpack, full_body, BodyEnd, BodyPart, ProcessLimits, TargetAddress, TargetClient,
    TargetLimits,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use path::{PathState, TargetPath};
use peer::{PeerStub, QueueResponse};
use platform::{PlatformLink, PlatformStub, TargetListing};
use target::TargetStub;

pub const HOST: &str = "api.example";
pub const SERVICE: &str = "app";
pub const GROUP_SERVICE: &str = "lm";
pub const MODEL: &str = "m0";
/// API keys and the organisations that hold them.
pub const KEYS: [(&str, &str); 2] = [("key-one", "org-one"), ("key-two", "org-two")];
/// Zones and their regions.
pub const ZONES: [(&str, &str); 4] = [("z1", "r1"), ("z2", "r1"), ("z3", "r2"), ("z4", "r1")];
/// How all targets warm up.
pub const WARMUP: WarmupSpec = WarmupSpec {
    duration: Duration::from_secs(3),
    requests_per_second: 4.0,
};
/// Address with a port that the operating system chooses on binding.
const ANY_PORT: &str = "127.0.0.1:0";
/// Time-out for a condition to become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which callers wait.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a configuration with rules for streams from single targets (`/chat/`) and from groups (`/model/`, more urgent: `/urgent/`), for
/// idempotent calls (`/look/`), also only in region `r2` (`/local/`), and for at-most-once calls (`/bill/`).
pub fn config() -> TrafficConfig {
    let rule = |prefix: &str, service: &str, repeat, answer| TrafficRule {
        name: prefix.to_owned(),
        prefix: prefix.to_owned(),
        repeat,
        answer,
        timeout: CALLER_TIMEOUT,
        objective: Duration::from_millis(500),
        priority: 1,
        max_attempts: 2,
        is_public: false,
        allowed_regions: AllowedRegions::default(),
        split: vec![SplitShare {
            service: service.to_owned(),
            weight: 1,
        }],
    };
    let stream = AnswerKind::Events {
        is_resumable: true,
        gap: Duration::from_millis(500),
    };
    let rules = [
        rule("/chat/", SERVICE, RepeatKind::AtMostOnce, stream),
        rule("/model/", GROUP_SERVICE, RepeatKind::AtMostOnce, stream),
        TrafficRule {
            priority: 0,
            objective: Duration::from_secs(2),
            ..rule("/urgent/", GROUP_SERVICE, RepeatKind::AtMostOnce, stream)
        },
        rule("/look/", SERVICE, RepeatKind::Idempotent, AnswerKind::Whole),
        rule("/bill/", SERVICE, RepeatKind::AtMostOnce, AnswerKind::Whole),
    ];
    let local = TrafficRule {
        allowed_regions: AllowedRegions::of(["r2".to_owned()]),
        ..rule(
            "/local/",
            SERVICE,
            RepeatKind::Idempotent,
            AnswerKind::Whole,
        )
    };
    let rules = rules.into_iter().chain([local]).collect();
    let holders = KEYS.map(|(key, organisation)| {
        let holder = KeyHolder {
            organisation: organisation.to_owned(),
            priority: None,
            allowed_regions: AllowedRegions::default(),
        };
        (key.to_owned(), holder)
    });
    let service = |id: &str, engine| {
        let spec = ServiceSpec {
            id: id.to_owned(),
            max_connections: 100,
            warmup: WARMUP,
            engine,
        };
        (id.to_owned(), spec)
    };
    let services = [
        service(SERVICE, None),
        service(GROUP_SERVICE, Some(engine())),
    ];
    TrafficConfig {
        version: 1,
        hosts: [(HOST.to_owned(), rules)].into(),
        services: services.into(),
        keys: Some(holders.into_iter().collect()),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 65_536,
            send_time: Duration::from_secs(1),
            idle_time: Duration::from_secs(15),
        },
    }
}

/// Returns the specification of an engine whose groups have one member each.
fn engine() -> EngineSpec {
    let model = ModelSpec {
        id: MODEL.to_owned(),
        group_size: 1,
        expected_share: 1.0,
        time_factor: 1.0,
        load_time: Duration::from_secs(60),
        warmup: Duration::from_secs(60),
    };
    EngineSpec {
        slots: 8,
        steps_per_pass: 2,
        step_time: Duration::from_millis(5),
        prefill_tokens_per_second: 100_000.0,
        mean_answer_tokens: 20.0,
        loads_per_second: 1.0,
        parallel_loads: 1,
        models: [(MODEL.to_owned(), model)].into(),
        ..EngineSpec::default()
    }
}

/// Returns the entries of targets of a service, in three domains.
pub fn settings(node: &str, zone: &str) -> FleetSettings {
    FleetSettings {
        node: node.to_owned(),
        zone: zone.to_owned(),
        regions: ZONES
            .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
            .into(),
        callers: ANY_PORT.to_owned(),
        health: ANY_PORT.to_owned(),
        peers: ANY_PORT.to_owned(),
        metrics: ANY_PORT.to_owned(),
        store: String::new(),
        link_mbps: 1000,
        limits: ProcessLimits::default(),
        is_first_start: false,
        fails_closed: true,
        key_validity: Duration::from_secs(30),
        retry_ratio: AMPLE_RETRIES.ratio,
        retry_burst: AMPLE_RETRIES.burst.into(),
        retry_window: AMPLE_RETRIES.window,
        grace: GRACE,
        log_level: log::LevelFilter::Info,
        load_control: LoadControl::default(),
    }
}

/// The retry budget of all nodes together.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond that in any window.
    pub burst: u32,
    pub window: Duration,
}

/// Time between the signal to end and the moment by which a node must have ended.
pub const GRACE: Duration = Duration::from_secs(4);

/// More than any test needs whose results do not depend on the retry budget.
pub const AMPLE_RETRIES: RetryLimits = RetryLimits {
    ratio: 20.0,
    burst: 10_000,
    window: Duration::from_secs(10),
};

/// A response as its caller received it.
#[derive(Clone, Debug)]
pub struct TestResponse {
    /// HTTP status; zero if the connection ended without a response.
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the body was received completely.
    pub is_complete: bool,
}

impl TestResponse {
    /// Returns the value of the `Retry-After` header in seconds.
    pub fn retry_after(&self) -> Option<f64> {
        let value = self.headers.get("retry-after")?;
        value.to_str().ok()?.parse().ok()
    }

    pub fn is_served(&self) -> bool {
        self.status == 200 && self.is_complete
    }
}

/// A caller's request, which can be sent repeatedly.
#[derive(Clone, Copy, Debug)]
pub struct TestRequest<'a> {
    pub key: &'a str,
    pub path: &'a str,
    pub body: &'a str,
    /// Parts of the prompt, separated by commas.
    pub parts: &'a str,
}

impl<'a> TestRequest<'a> {
    pub fn chat(body: &'a str) -> Self {
        Self {
            key: KEYS[0].0,
            path: "/chat/x",
            body,
            parts: "",
        }
    }

    pub fn model(body: &'a str) -> Self {
        Self {
            path: "/model/x",
            ..Self::chat(body)
        }
    }
}

/// A node and its link to the platform.
pub struct NodeStub {
    pub link: Arc<PlatformLink>,
    node: Mutex<Option<FleetNode>>,
    zone: ZoneId,
}

impl NodeStub {
    fn lock(&self) -> MutexGuard<'_, Option<FleetNode>> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address of a listener; empty if the node does not run.
    fn address(&self, listener: impl Fn(&FleetSettings) -> &String) -> String {
        let node = self.lock();
        let settings = node.as_ref().map(FleetNode::settings);
        settings
            .map(|settings| listener(settings).clone())
            .unwrap_or_default()
    }
}

/// A fleet of nodes with its platform and targets.
pub struct Fleet {
    pub platform: PlatformStub,
    pub targets: Vec<TargetStub>,
    pub nodes: Vec<NodeStub>,
    client: TargetClient,
    service: &'static str,
    load_control: LoadControl,
    retry_limits: RetryLimits,
    next_attempt: std::sync::atomic::AtomicU64,
}

impl Fleet {
    /// Starts single targets, and one node for each listed zone.
    pub async fn open(targets: usize, zones: &[&str]) -> Self {
        Self::open_of(SERVICE, targets, zones).await
    }

    /// Starts targets that each form a group of one member, and one node for each listed zone.
    pub async fn open_groups(targets: usize, zones: &[&str]) -> Self {
        Self::open_of(GROUP_SERVICE, targets, zones).await
    }

    /// Starts targets of a service, and one node for each listed zone, which handle overload as configured.
    pub async fn open_controlled(
        service: &'static str,
        targets: usize,
        zones: &[&str],
        load_control: LoadControl,
    ) -> Self {
        Self::open_linked(listings_of(service, targets), zones, 0, load_control).await
    }

    async fn open_of(service: &'static str, targets: usize, zones: &[&str]) -> Self {
        Self::open_with(listings_of(service, targets), zones).await
    }

    /// Like [`Fleet::open_groups`], with nodes that share queues.
    pub async fn open_sharing_groups(targets: usize, zones: &[&str]) -> Self {
        let load_control = LoadControl {
            shares_queue: true,
            ..LoadControl::default()
        };
        Self::open_controlled(GROUP_SERVICE, targets, zones, load_control).await
    }

    /// Starts the listed targets, and one node for each listed zone.
    pub async fn open_with(listings: Vec<TargetListing>, zones: &[&str]) -> Self {
        Self::open_linked(listings, zones, 0, LoadControl::default()).await
    }

    /// Starts the listed targets, and one node for each listed zone, whose paths to the targets can be cut.
    pub async fn open_with_paths(listings: Vec<TargetListing>, zones: &[&str]) -> Self {
        Self::open_linked(listings, zones, zones.len(), LoadControl::default()).await
    }

    /// Like [`Fleet::open_with_paths`], but only the first node's paths can be cut; the others reach targets directly.
    pub async fn open_with_first_paths(listings: Vec<TargetListing>, zones: &[&str]) -> Self {
        Self::open_linked(listings, zones, 1, LoadControl::default()).await
    }

    /// Like [`Fleet::open_with_paths`], with a retry budget.
    pub async fn open_with_retry_limits(
        listings: Vec<TargetListing>,
        zones: &[&str],
        retry_limits: RetryLimits,
    ) -> Self {
        let fleet = Self {
            retry_limits,
            ..Self::new(&listings, LoadControl::default())
        };
        fleet.started(listings, zones, zones.len()).await
    }

    /// Changes what passes between all nodes and one target.
    pub fn set_paths_to(&self, target: &TargetStub, state: PathState) {
        for node in &self.nodes {
            node.link.set_path(target.address(), state);
        }
    }

    async fn open_linked(
        listings: Vec<TargetListing>,
        zones: &[&str],
        nodes_with_paths: usize,
        load_control: LoadControl,
    ) -> Self {
        let fleet = Self::new(&listings, load_control);
        fleet.started(listings, zones, nodes_with_paths).await
    }

    /// Starts the targets and nodes of a fleet.
    async fn started(
        mut self,
        listings: Vec<TargetListing>,
        zones: &[&str],
        nodes_with_paths: usize,
    ) -> Self {
        self.start_targets(listings).await;
        self.start_nodes(zones, nodes_with_paths).await;
        self
    }

    /// Returns a fleet for these targets, without any target or node.
    fn new(listings: &[TargetListing], load_control: LoadControl) -> Self {
        Self {
            service: listings.first().map_or(SERVICE, |listing| listing.service),
            targets: Vec::new(),
            nodes: Vec::new(),
            client: TargetClient::new(TargetLimits {
                connect_timeout: Duration::from_secs(2),
                max_idle: 0,
            }),
            next_attempt: Default::default(),
            load_control,
            retry_limits: AMPLE_RETRIES,
            platform: PlatformStub::new(config()),
        }
    }

    async fn start_targets(&mut self, listings: Vec<TargetListing>) {
        for (index, listing) in listings.into_iter().enumerate() {
            let name = format!("t{index}");
            let target = TargetStub::bind(&self.platform, &name, listing).await;
            self.targets.push(target);
        }
    }

    /// Starts one node for each listed zone; the paths of the first ones to the targets can be cut.
    async fn start_nodes(&mut self, zones: &[&str], nodes_with_paths: usize) {
        for zone in zones {
            let link = self.platform.link(&format!("n{}", self.nodes.len()));
            if self.nodes.len() < nodes_with_paths {
                for target in &self.targets {
                    let path = TargetPath::open(target.address()).await;
                    link.add_path(target.address(), path);
                }
            }
            self.nodes.push(NodeStub {
                link,
                node: Mutex::default(),
                zone: (*zone).to_owned(),
            });
        }
        for index in 0..self.nodes.len() {
            self.start(index).await;
        }
        self.wait_until_serving().await;
    }

    /// Starts a node, or restarts it without any state.
    pub async fn start(&self, index: usize) {
        self.start_with(index, self.load_control).await;
    }

    /// Like [`Fleet::start`], with decisions under heavy load.
    pub async fn start_with(&self, index: usize, load_control: LoadControl) {
        let stub = &self.nodes[index];
        self.kill(index);
        let settings = FleetSettings {
            load_control,
            retry_ratio: self.retry_limits.ratio,
            retry_burst: self.retry_limits.burst.into(),
            retry_window: self.retry_limits.window,
            ..settings(&stub.link.node, &stub.zone)
        };
        let platform = stub.link.platform();
        let node = FleetNode::spawn(settings, platform).await;
        *stub.lock() = Some(node.expect("node starts"));
    }

    /// Starts a node that responds to messages for queues as given, and waits until all nodes know it.
    ///
    /// It ranks first for every queue. All nodes have to be in its zone.
    pub async fn add_peer(
        &self,
        respond: impl Fn(&QueueUpdate) -> QueueResponse + Send + Sync + 'static,
    ) -> PeerStub {
        let zone = self.nodes[0].zone.clone();
        let peer = PeerStub::bind(&zone, respond).await;
        for node in &self.nodes {
            let node = node.lock();
            let settings = node.as_ref().map(FleetNode::settings);
            let settings = settings.expect("the node runs");
            peer.add_node(&NodeEntry {
                node: settings.node.clone(),
                zone: settings.zone.clone(),
                address: settings.peers.clone(),
                incarnation: 0,
                link_mbps: settings.link_mbps,
            });
        }
        let platform = self.platform.link(&peer.entry.node).platform();
        let registered = platform.nodes.register(peer.entry.clone()).await;
        registered.expect("the registry is open");
        self.wait_until("all nodes know the peer", || async {
            let states = (0..self.nodes.len())
                .map(|node| self.operator_request(node, Method::GET, "/state"));
            let states = futures::future::join_all(states).await;
            let knows = |state: &TestResponse| state.body.contains("\"node\":\"stub\"");
            states.iter().all(knows)
        })
        .await;
        peer
    }

    /// Registers a node under another incarnation, as an earlier process of it whose clock was ahead would have.
    pub async fn register_as(&self, index: usize, incarnation: Incarnation) {
        let platform = self.nodes[index].link.platform();
        let entry = {
            let node = self.nodes[index].lock();
            let settings = node.as_ref().map(FleetNode::settings);
            let settings = settings.expect("the node runs");
            NodeEntry {
                node: settings.node.clone(),
                zone: settings.zone.clone(),
                address: settings.peers.clone(),
                incarnation,
                link_mbps: settings.link_mbps,
            }
        };
        let registered = platform.nodes.register(entry).await;
        registered.expect("the registry is open");
    }

    /// Changes what passes between a node and all targets.
    pub fn set_paths(&self, node: usize, state: PathState) {
        self.nodes[node].link.set_paths(state);
    }

    /// Stops a node without a shutdown, as if the process were killed.
    pub fn kill(&self, index: usize) {
        *self.nodes[index].lock() = None;
    }

    /// Shuts a node down as a signal would; the returned task completes when it has stopped.
    pub fn shut_down(&self, index: usize) -> tokio::task::JoinHandle<()> {
        let node = self.nodes[index].lock().take().expect("the node runs");
        tokio::spawn(node.shutdown())
    }

    /// Waits until every running node serves requests.
    pub async fn wait_until_serving(&self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].lock().is_none() {
                continue;
            }
            let request = match self.service {
                GROUP_SERVICE => TestRequest::model("hello"),
                _ => TestRequest::chat("hello"),
            };
            self.wait_until_served(index, request).await;
        }
    }

    /// Waits until a node serves a request, which is sent again and again.
    pub async fn wait_until_served(&self, node: usize, request: TestRequest<'_>) {
        self.wait_until("a node serves", || async {
            self.request(node, request).await.is_served()
        })
        .await;
    }

    /// Waits until a condition is true; `what` describes it in the message of a time-out.
    pub async fn wait_until<F, Fut>(&self, what: &str, condition: F)
    where
        F: Fn() -> Fut,
        Fut: std::future::Future<Output = bool>,
    {
        let end = Instant::now() + CONDITION_TIMEOUT;
        while !condition().await {
            assert!(Instant::now() < end, "timed out waiting until {what}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a request to a node, with a new attempt id.
    pub async fn request(&self, node: usize, test_request: TestRequest<'_>) -> TestResponse {
        let address = self.nodes[node].address(|settings| &settings.callers);
        let attempt = self
            .next_attempt
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let mut request = request(Method::POST, test_request.path, test_request.body);
        let headers = [
            ("key", test_request.key),
            ("attempt", &format!("a{attempt}")),
            ("model", MODEL),
            ("parts", test_request.parts),
        ];
        for (name, value) in headers {
            let value = HeaderValue::from_str(value).expect("valid header value");
            request.headers_mut().insert(name, value);
        }
        self.send(&address, request).await
    }

    /// Sends a request as an HTTP/1.0 caller, which reads until the connection is closed; returns how the connection
    /// ended and what was received.
    pub async fn request_1_0(
        &self,
        node: usize,
        TestRequest {
            key, path, body, ..
        }: TestRequest<'_>,
    ) -> (std::io::Result<usize>, String) {
        let address = self.nodes[node].address(|settings| &settings.callers);
        let mut stream = TcpStream::connect(address).await.expect("a node");
        let length = body.len();
        let request = format!("POST {path} HTTP/1.0\r\nhost: {HOST}\r\nkey: {key}\r\nattempt: old\r\nmodel: {MODEL}\r\ncontent-length: {length}\r\n\r\n{body}");
        let sent = stream.write_all(request.as_bytes()).await;
        sent.expect("the node reads");
        let mut bytes = Vec::new();
        let result = stream.read_to_end(&mut bytes).await;
        (result, String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Sends a request to a node's listener for metrics and operators.
    pub async fn operator_request(&self, node: usize, method: Method, path: &str) -> TestResponse {
        let address = self.nodes[node].address(|settings| &settings.metrics);
        self.send(&address, request(method, path, "")).await
    }

    /// Returns the sum of a node's metrics with this name whose labels contain `label`.
    pub async fn metric(&self, node: usize, name: &str, label: &str) -> f64 {
        let page = self.operator_request(node, Method::GET, "/metrics").await;
        let is_meant = |line: &&str| line.starts_with(name) && line.contains(label);
        let lines = page.body.lines().filter(is_meant);
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    }

    /// Forwards a request to a node as another node would.
    pub async fn forward(&self, node: usize, forward: ForwardRequest) -> TestResponse {
        let address = self.nodes[node].address(|settings| &settings.peers);
        let bytes = encode_msgpack(&ForwardDoc::from(forward)).expect("a valid document");
        let mut request = request(Method::POST, FORWARD_PATH, "");
        *request.body_mut() = full_body(bytes);
        self.send(&address, request).await
    }

    async fn send(
        &self,
        address: &str,
        request: http::Request<http_body_util::Full<Bytes>>,
    ) -> TestResponse {
        let target = TargetAddress {
            address: address.to_owned(),
            incarnation: 0,
        };
        let Ok(response) = self.client.send(&target, request, true).await else {
            return TestResponse {
                status: 0,
                headers: HeaderMap::new(),
                body: String::new(),
                is_complete: false,
            };
        };
        let mut body = response.body;
        let mut text = String::new();
        let is_complete = loop {
            match body.next().await {
                Ok(BodyPart::Chunk(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
                Ok(BodyPart::End(end)) => break end == BodyEnd::Marked,
                Err(_) => break false,
            }
        };
        TestResponse {
            status: response.head.status.as_u16(),
            headers: response.head.headers,
            body: text,
            is_complete,
        }
    }
}

pub fn listings_of(service: &'static str, targets: usize) -> Vec<TargetListing> {
    let listings = (0..targets).map(|index| TargetListing {
        service,
        domain: format!("d{}", index % 3),
        ..TargetListing::default()
    });
    listings.collect()
}

fn request(method: Method, path: &str, body: &str) -> http::Request<http_body_util::Full<Bytes>> {
    let mut request = http::Request::new(full_body(Bytes::from(body.to_owned())));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().expect("valid path");
    let host = HeaderValue::from_static(HOST);
    request.headers_mut().insert("host", host);
    request
}
