//! Keeps the configuration and the directory up to date from their sources.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::target::LapseWindow;
use briarswitch_core::traffic::TrafficBook;
use briarswitch_kernel::{Service, ServiceLink};
use serde_json::{json, Value};

use crate::feed::store_reader_count;
use crate::ports::{ConfigNews, DirectoryNews, FeedMark, SourceError};
use crate::shared::{DirectoryView, FleetShared};

/// Longest time one question for a newer configuration is held open.
///
/// A connection that fell silent is noticed after this and the time for an answer, and has to be
/// noticed within the three seconds after which every node must know a new version again.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(1_000);
/// Age of the last confirmation from which on an answer with changes is followed by a question that is not
/// held open.
///
/// Keys are trusted for 4.75 s where they are valid for five; a held question and its answer take two.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_500);
/// Longest time one question for changes of the directory is held open.
///
/// A reader that freezes is noticed after this and [`READER_TIME`](crate::feed), and a leaving target has to be
/// known within two seconds.
const MAX_DIRECTORY_WAIT: Duration = Duration::from_millis(1_000);
/// Least and longest time between two questions for changes of the directory.
///
/// Targets renew their entries all the time; without a pause every renewal would be a call. The
/// longest stays well below the two seconds within which a leaving target gets nothing new.
const DIRECTORY_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));
/// Time between questions that each node adds, so that all together ask thirty times a second.
///
/// The store answers two thousand calls a second and is paid by the call; 71 nodes at the shortest pace
/// made 13,416 calls in a day of 56 s.
const DIRECTORY_INTERVAL_PER_READER: Duration = Duration::from_millis(33);
/// Least time between two questions for the directory, so that a source that holds none open is not flooded.
const MIN_DIRECTORY_DELAY: Duration = Duration::from_millis(20);
/// Time to wait after a source failed; the shortest and the longest.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(450));
/// Time between looks for lapsed entries whose time is over.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Name of the configuration's keeper.
pub const CONFIG_SERVICE: &str = "config";
/// Name of the directory's keeper.
pub const DIRECTORY_SERVICE: &str = "directory";

/// Returns the time to wait after a source failed.
pub(crate) fn retry_delay() -> Duration {
    let (min, max) = RETRY_DELAY;
    min + (max - min).mul_f64(rand::random::<f64>())
}

/// Tells when a source is lost and regained, once each.
#[derive(Debug, Default)]
pub(crate) struct SourceHealth {
    lost_at: Option<Moment>,
}

impl SourceHealth {
    pub(crate) fn record(&mut self, name: &'static str, error: Option<&SourceError>, now: Moment) {
        match (error, self.lost_at) {
            (Some(error), None) => {
                self.lost_at = Some(now);
                log::warn!(source = name, error:% = error; "dependency_lost");
            }
            (None, Some(since)) => {
                self.lost_at = None;
                let ms = now.saturating_sub(since).as_millis() as u64;
                log::info!(source = name, away_ms = ms; "dependency_regained");
            }
            _ => {}
        }
    }

    /// Returns how long the next question may be held open.
    ///
    /// A question that is held open while its connection is cut ends only with its own time. Until the
    /// source has answered again questions ask for an answer at once, or a cut that has healed would be
    /// noticed two seconds later than it could, and callers' keys be refused so long.
    pub(crate) fn max_wait(&self, usual: Duration) -> Duration {
        if self.lost_at.is_some() {
            Duration::ZERO
        } else {
            usual
        }
    }
}

/// What the configuration's keeper asks next.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ConfigRequest {
    /// The newest configuration, without its history.
    #[default]
    Whole,
    /// Changes after a mark, held open until there are any.
    Held(FeedMark),
    /// Changes after a mark, answered at once: whether more follows what has just come.
    AtOnce(FeedMark),
}

impl ConfigRequest {
    /// Returns what to ask after an answer, where the configuration was last confirmed `age` ago.
    ///
    /// A question that is held open says soon enough whether more follows an answer with changes, as long
    /// as the last confirmation is not old. A second answer with changes after that means a long history,
    /// of which only the end matters: read part by part, versions of half a megabyte in quick succession
    /// took a node eight seconds.
    fn next(self, mark: FeedMark, is_newest: bool, age: Duration) -> Self {
        match self {
            _ if is_newest => Self::Held(mark),
            Self::Held(_) if age < MAX_CONFIRMATION_AGE => Self::Held(mark),
            Self::Held(_) => Self::AtOnce(mark),
            Self::AtOnce(_) | Self::Whole => Self::Whole,
        }
    }
}

/// Keeps the configuration.
pub struct ConfigSync {
    shared: Arc<FleetShared>,
    request: ConfigRequest,
    source_health: SourceHealth,
}

/// Message to [`ConfigSync`].
pub enum ConfigMessage {
    /// Ask the source.
    Poll,
    /// The source answered a question asked at this moment.
    Polled(Moment, Result<ConfigNews, SourceError>),
}

impl ConfigSync {
    /// Opens a keeper that knows no configuration.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            request: ConfigRequest::default(),
            source_health: SourceHealth::default(),
        }
    }

    fn poll(&self, link: &ServiceLink<ConfigMessage>) {
        let shared = Arc::clone(&self.shared);
        let (request, asked_at) = (self.request, link.now());
        let wait = self.source_health.max_wait(MAX_CONFIG_WAIT);
        link.spawn(async move {
            let config = &shared.platform.config;
            let (mark, wait) = match request {
                ConfigRequest::Whole => (None, Duration::ZERO),
                ConfigRequest::Held(mark) => (Some(mark), wait),
                ConfigRequest::AtOnce(mark) => (Some(mark), Duration::ZERO),
            };
            let response = shared.changes(config.table(), mark, wait).await;
            ConfigMessage::Polled(
                asked_at,
                response.and_then(|response| config.news(&response)),
            )
        });
    }

    fn apply(&mut self, asked_at: Moment, news: ConfigNews) {
        let (mark, is_newest) = (news.mark, news.is_newest);
        if let Some(book) = news.book {
            self.adopt(*book);
        }
        if is_newest && self.shared.book.read().is_some() {
            self.shared.confirm_book(asked_at.saturating_sub(news.age));
        }
        self.request = self.request.next(mark, is_newest, self.shared.book_age());
    }

    /// Takes a configuration over if it is newer; an older one read late changes nothing.
    fn adopt(&self, book: TrafficBook) {
        let current = self
            .shared
            .book
            .read()
            .as_ref()
            .as_ref()
            .map(|book| book.version);
        if current.is_some_and(|version| version >= book.version) {
            return;
        }
        log::info!(
            version = book.version,
            from = current.unwrap_or(0),
            hosts = book.hosts.len(),
            services = book.services.len();
            "config_adopted"
        );
        self.shared.metrics.set_config(book.version);
        self.shared.adopt_book(book);
    }
}

impl Service for ConfigSync {
    type Message = ConfigMessage;

    fn name(&self) -> &'static str {
        CONFIG_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<ConfigMessage>) {
        self.poll(link);
    }

    fn handle(&mut self, message: ConfigMessage, link: &ServiceLink<ConfigMessage>) {
        match message {
            ConfigMessage::Poll => self.poll(link),
            ConfigMessage::Polled(asked_at, Ok(news)) => {
                self.source_health.record(CONFIG_SERVICE, None, link.now());
                self.apply(asked_at, news);
                self.poll(link);
            }
            ConfigMessage::Polled(_, Err(error)) => {
                self.source_health
                    .record(CONFIG_SERVICE, Some(&error), link.now());
                if error == SourceError::HistoryGone {
                    self.request = ConfigRequest::Whole;
                    self.poll(link);
                } else {
                    link.later(retry_delay(), ConfigMessage::Poll);
                }
            }
        }
    }

    fn dump(&self) -> Value {
        let version = self
            .shared
            .book
            .read()
            .as_ref()
            .as_ref()
            .map(|book| book.version);
        json!({
            "version": version,
            "age_ms": self.shared.book_age().as_millis() as u64,
            "question": format!("{:?}", self.request),
        })
    }
}

/// Keeps the directory.
pub struct DirectorySync {
    shared: Arc<FleetShared>,
    mark: Option<FeedMark>,
    /// Era of the store that the list is from.
    era: Option<u64>,
    view: DirectoryView,
    source_health: SourceHealth,
    lapse_window: LapseWindow,
    is_expiry_scheduled: bool,
}

/// Message to [`DirectorySync`].
pub enum DirectoryMessage {
    /// Ask the source.
    Poll,
    /// The source answered.
    Polled(Result<DirectoryNews, SourceError>),
    /// Look for lapsed entries whose time is over.
    Expire,
}

impl DirectorySync {
    /// Opens a keeper that knows no target.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            mark: None,
            era: None,
            view: DirectoryView::default(),
            source_health: SourceHealth::default(),
            lapse_window: LapseWindow::default(),
            is_expiry_scheduled: false,
        }
    }

    fn poll(&self, link: &ServiceLink<DirectoryMessage>) {
        let shared = Arc::clone(&self.shared);
        let mark = self.mark;
        let wait = self.source_health.max_wait(MAX_DIRECTORY_WAIT);
        let table = self.shared.platform.directory.table();
        self.shared
            .feed
            .set_min_interval(table, self.poll_interval());
        link.spawn(async move {
            let directory = &shared.platform.directory;
            let response = shared.changes(directory.table(), mark, wait).await;
            DirectoryMessage::Polled(response.map(|response| directory.news(&response)))
        });
    }

    fn apply(&mut self, news: DirectoryNews, now: Moment, link: &ServiceLink<DirectoryMessage>) {
        let era = news.mark().era;
        if self.era.replace(era).is_some_and(|before| before != era) {
            // The store has lost its last seconds. What it does not list may only have to write itself again, as
            // after an absence; dropped at once, a target that serves would get nothing until it has.
            self.lapse_window.note_failure();
        }
        self.lapse_window.note_answer(now);
        let keep = self.lapse_window.keep_until(now);
        match news {
            DirectoryNews::Whole(mark, listed) => {
                self.mark = Some(mark);
                self.view.book.replace(listed, keep);
            }
            DirectoryNews::Changes(mark, changes) => {
                self.mark = Some(mark);
                if changes.is_empty() {
                    return;
                }
                for change in changes {
                    self.view.book.apply(change, keep);
                }
            }
        }
        self.view.is_listed = true;
        self.publish();
        self.schedule_expiry_check(link);
    }

    fn schedule_expiry_check(&mut self, link: &ServiceLink<DirectoryMessage>) {
        if self.view.book.is_pending() && !self.is_expiry_scheduled {
            self.is_expiry_scheduled = true;
            link.later(EXPIRY_CHECK_INTERVAL, DirectoryMessage::Expire);
        }
    }

    fn poll_interval(&self) -> Duration {
        let (min, max) = DIRECTORY_INTERVAL;
        (DIRECTORY_INTERVAL_PER_READER * store_reader_count(&self.shared.live.read()))
            .clamp(min, max)
    }

    fn publish(&mut self) {
        self.view.book.forget_ended();
        self.shared.directory.publish(self.view.clone());
        self.shared.rebuild_table();
    }
}

impl Service for DirectorySync {
    type Message = DirectoryMessage;

    fn name(&self) -> &'static str {
        DIRECTORY_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<DirectoryMessage>) {
        self.poll(link);
    }

    fn handle(&mut self, message: DirectoryMessage, link: &ServiceLink<DirectoryMessage>) {
        let now = link.now();
        match message {
            DirectoryMessage::Poll => self.poll(link),
            DirectoryMessage::Polled(Ok(news)) => {
                self.source_health.record(DIRECTORY_SERVICE, None, now);
                self.apply(news, now, link);
                link.later(MIN_DIRECTORY_DELAY, DirectoryMessage::Poll);
            }
            DirectoryMessage::Polled(Err(error)) => {
                self.source_health
                    .record(DIRECTORY_SERVICE, Some(&error), now);
                if error == SourceError::HistoryGone {
                    self.mark = None;
                } else {
                    self.lapse_window.note_failure();
                }
                link.later(retry_delay(), DirectoryMessage::Poll);
            }
            DirectoryMessage::Expire => {
                self.is_expiry_scheduled = false;
                // While the directory is away again, nobody can put an entry back.
                if self.source_health.lost_at.is_none() && self.view.book.expire(now) {
                    self.publish();
                }
                self.schedule_expiry_check(link);
            }
        }
    }

    fn dump(&self) -> Value {
        json!({
            "targets": self.view.book.targets().len(),
            "mark": self.mark,
        })
    }
}
