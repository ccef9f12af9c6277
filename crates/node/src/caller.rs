//! HTTP API for callers: authenticates, validates and routes requests.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use briarswitch_core::fingerprint::{FingerprintParts, SuspectFingerprint};
use briarswitch_core::minted_key::MintedKey;
use briarswitch_core::prefix::PrefixChain;
use briarswitch_core::prelude::*;
use briarswitch_core::rule::first_match;
use briarswitch_core::run_suspects::RunSuspects;
use briarswitch_core::stream::json_depth;
use briarswitch_http::{read_body, reply_json, Body, BodyError, Handler, Request, Response};
use briarswitch_kernel::BootClock;
use briarswitch_wire::caller::{
    MintReply, DEADLINE_HEADER, KEY_HEADER, MINT_PATH, NODE_HEADER, SERVICE_PREFIX,
};
use briarswitch_wire::engine::{ChatDoc, CHAT_PATH};
use briarswitch_wire::peer::FORWARD_HOP_HEADER;
use bytes::Bytes;
use futures::future::BoxFuture;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, StatusCode};

use crate::admission::AdmissionRequest;
use crate::attempt::TargetRequest;
use crate::auth::{bearer, key_hash};
use crate::dispatch::{MatchedRequest, RequestDispatcher};
use crate::forward::RequestForwarder;
use crate::headers::{
    forwarded_headers, parse_idempotency_key, parse_repeatable, percent_bucket, request_id,
};
use crate::in_flight::InFlightGuard;
use crate::reply::{bad_request, mark_reply, set_header, CallerFailure};
use crate::shared::{ConfigView, NodeShared, Phase};

/// Assumed cost of a chat request without `max_tokens`.
const DEFAULT_TOKENS: u64 = 256;
/// Retry delay given to a caller whose request this node cannot take at the moment.
const UNAVAILABLE_RETRY: Duration = Duration::from_millis(100);

/// Handler for requests from callers.
pub struct CallerApi {
    shared: Arc<NodeShared>,
    dispatcher: Arc<RequestDispatcher>,
    forwarder: RequestForwarder,
}

/// A parsed request: a chat completion, or a call to a plain service.
enum ParsedRequest {
    Chat(ChatDoc),
    Service { name: String, path: String },
}

impl ParsedRequest {
    fn name(&self) -> &str {
        match self {
            Self::Chat(chat) => &chat.model,
            Self::Service { name, .. } => name,
        }
    }
}

impl CallerApi {
    /// Creates the handler.
    pub fn new(shared: Arc<NodeShared>, dispatcher: Arc<RequestDispatcher>) -> Arc<Self> {
        Arc::new(Self {
            forwarder: RequestForwarder::new(Arc::clone(&shared)),
            shared,
            dispatcher,
        })
    }

    async fn answer(&self, request: Request) -> Response {
        let mut response = self.run(request).await;
        if self.shared.phase() != Phase::Running {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn run(&self, request: Request) -> Response {
        let (head, body) = request.into_parts();
        let id = request_id(&head.headers);
        if self.shared.phase() == Phase::Draining {
            let failure = unavailable("draining", "this node is shutting down");
            return self.refuse(&failure, &id);
        }
        if let Some(key) = self.other_incarnation_key(&head.headers) {
            let forwarding = self.forwarder.forward(key, head, body, &id);
            return match self.wait_for_peer(&id, forwarding).await {
                Ok(response) | Err(response) => response,
            };
        }
        if head.uri.path() == MINT_PATH {
            return self.mint(&head.headers, &id);
        }
        let body = if self.should_forward(&head) {
            let forwarding = self.forward_to_any(&head, body, &id);
            match self.wait_for_peer(&id, forwarding).await {
                Ok(Err(body)) => body,
                Ok(Ok(response)) | Err(response) => return response,
            }
        } else {
            body
        };
        let matched = self.accept(head, body, &id).await;
        match matched {
            Ok(matched) => self.dispatcher.run(matched).await,
            Err(failure) => self.refuse(&failure, &id),
        }
    }

    /// Returns whether a request is for another node to run, because this one reaches no target.
    ///
    /// One with a key that this node has minted may run here alone.
    fn should_forward(&self, head: &Parts) -> bool {
        let key = head.headers.get(KEY_HEADER);
        let key = key.and_then(|key| MintedKey::parse(key.to_str().ok()?));
        let is_forwarded = head.headers.contains_key(FORWARD_HOP_HEADER);
        key.is_none() && !is_forwarded && self.shared.reach.is_partitioned()
    }

    /// Waits for the response of another node, unless this one has to exit before.
    ///
    /// The request counts as in flight meanwhile.
    ///
    /// # Errors
    ///
    /// Returns the reply for the caller if there is no other response.
    async fn wait_for_peer<T>(
        &self,
        id: &str,
        forwarding: impl Future<Output = T>,
    ) -> Result<T, Response> {
        let Some(_in_flight) = InFlightGuard::acquire(&self.shared) else {
            let failure = unavailable("overloaded", "too many requests are in flight");
            return Err(self.refuse(&failure, id));
        };
        tokio::select! {
            biased;
            forwarded = forwarding => Ok(forwarded),
            () = self.shared.exit.answers_due() => {
                Err(self.refuse(&CallerFailure::at(FailurePoint::AnswerDeadline), id))
            }
        }
    }

    /// Forwards a request; returns its body if no node took it.
    async fn forward_to_any(&self, head: &Parts, body: Body, id: &str) -> Result<Response, Body> {
        let bytes = match self.read_request_body(body).await {
            Ok(bytes) => bytes,
            Err(failure) => return Ok(self.refuse(&failure, id)),
        };
        let forwarded = self.forwarder.forward_to_any(head, &bytes, id).await;
        forwarded.ok_or_else(|| Body::from(bytes))
    }

    /// Replies to a request that is not accepted.
    fn refuse(&self, failure: &CallerFailure, id: &str) -> Response {
        log::info!(
            request = id,
            code = failure.code.unwrap_or(failure.point.code()),
            status = failure.status.as_u16();
            "request_refused"
        );
        let mut reply = failure.reply();
        mark_reply(&mut reply, id, &self.shared.settings.node, "");
        reply
    }

    /// Returns the request's idempotency key if it was minted by another node, or by an earlier
    /// incarnation of this one.
    fn other_incarnation_key(&self, headers: &HeaderMap) -> Option<MintedKey> {
        let text = headers.get(KEY_HEADER)?.to_str().ok()?;
        let key = MintedKey::parse(text)?;
        let is_own =
            key.node == self.shared.settings.node && key.incarnation == self.shared.incarnation;
        (!is_own).then_some(key)
    }

    fn mint(&self, headers: &HeaderMap, id: &str) -> Response {
        let config = self.shared.config.load();
        let minted = identify(&config, headers).and_then(|organisation| {
            let key = self.dispatcher.mint(&organisation);
            key.ok_or_else(|| unavailable("overloaded", "too many keys are out"))
        });
        let mut reply = match minted {
            Ok(key) => {
                let key = key.to_string();
                reply_json(StatusCode::OK, &MintReply { key })
            }
            Err(failure) => failure.reply(),
        };
        mark_reply(&mut reply, id, &self.shared.settings.node, "");
        reply
    }

    async fn accept(
        &self,
        head: Parts,
        body: Body,
        id: &str,
    ) -> Result<MatchedRequest, CallerFailure> {
        let config = self.shared.config.load();
        if config.floor.is_none() {
            return Err(unavailable("not_ready", "no configuration is known yet"));
        }
        let Some(in_flight) = InFlightGuard::acquire(&self.shared) else {
            return Err(unavailable("overloaded", "too many requests are in flight"));
        };
        self.check_headers(&head.headers)?;
        let organisation = identify(&config, &head.headers)?;
        let bytes = self.read_request_body(body).await?;
        let parsed = self.parse(&head, &bytes)?;
        self.match_rules(MatchInput {
            config: &config,
            organisation,
            parsed,
            head: &head,
            bytes,
            id,
            in_flight,
        })
    }

    fn check_headers(&self, headers: &HeaderMap) -> Result<(), CallerFailure> {
        let limits = self.shared.settings.requests;
        let sizes = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len());
        let is_within =
            headers.len() <= limits.headers && sizes.sum::<usize>() <= limits.header_bytes;
        if is_within {
            return Ok(());
        }
        Err(CallerFailure::refused(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "headers_too_large",
            format!(
                "expected at most {} headers and {} bytes of them",
                limits.headers, limits.header_bytes
            ),
        ))
    }

    async fn read_request_body(&self, body: Body) -> Result<Bytes, CallerFailure> {
        let limits = self.shared.settings.requests;
        let read = read_body(body, limits.body_bytes);
        match tokio::time::timeout(limits.body_timeout, read).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(BodyError::TooLarge { limit })) => Err(CallerFailure::refused(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
                format!("the body is larger than {limit} bytes"),
            )),
            Ok(Err(BodyError::Incomplete)) => {
                Err(bad_request("body_broken", "the body ended too early"))
            }
            Ok(Err(BodyError::NoRoom(_))) => Err(unavailable(
                "overloaded",
                "this node holds as many bodies as it may",
            )),
            Err(_) => Err(CallerFailure::refused(
                StatusCode::REQUEST_TIMEOUT,
                "body_timeout",
                "the body did not arrive in time",
            )),
        }
    }

    fn parse(&self, head: &Parts, bytes: &Bytes) -> Result<ParsedRequest, CallerFailure> {
        let path = head.uri.path();
        if let Some(rest) = path.strip_prefix(SERVICE_PREFIX) {
            let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
            let query = head.uri.query().map(|query| format!("?{query}"));
            return Ok(ParsedRequest::Service {
                name: name.to_owned(),
                path: format!("/{rest}{}", query.unwrap_or_default()),
            });
        }
        if path != CHAT_PATH {
            return Err(CallerFailure::refused(
                StatusCode::NOT_FOUND,
                "unknown_path",
                format!("expected {CHAT_PATH} or {SERVICE_PREFIX}NAME/..."),
            ));
        }
        if head.method != Method::POST {
            return Err(CallerFailure::refused(
                StatusCode::METHOD_NOT_ALLOWED,
                "method",
                "expected POST",
            ));
        }
        let limit = self.shared.settings.requests.json_depth;
        if json_depth(bytes) > limit {
            let message = format!("the JSON nests deeper than {limit}");
            return Err(bad_request("too_deep", message));
        }
        serde_json::from_slice(bytes)
            .map(ParsedRequest::Chat)
            .map_err(|error| bad_request("bad_json", format!("not a chat request: {error}")))
    }

    fn match_rules(&self, input: MatchInput<'_>) -> Result<MatchedRequest, CallerFailure> {
        let facts = self.request_facts(&input);
        let rule = first_match(input.config.config.rules(), &facts);
        let (name, priority) = match rule.map(|rule| &rule.then) {
            Some(RuleAction::Route {
                deployment,
                priority,
            }) => (deployment, *priority),
            Some(RuleAction::Reject { message }) => {
                return Err(CallerFailure::refused(
                    StatusCode::FORBIDDEN,
                    "rejected",
                    message.clone(),
                ));
            }
            None => {
                return Err(CallerFailure::refused(
                    StatusCode::NOT_FOUND,
                    "no_rule",
                    format!("no rule takes a request for {}", facts.asked),
                ));
            }
        };
        let deployment = input.config.config.deployments().get(name).ok_or_else(|| {
            CallerFailure::refused(
                StatusCode::NOT_FOUND,
                "no_deployment",
                format!("there is no deployment {name}"),
            )
        })?;
        self.build_matched(input, deployment, priority.unwrap_or(deployment.priority))
    }

    fn request_facts(&self, input: &MatchInput<'_>) -> RequestFacts {
        let headers = input.head.headers.iter().filter_map(|(name, value)| {
            let text = value.to_str().ok()?;
            Some((name.as_str().to_owned(), text.to_owned()))
        });
        RequestFacts {
            organisation: input.organisation.clone(),
            asked: input.parsed.name().to_owned(),
            headers: headers.collect(),
            body_bytes: input.bytes.len() as u64,
            zone: self.shared.settings.zone.clone(),
            minute_of_day: minute_of_day(),
            draw: percent_bucket(&input.organisation, &input.head.headers),
        }
    }

    fn build_matched(
        &self,
        input: MatchInput<'_>,
        deployment: &Deployment,
        priority: u8,
    ) -> Result<MatchedRequest, CallerFailure> {
        let now = BootClock::now();
        let deadline = now + self.deadline(&input.head.headers)?;
        let deadline = self.shared.exit.bound(deadline);
        let key = parse_idempotency_key(&input.head.headers)?;
        let is_chat = matches!(input.parsed, ParsedRequest::Chat(_));
        let is_repeatable =
            parse_repeatable(&input.head.headers)?.unwrap_or(is_chat && key.is_none());
        let organisation = input.config.config.organisations().get(&input.organisation);
        let name = input.parsed.name().to_owned();
        let mut parts = Vec::new();
        let (path, is_stream, tokens, chain) = match input.parsed {
            ParsedRequest::Chat(chat) => {
                let tokens = chat.max_tokens.map_or(DEFAULT_TOKENS, u64::from);
                let prompt = prompt_of(&chat);
                parts = part_fingerprints(&chat);
                let chain = PrefixChain::of(prompt.as_bytes());
                (CHAT_PATH.to_owned(), chat.stream, tokens, chain)
            }
            ParsedRequest::Service { path, .. } => (path, false, 1, PrefixChain::default()),
        };
        let fingerprint = SuspectFingerprint::of(&FingerprintParts {
            caller: &input.organisation,
            method: input.head.method.as_str(),
            host: &name,
            path: &path,
            body: &input.bytes,
        });
        Ok(MatchedRequest {
            suspects: RunSuspects::new(fingerprint, parts.into_iter()),
            admission: AdmissionRequest {
                deployment: deployment.id.clone(),
                organisation: input.organisation,
                weight: organisation.map_or(1, |organisation| organisation.weight),
                priority,
                tokens,
                chain,
                deadline,
                target_in_flight: deployment.target_in_flight,
            },
            outgoing: TargetRequest {
                method: input.head.method.clone(),
                path,
                headers: forwarded_headers(&input.head.headers),
                body: input.bytes,
                is_repeatable,
                must_echo: is_chat,
                priority,
                deadline,
            },
            key,
            is_stream,
            request: input.id.to_owned(),
            in_flight: input.in_flight,
        })
    }

    fn deadline(&self, headers: &HeaderMap) -> Result<Duration, CallerFailure> {
        let limits = self.shared.settings.requests;
        let Some(value) = headers.get(DEADLINE_HEADER) else {
            return Ok(limits.default_deadline);
        };
        let millis = value
            .to_str()
            .ok()
            .and_then(|text| text.parse::<u64>().ok());
        match millis {
            Some(millis) if millis > 0 => {
                Ok(Duration::from_millis(millis).min(limits.longest_deadline))
            }
            _ => Err(bad_request(
                "bad_deadline",
                format!("{DEADLINE_HEADER} takes a whole number of milliseconds above 0"),
            )),
        }
    }
}

impl Handler for CallerApi {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(request))
    }

    fn after_panic(&self) -> Response {
        let mut reply = CallerFailure::after_panic().reply();
        set_header(&mut reply, NODE_HEADER, &self.shared.settings.node);
        reply
    }
}

/// Input of rule matching.
struct MatchInput<'a> {
    config: &'a ConfigView,
    organisation: OrganisationId,
    parsed: ParsedRequest,
    head: &'a Parts,
    bytes: Bytes,
    id: &'a str,
    in_flight: InFlightGuard,
}

fn identify(config: &ConfigView, headers: &HeaderMap) -> Result<OrganisationId, CallerFailure> {
    let known = bearer(headers).and_then(|key| config.keys.get(&key_hash(key)));
    known.cloned().ok_or_else(|| {
        CallerFailure::refused(
            StatusCode::UNAUTHORIZED,
            "unknown_key",
            "expected the key of an organisation as a bearer credential",
        )
    })
}

fn unavailable(code: &'static str, message: &str) -> CallerFailure {
    CallerFailure::refused(StatusCode::SERVICE_UNAVAILABLE, code, message)
        .retry_after(UNAVAILABLE_RETRY)
}

fn prompt_of(chat: &ChatDoc) -> String {
    let parts = chat.messages.iter().map(|message| message.content.as_str());
    parts.collect()
}

/// Returns the fingerprints of all messages but the last, which belongs to the request itself.
fn part_fingerprints(chat: &ChatDoc) -> Vec<SuspectFingerprint> {
    let shared = chat
        .messages
        .split_last()
        .map_or(&[][..], |(_, shared)| shared);
    let contents = shared.iter().map(|message| message.content.as_str());
    contents.map(SuspectFingerprint::of_part).collect()
}

/// Returns the current minute of the day, in UTC.
pub fn minute_of_day() -> u16 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let minutes = since.unwrap_or_default().as_secs() / 60 % 1440;
    u16::try_from(minutes).unwrap_or(0)
}
