//! The listener for callers: identifies, checks and matches requests.

use briarswitch_core::fingerprint::FingerprintParts;
use briarswitch_core::fingerprint::RequestFingerprint;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use briarswitch_core::minted_key::MintedKey;
use briarswitch_core::prefix::PrefixChain;
use briarswitch_core::prelude::*;
use briarswitch_core::rule::first_match;
use briarswitch_core::stream::json_depth;
use briarswitch_http::{read_body, reply_json, Body, BodyError, Handler, Request, Response};
use briarswitch_kernel::BootClock;
use briarswitch_wire::caller::{MintReply, DEADLINE_HEADER, KEY_HEADER, MINT_PATH, SERVICE_PREFIX};
use briarswitch_wire::engine::{ChatDoc, CHAT_PATH};
use bytes::Bytes;
use futures::future::BoxFuture;
use http::request::Parts;
use http::{HeaderMap, Method, StatusCode};

use crate::attempt::TargetAsk;
use crate::auth::{bearer, key_hash};
use crate::dispatch::{MatchedRequest, RequestDispatcher};
use crate::flight::FlightGuard;
use crate::forward::KeyForwarder;
use crate::gate::AdmitAsk;
use crate::headers::{draw_of, passed_headers, read_key, read_repeatable, request_id};
use crate::reply::{bad_request, mark_reply, CallerFailure};
use crate::shared::{ConfigView, NodeShared, Phase};

/// Tokens a request is taken to cost when it does not say.
const DEFAULT_TOKENS: u64 = 256;
/// Time after which a caller of a node that is going away should try another.
const LEAVING_RETRY: Duration = Duration::from_millis(100);

/// Answers callers.
pub struct CallerSurface {
    shared: Arc<NodeShared>,
    dispatcher: Arc<RequestDispatcher>,
    forwarder: KeyForwarder,
}

/// What a path asks for.
enum Asked {
    Chat(ChatDoc),
    Service { name: String, path: String },
}

impl Asked {
    fn name(&self) -> &str {
        match self {
            Self::Chat(chat) => &chat.model,
            Self::Service { name, .. } => name,
        }
    }
}

impl CallerSurface {
    /// Opens the surface.
    pub fn open(shared: Arc<NodeShared>, dispatcher: Arc<RequestDispatcher>) -> Arc<Self> {
        Arc::new(Self {
            forwarder: KeyForwarder::open(Arc::clone(&shared)),
            shared,
            dispatcher,
        })
    }

    async fn answer(&self, request: Request) -> Response {
        let (head, body) = request.into_parts();
        let id = request_id(&head.headers);
        if let Some(key) = self.foreign_key(&head.headers) {
            return self.forwarder.forward(key, head, body, &id).await;
        }
        if head.uri.path() == MINT_PATH {
            return self.mint(&head.headers, &id);
        }
        let matched = self.accept(head, body, &id).await;
        match matched {
            Ok(matched) => self.dispatcher.run(matched).await,
            Err(failure) => {
                log::info!(
                    request = id.as_str(),
                    code = failure.code.unwrap_or(failure.point.code()),
                    status = failure.status.as_u16();
                    "request_refused"
                );
                let mut reply = failure.reply();
                mark_reply(&mut reply, &id, &self.shared.settings.node, "");
                reply
            }
        }
    }

    /// Returns the request's key if another life of a node minted it.
    fn foreign_key(&self, headers: &HeaderMap) -> Option<MintedKey> {
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
        if self.shared.phase() == Phase::Draining {
            return Err(unavailable("draining", "this node is shutting down"));
        }
        let config = self.shared.config.load();
        if config.floor.is_none() {
            return Err(unavailable("not_ready", "no configuration is known yet"));
        }
        let Some(flight) = FlightGuard::open(&self.shared) else {
            return Err(unavailable("overloaded", "too many requests are in flight"));
        };
        self.check_headers(&head.headers)?;
        let organisation = identify(&config, &head.headers)?;
        let bytes = self.read(body).await?;
        let asked = self.parse(&head, &bytes)?;
        self.match_rules(MatchInput {
            config: &config,
            organisation,
            asked,
            head: &head,
            bytes,
            id,
            flight,
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

    async fn read(&self, body: Body) -> Result<Bytes, CallerFailure> {
        let limits = self.shared.settings.requests;
        let reading = read_body(body, limits.body_bytes);
        match tokio::time::timeout(limits.body_timeout, reading).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(BodyError::TooLarge { limit })) => Err(CallerFailure::refused(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
                format!("the body is larger than {limit} bytes"),
            )),
            Ok(Err(BodyError::Incomplete)) => {
                Err(bad_request("body_broken", "the body ended too early"))
            }
            Err(_) => Err(CallerFailure::refused(
                StatusCode::REQUEST_TIMEOUT,
                "body_timeout",
                "the body did not arrive in time",
            )),
        }
    }

    fn parse(&self, head: &Parts, bytes: &Bytes) -> Result<Asked, CallerFailure> {
        let path = head.uri.path();
        if let Some(rest) = path.strip_prefix(SERVICE_PREFIX) {
            let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
            let query = head.uri.query().map(|query| format!("?{query}"));
            return Ok(Asked::Service {
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
            .map(Asked::Chat)
            .map_err(|error| bad_request("bad_json", format!("not a chat request: {error}")))
    }

    fn match_rules(&self, input: MatchInput<'_>) -> Result<MatchedRequest, CallerFailure> {
        let facts = self.facts(&input);
        let rule = first_match(input.config.book.rules(), &facts);
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
        let deployment = input.config.book.deployments().get(name).ok_or_else(|| {
            CallerFailure::refused(
                StatusCode::NOT_FOUND,
                "no_deployment",
                format!("there is no deployment {name}"),
            )
        })?;
        self.build(input, deployment, priority.unwrap_or(deployment.priority))
    }

    fn facts(&self, input: &MatchInput<'_>) -> RequestFacts {
        let headers = input.head.headers.iter().filter_map(|(name, value)| {
            let text = value.to_str().ok()?;
            Some((name.as_str().to_owned(), text.to_owned()))
        });
        RequestFacts {
            organisation: input.organisation.clone(),
            asked: input.asked.name().to_owned(),
            headers: headers.collect(),
            body_bytes: input.bytes.len() as u64,
            zone: self.shared.settings.zone.clone(),
            minute_of_day: minute_of_day(),
            draw: draw_of(&input.organisation, &input.head.headers),
        }
    }

    fn build(
        &self,
        input: MatchInput<'_>,
        deployment: &Deployment,
        priority: u8,
    ) -> Result<MatchedRequest, CallerFailure> {
        let now = BootClock::now();
        let deadline = now + self.deadline(&input.head.headers)?;
        let key = read_key(&input.head.headers)?;
        let is_chat = matches!(input.asked, Asked::Chat(_));
        let is_repeatable =
            read_repeatable(&input.head.headers)?.unwrap_or(is_chat && key.is_none());
        let organisation = input.config.book.organisations().get(&input.organisation);
        let asked = input.asked.name().to_owned();
        let (path, is_stream, tokens, chain) = match input.asked {
            Asked::Chat(chat) => {
                let tokens = chat.max_tokens.map_or(DEFAULT_TOKENS, u64::from);
                let prompt = prompt_of(&chat);
                let chain = PrefixChain::of(prompt.as_bytes());
                (CHAT_PATH.to_owned(), chat.stream, tokens, chain)
            }
            Asked::Service { path, .. } => (path, false, 1, PrefixChain::default()),
        };
        let print = RequestFingerprint::of(&FingerprintParts {
            caller: &input.organisation,
            method: input.head.method.as_str(),
            host: &asked,
            path: &path,
            body: &input.bytes,
        });
        Ok(MatchedRequest {
            print,
            admit: AdmitAsk {
                deployment: deployment.id.clone(),
                organisation: input.organisation,
                weight: organisation.map_or(1, |organisation| organisation.weight),
                priority,
                tokens,
                chain,
                deadline,
                target_in_flight: deployment.target_in_flight,
            },
            ask: TargetAsk {
                method: input.head.method.clone(),
                path,
                headers: passed_headers(&input.head.headers),
                body: input.bytes,
                is_repeatable,
                must_echo: is_chat,
                priority,
                deadline,
            },
            key,
            is_stream,
            request: input.id.to_owned(),
            flight: input.flight,
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

impl Handler for CallerSurface {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(request))
    }
}

/// What the rules are matched with.
struct MatchInput<'a> {
    config: &'a ConfigView,
    organisation: OrganisationId,
    asked: Asked,
    head: &'a Parts,
    bytes: Bytes,
    id: &'a str,
    flight: FlightGuard,
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
        .retry_after(LEAVING_RETRY)
}

fn prompt_of(chat: &ChatDoc) -> String {
    let parts = chat.messages.iter().map(|message| message.content.as_str());
    parts.collect()
}

/// Returns the present minute of the UTC day.
pub fn minute_of_day() -> u16 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let minutes = since.unwrap_or_default().as_secs() / 60 % 1440;
    u16::try_from(minutes).unwrap_or(0)
}
