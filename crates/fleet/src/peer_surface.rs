//! Answers the other nodes: their messages, their suspicions, and their questions for changes of the store.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use briarswitch_core::fingerprint::RequestFingerprint;
use briarswitch_core::id::Moment;
use briarswitch_http::{read_body, reply_packed, reply_text, unpack, Handler, Request, Response};
use briarswitch_kernel::{BootClock, Mailbox};
use briarswitch_membership::{Gossip, GossipDoc, Standing};
use futures::future::BoxFuture;
use http::StatusCode;
use indexmap::IndexSet;

use crate::costs::CostKind;
use crate::feed::FEED_PATH;
use crate::feed_doc::{FeedAnswerDoc, FeedQuestionDoc};
use crate::peers::{
    own_standing, share_suspicions, take_hints, SuspicionDoc, GOSSIP_PATH, SUSPICION_PATH,
};
use crate::ports::{SourceError, SuspectRow};
use crate::shared::FleetShared;
use crate::suspect_doc::SuspectDoc;
use crate::suspect_keeper::{SuspectMessage, SUSPECT_PATH};

/// Time for which what this node tells of itself is used again; hubs are asked many times a second.
const STANDING_TIME: Duration = Duration::from_millis(20);
/// Largest message in bytes.
const MESSAGE_BYTES: usize = 1 << 20;

/// Answers other nodes.
pub struct PeerSurface {
    shared: Arc<FleetShared>,
    standing: Mutex<(Moment, Standing)>,
    suspects: Mailbox<SuspectMessage>,
}

impl PeerSurface {
    /// Opens the surface.
    pub fn open(shared: Arc<FleetShared>, suspects: Mailbox<SuspectMessage>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            standing: Mutex::default(),
            suspects,
        })
    }

    async fn answer(&self, request: Request) -> Response {
        match request.uri().path() {
            GOSSIP_PATH => self.gossip(request).await,
            SUSPICION_PATH => self.suspicion(request).await,
            FEED_PATH => self.feed(request).await,
            SUSPECT_PATH => self.ends(request).await,
            _ => reply_text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn feed(&self, request: Request) -> Response {
        let arrived = BootClock::now();
        let Some(doc) = read_doc::<FeedQuestionDoc>(request).await else {
            return reply_text(StatusCode::BAD_REQUEST, "expected a question");
        };
        self.shared.costs.count(CostKind::ReaderAnswered);
        match self.shared.feed.answer(doc.into(), arrived).await {
            Ok(answer) => reply_packed(StatusCode::OK, &FeedAnswerDoc::from(answer)),
            // The asker has to read everything anew; told as an outage it would ask the same for ever.
            Err(SourceError::HistoryGone) => reply_text(StatusCode::GONE, "history gone"),
            Err(error) => reply_text(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }

    async fn gossip(&self, request: Request) -> Response {
        let Some(doc) = read_doc::<GossipDoc>(request).await else {
            return reply_text(StatusCode::BAD_REQUEST, "expected a message");
        };
        self.shared.costs.count(CostKind::GossipAnswered);
        let gossip = Gossip::from(doc);
        take_hints(&self.shared, &gossip);
        let now = BootClock::now();
        let mut held = self.standing.lock().unwrap_or_else(PoisonError::into_inner);
        if now >= held.0 + STANDING_TIME {
            *held = (now, own_standing(&self.shared));
        }
        let answer = self.shared.membership().answer(&gossip, &held.1, now);
        drop(held);
        reply_packed(StatusCode::OK, &GossipDoc::from(&answer))
    }

    /// Takes in ends that another node saw, and answers with all that is known of the requests under way there.
    async fn ends(&self, request: Request) -> Response {
        let Some(doc) = read_doc::<SuspectDoc>(request).await else {
            return reply_text(StatusCode::BAD_REQUEST, "expected ends of targets");
        };
        let told = Vec::<SuspectRow>::from(doc);
        let prints: IndexSet<RequestFingerprint> = told.iter().map(|row| row.key().print).collect();
        let suspects = &self.shared.suspects;
        let news = told.iter().filter(|row| suspects.take(row));
        let news: IndexSet<RequestFingerprint> = news.map(|row| row.key().print).collect();
        if !news.is_empty() {
            if let Err(error) = self.suspects.post(SuspectMessage::Told(news)) {
                log::warn!(error:% = error; "ends_untold");
            }
        }
        let known = prints.iter().flat_map(|print| suspects.rows(print));
        reply_packed(StatusCode::OK, &known.collect::<SuspectDoc>())
    }

    async fn suspicion(&self, request: Request) -> Response {
        let Some(doc) = read_doc::<SuspicionDoc>(request).await else {
            return reply_text(StatusCode::BAD_REQUEST, "expected a target");
        };
        share_suspicions(&self.shared, std::iter::once(&doc.target));
        reply_packed(StatusCode::OK, &())
    }
}

async fn read_doc<T: serde::de::DeserializeOwned>(request: Request) -> Option<T> {
    let bytes = read_body(request.into_body(), MESSAGE_BYTES).await.ok()?;
    unpack::<T>(&bytes).ok()
}

impl Handler for PeerSurface {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(request))
    }
}
