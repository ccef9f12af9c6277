//! Operator API: configuration edits, status, plan, usage and state dumps.

use std::sync::Arc;

use briarswitch_core::prelude::*;
use briarswitch_http::{read_body, reply_json, reply_text, Handler, Request, Response};
use briarswitch_kernel::{BootClock, Kernel};
use briarswitch_wire::config::{EntryDoc, RuleDoc};
use briarswitch_wire::operator::{
    ConfigReply, ControllerStatus, EditRequest, GroupStatus, NodeVersion, PassedRule, StatusReply,
    TryReply, TryRequest, UsageRow,
};
use briarswitch_wire::peer::GroupStateDoc;
use briarswitch_wire::platform::{ReadRequest, UsageBatchDoc};
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, StatusCode};
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde_json::{json, Value};

use crate::auth::is_bearer;
use crate::config::{parse_row, ConfigMessage, CONFIG_SERVICE};
use crate::dispatch::RequestDispatcher;
use crate::editor::ConfigEditor;
use crate::row_keys::usage_prefix;
use crate::shared::NodeShared;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// HTTP handler of the operator API.
pub struct OperatorApi {
    shared: Arc<NodeShared>,
    kernel: Kernel,
    editor: ConfigEditor,
    dispatcher: Arc<RequestDispatcher>,
}

impl OperatorApi {
    /// Creates the handler.
    pub fn new(
        shared: Arc<NodeShared>,
        kernel: Kernel,
        dispatcher: Arc<RequestDispatcher>,
    ) -> Arc<Self> {
        Arc::new(Self {
            editor: ConfigEditor::new(Arc::clone(&shared)),
            shared,
            kernel,
            dispatcher,
        })
    }

    async fn respond(&self, request: Request) -> Response {
        let (head, body) = request.into_parts();
        if !is_bearer(&head.headers, &self.shared.settings.operator_token) {
            return reply_text(StatusCode::UNAUTHORIZED, "unknown operator credential");
        }
        let Ok(bytes) = read_body(body, MAX_BODY_BYTES).await else {
            return reply_text(StatusCode::BAD_REQUEST, "unreadable body");
        };
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/v1/config") => reply_json(StatusCode::OK, &self.config()),
            (&Method::POST, "/v1/edit") => self.edit(&bytes).await,
            (&Method::POST, "/v1/settle") => self.settle(&bytes).await,
            (&Method::POST, "/v1/rules/try") => self.try_rules(&bytes),
            (&Method::GET, "/v1/status") => reply_json(StatusCode::OK, &self.status()),
            (&Method::GET, "/v1/plan") => reply_json(StatusCode::OK, &self.plan()),
            (&Method::GET, "/v1/usage") => self.usage().await,
            (&Method::GET, "/v1/dump") => reply_json(StatusCode::OK, &self.dump().await),
            (&Method::POST, "/v1/log-level") => set_log_level(&bytes),
            _ => reply_text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn config(&self) -> ConfigReply {
        let config = self.shared.config.load();
        let entries = config.config.entries();
        ConfigReply {
            version: config.config.version(),
            entries: entries.into_iter().map(EntryDoc::from).collect(),
        }
    }

    async fn edit(&self, bytes: &Bytes) -> Response {
        let request = match parse::<EditRequest>(bytes) {
            Ok(request) => request,
            Err(reply) => return *reply,
        };
        let (kind, id) = (request.kind.name(), request.id.clone());
        let (reply, entry) = self.editor.edit(request).await;
        log::info!(kind = kind, id = id.as_str(), answer:? = reply; "config_edit");
        if let (Some(entry), Some(config)) = (entry, self.kernel.find(CONFIG_SERVICE)) {
            let _ = config.post(ConfigMessage::Received {
                entries: vec![entry],
                snapshot: None,
            });
        }
        reply_json(StatusCode::OK, &reply)
    }

    async fn settle(&self, bytes: &Bytes) -> Response {
        match parse::<String>(bytes) {
            Ok(write) => reply_json(StatusCode::OK, &self.editor.settle(&write).await),
            Err(reply) => *reply,
        }
    }

    fn try_rules(&self, bytes: &Bytes) -> Response {
        let request = match parse::<TryRequest>(bytes) {
            Ok(request) => request,
            Err(reply) => return *reply,
        };
        let config = self.shared.config.load();
        let facts = self.request_facts(request);
        let mut passed_over = Vec::new();
        let mut found = None;
        for rule in config.config.rules() {
            match rule.when.first_mismatch(&facts) {
                Some(failing) => passed_over.push(PassedRule {
                    rule: rule.name.clone(),
                    failing: failing.to_owned(),
                }),
                None => {
                    found = Some(RuleDoc::from(rule.clone()));
                    break;
                }
            }
        }
        let reply = TryReply {
            version: config.config.version(),
            rule: found.as_ref().map(|rule| rule.name.clone()),
            then: found.map(|rule| rule.then),
            passed_over,
        };
        reply_json(StatusCode::OK, &reply)
    }

    fn request_facts(&self, request: TryRequest) -> RequestFacts {
        let headers = request
            .headers
            .into_iter()
            .map(|header| (header.name.to_lowercase(), header.value));
        RequestFacts {
            organisation: request.organisation,
            asked: request.asked,
            headers: headers.collect(),
            body_bytes: request.body_bytes,
            zone: request
                .zone
                .unwrap_or_else(|| self.shared.settings.zone.clone()),
            minute_of_day: request
                .minute_of_day
                .unwrap_or_else(crate::caller::minute_of_day),
            draw: request.draw,
        }
    }

    fn status(&self) -> StatusReply {
        let now = BootClock::now();
        let settings = &self.shared.settings;
        let control = self.shared.control.load();
        let mut versions = vec![NodeVersion {
            node: settings.node.clone(),
            version: self.shared.config.read().config.version(),
            heard_ms: 0,
        }];
        versions.extend(self.shared.roster.read().iter().map(|(node, peer)| {
            let heard = now.saturating_sub(peer.last_heard).as_millis();
            NodeVersion {
                node: node.clone(),
                version: peer.config,
                heard_ms: u64::try_from(heard).unwrap_or(u64::MAX),
            }
        }));
        StatusReply {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            versions,
            groups: self.group_statuses(now),
            controller: control.record.as_ref().map(|record| ControllerStatus {
                holder: record.holder.clone(),
                epoch: record.epoch,
            }),
            stranded_accelerators: control.stranded,
            group_downtime_s: control.downtime.as_secs_f64(),
        }
    }

    fn group_statuses(&self, now: Moment) -> Vec<GroupStatus> {
        let views = self.shared.views.load();
        let routes = self.shared.routes.load();
        let groups = views
            .values()
            .flat_map(|view| view.groups.values().map(move |group| (&view.zone, group)));
        groups
            .map(|(zone, group)| GroupStatus {
                group: group.id.clone(),
                deployment: group.deployment.clone(),
                zone: zone.clone(),
                generation: group.generation,
                state: GroupStateDoc::from(group.state).name().to_owned(),
                members: group
                    .members
                    .iter()
                    .map(|member| member.vm.clone())
                    .collect(),
                is_routable: routes.is_routable(&group.id, now),
            })
            .collect()
    }

    fn plan(&self) -> Value {
        let control = self.shared.control.load();
        json!({
            "zone": self.shared.settings.zone,
            "is_controller": control.epoch.is_some(),
            "controller": control.record.as_ref().map(|record| &record.holder),
            "steps": control.plan,
        })
    }

    async fn usage(&self) -> Response {
        let request = ReadRequest {
            keys: Vec::new(),
            prefixes: vec![usage_prefix()],
        };
        let Ok(reply) = self.shared.platform.table.read(request).await else {
            return reply_text(StatusCode::SERVICE_UNAVAILABLE, "the table gives no answer");
        };
        let mut totals: IndexMap<OrganisationId, UsageRow> = IndexMap::new();
        let batches = reply
            .rows
            .iter()
            .filter_map(|row| parse_row::<UsageBatchDoc>(&row.value));
        for row in batches.flat_map(|batch| batch.rows) {
            let total = totals.entry(row.organisation.clone()).or_insert(UsageRow {
                organisation: row.organisation,
                requests: 0,
                tokens: 0,
            });
            total.requests += row.requests;
            total.tokens += row.tokens;
        }
        let rows: Vec<UsageRow> = totals.into_values().collect();
        reply_json(StatusCode::OK, &rows)
    }

    async fn dump(&self) -> Value {
        let services = self.kernel.dump().await;
        let queues: Vec<Value> = self
            .dispatcher
            .loads()
            .into_iter()
            .map(|(deployment, queued, in_flight)| {
                json!({"deployment": deployment, "queued": queued, "in_flight": in_flight})
            })
            .collect();
        json!({
            "node": self.shared.settings.node,
            "zone": self.shared.settings.zone,
            "incarnation": self.shared.incarnation,
            "ready": self.shared.is_ready(),
            "in_flight": self.shared.in_flight.load(std::sync::atomic::Ordering::SeqCst),
            "peer_bytes": self.shared.metrics.peer_bytes(),
            "traffic": queues,
            "services": services,
        })
    }
}

impl Handler for OperatorApi {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.respond(request))
    }
}

fn parse<T: DeserializeOwned>(bytes: &Bytes) -> Result<T, Box<Response>> {
    serde_json::from_slice(bytes)
        .map_err(|error| Box::new(reply_text(StatusCode::BAD_REQUEST, error.to_string())))
}

fn set_log_level(bytes: &Bytes) -> Response {
    let level = parse::<String>(bytes).map(|text| text.parse::<log::LevelFilter>());
    match level {
        Ok(Ok(level)) => {
            log::set_max_level(level);
            reply_json(StatusCode::OK, &level.to_string())
        }
        Ok(Err(_)) => reply_text(
            StatusCode::BAD_REQUEST,
            "expected one of off, error, warn, info, debug, trace",
        ),
        Err(reply) => *reply,
    }
}
