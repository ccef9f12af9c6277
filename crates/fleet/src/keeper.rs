//! Keeps the configuration and the directory up to date from their sources.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::target::RecoveryWindow;
use briarswitch_core::traffic::TrafficConfig;
use briarswitch_kernel::{Service, ServiceLink};
use serde_json::{json, Value};

use crate::feed::askers;
use crate::ports::{ConfigUpdate, DirectoryUpdate, FeedMark, SourceError};
use crate::shared::{DirectoryView, FleetShared};

/// Longest time one question for a newer configuration is held open.
///
/// A connection that fell silent is noticed after this and the time for an answer, and has to be
/// noticed within the three seconds after which every node must know a new version again.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);
/// Age of the last confirmation from which on an answer with changes is followed by a question that is not
/// held open.
///
/// Keys are trusted for 4.75 s where they are valid for five; a held question and its answer take two.
const CONFIRM_AGE: Duration = Duration::from_millis(1_500);
/// Longest time one question for changes of the directory is held open.
///
/// A reader that freezes is noticed after this and [`READER_TIME`](crate::feed), and a leaving target has to be
/// known within two seconds.
const DIRECTORY_WAIT: Duration = Duration::from_millis(1_000);
/// Least and longest time between two questions for changes of the directory.
///
/// Targets renew their entries all the time; without a pause every renewal would be a call. The
/// longest stays well below the two seconds within which a leaving target gets nothing new.
const DIRECTORY_PACE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));
/// Time between questions that each node adds, so that all together ask thirty times a second.
///
/// The store answers two thousand calls a second and is paid by the call; 71 nodes at the shortest pace
/// made 13,416 calls in a day of 56 s.
const DIRECTORY_SHARE: Duration = Duration::from_millis(33);
/// Least time between two questions for the directory, so that a source that holds none open is not flooded.
const LEAST_PAUSE: Duration = Duration::from_millis(20);
/// Time to wait after a source failed; the shortest and the longest.
const RETRY_PACE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(450));
/// Time between looks for lapsed entries whose time is over.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(200);

/// Name of the configuration's keeper.
pub const CONFIG_SERVICE: &str = "config";
/// Name of the directory's keeper.
pub const DIRECTORY_SERVICE: &str = "directory";

/// Returns the time to wait after a source failed.
pub(crate) fn retry_pause() -> Duration {
    let (least, most) = RETRY_PACE;
    least + (most - least).mul_f64(rand::random::<f64>())
}

/// Tells when a source is lost and regained, once each.
#[derive(Debug, Default)]
pub(crate) struct SourceHealth {
    lost: Option<Moment>,
}

impl SourceHealth {
    pub(crate) fn note(&mut self, name: &'static str, error: Option<&SourceError>, now: Moment) {
        match (error, self.lost) {
            (Some(error), None) => {
                self.lost = Some(now);
                log::warn!(source = name, error:% = error; "dependency_lost");
            }
            (None, Some(since)) => {
                self.lost = None;
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
    pub(crate) fn wait(&self, usual: Duration) -> Duration {
        if self.lost.is_some() {
            Duration::ZERO
        } else {
            usual
        }
    }
}

/// What the configuration's keeper asks next.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum BookQuestion {
    /// The newest configuration, without its history.
    #[default]
    Whole,
    /// Changes after a mark, held open until there are any.
    Held(FeedMark),
    /// Changes after a mark, answered at once: whether more follows what has just come.
    AtOnce(FeedMark),
}

impl BookQuestion {
    /// Returns what to ask after an answer, where the configuration was last confirmed `age` ago.
    ///
    /// A question that is held open says soon enough whether more follows an answer with changes, as long
    /// as the last confirmation is not old. A second answer with changes after that means a long history,
    /// of which only the end matters: read part by part, versions of half a megabyte in quick succession
    /// took a node eight seconds.
    fn after(self, mark: FeedMark, is_newest: bool, age: Duration) -> Self {
        match self {
            _ if is_newest => Self::Held(mark),
            Self::Held(_) if age < CONFIRM_AGE => Self::Held(mark),
            Self::Held(_) => Self::AtOnce(mark),
            Self::AtOnce(_) | Self::Whole => Self::Whole,
        }
    }
}

/// Keeps the configuration.
pub struct BookKeeper {
    shared: Arc<FleetShared>,
    question: BookQuestion,
    health: SourceHealth,
}

/// Message to [`BookKeeper`].
pub enum BookMessage {
    /// TestRequest the source.
    TestRequest,
    /// The source answered a question asked at this moment.
    News(Moment, Result<ConfigUpdate, SourceError>),
}

impl BookKeeper {
    /// Opens a keeper that knows no configuration.
    pub fn open(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            question: BookQuestion::default(),
            health: SourceHealth::default(),
        }
    }

    fn ask(&self, link: &ServiceLink<BookMessage>) {
        let shared = Arc::clone(&self.shared);
        let (question, asked) = (self.question, link.now());
        let wait = self.health.wait(CONFIG_WAIT);
        link.spawn(async move {
            let config = &shared.platform.config;
            let (mark, wait) = match question {
                BookQuestion::Whole => (None, Duration::ZERO),
                BookQuestion::Held(mark) => (Some(mark), wait),
                BookQuestion::AtOnce(mark) => (Some(mark), Duration::ZERO),
            };
            let answer = shared.changes(config.table(), mark, wait).await;
            BookMessage::News(asked, answer.and_then(|answer| config.decode(&answer)))
        });
    }

    fn take(&mut self, asked: Moment, news: ConfigUpdate) {
        let (mark, is_newest) = (news.mark, news.is_newest);
        if let Some(book) = news.config {
            self.adopt(*book);
        }
        if is_newest && self.shared.config.read().is_some() {
            self.shared.confirm_config(asked.saturating_sub(news.age));
        }
        self.question = self
            .question
            .after(mark, is_newest, self.shared.config_age());
    }

    /// Takes a configuration over if it is newer; an older one read late changes nothing.
    fn adopt(&self, book: TrafficConfig) {
        let held = self
            .shared
            .config
            .read()
            .as_ref()
            .as_ref()
            .map(|book| book.version);
        if held.is_some_and(|version| version >= book.version) {
            return;
        }
        log::info!(
            version = book.version,
            from = held.unwrap_or(0),
            hosts = book.hosts.len(),
            services = book.services.len();
            "config_adopted"
        );
        self.shared.metrics.set_config_version(book.version);
        self.shared.apply_config(book);
    }
}

impl Service for BookKeeper {
    type Message = BookMessage;

    fn name(&self) -> &'static str {
        CONFIG_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<BookMessage>) {
        self.ask(link);
    }

    fn handle(&mut self, message: BookMessage, link: &ServiceLink<BookMessage>) {
        match message {
            BookMessage::TestRequest => self.ask(link),
            BookMessage::News(asked, Ok(news)) => {
                self.health.note(CONFIG_SERVICE, None, link.now());
                self.take(asked, news);
                self.ask(link);
            }
            BookMessage::News(_, Err(error)) => {
                self.health.note(CONFIG_SERVICE, Some(&error), link.now());
                if error == SourceError::HistoryGone {
                    self.question = BookQuestion::Whole;
                    self.ask(link);
                } else {
                    link.later(retry_pause(), BookMessage::TestRequest);
                }
            }
        }
    }

    fn dump(&self) -> Value {
        let version = self
            .shared
            .config
            .read()
            .as_ref()
            .as_ref()
            .map(|book| book.version);
        json!({
            "version": version,
            "age_ms": self.shared.config_age().as_millis() as u64,
            "question": format!("{:?}", self.question),
        })
    }
}

/// Keeps the directory.
pub struct DirectoryKeeper {
    shared: Arc<FleetShared>,
    mark: Option<FeedMark>,
    /// Era of the store that the list is from.
    era: Option<u64>,
    view: DirectoryView,
    health: SourceHealth,
    window: RecoveryWindow,
    is_expiring: bool,
}

/// Message to [`DirectoryKeeper`].
pub enum DirectoryMessage {
    /// TestRequest the source.
    TestRequest,
    /// The source answered.
    News(Result<DirectoryUpdate, SourceError>),
    /// Look for lapsed entries whose time is over.
    Expire,
}

impl DirectoryKeeper {
    /// Opens a keeper that knows no target.
    pub fn open(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            mark: None,
            era: None,
            view: DirectoryView::default(),
            health: SourceHealth::default(),
            window: RecoveryWindow::default(),
            is_expiring: false,
        }
    }

    fn ask(&self, link: &ServiceLink<DirectoryMessage>) {
        let shared = Arc::clone(&self.shared);
        let mark = self.mark;
        let wait = self.health.wait(DIRECTORY_WAIT);
        let table = self.shared.platform.directory.table();
        self.shared.feed.set_pace(table, self.pace());
        link.spawn(async move {
            let directory = &shared.platform.directory;
            let answer = shared.changes(directory.table(), mark, wait).await;
            DirectoryMessage::News(answer.map(|answer| directory.decode(&answer)))
        });
    }

    fn take(&mut self, news: DirectoryUpdate, now: Moment, link: &ServiceLink<DirectoryMessage>) {
        let era = news.mark().era;
        if self.era.replace(era).is_some_and(|before| before != era) {
            // The store has lost its last seconds. What it does not list may only have to write itself again, as
            // after an absence; dropped at once, a target that serves would get nothing until it has.
            self.window.note_failure();
        }
        self.window.note_answer(now);
        let keep = self.window.keep_until(now);
        match news {
            DirectoryUpdate::Snapshot(mark, listed) => {
                self.mark = Some(mark);
                self.view.cache.replace(listed, keep);
            }
            DirectoryUpdate::Changes(mark, changes) => {
                self.mark = Some(mark);
                if changes.is_empty() {
                    return;
                }
                for change in changes {
                    self.view.cache.apply(change, keep);
                }
            }
        }
        self.view.is_loaded = true;
        self.publish();
        self.await_expiry(link);
    }

    fn await_expiry(&mut self, link: &ServiceLink<DirectoryMessage>) {
        if self.view.cache.is_pending() && !self.is_expiring {
            self.is_expiring = true;
            link.later(EXPIRE_INTERVAL, DirectoryMessage::Expire);
        }
    }

    fn pace(&self) -> Duration {
        let (least, longest) = DIRECTORY_PACE;
        (DIRECTORY_SHARE * askers(&self.shared.live_view.read())).clamp(least, longest)
    }

    fn publish(&mut self) {
        self.view.cache.prune_unlisted();
        self.shared.directory.publish(self.view.clone());
        self.shared.rebuild_table();
    }
}

impl Service for DirectoryKeeper {
    type Message = DirectoryMessage;

    fn name(&self) -> &'static str {
        DIRECTORY_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<DirectoryMessage>) {
        self.ask(link);
    }

    fn handle(&mut self, message: DirectoryMessage, link: &ServiceLink<DirectoryMessage>) {
        let now = link.now();
        match message {
            DirectoryMessage::TestRequest => self.ask(link),
            DirectoryMessage::News(Ok(news)) => {
                self.health.note(DIRECTORY_SERVICE, None, now);
                self.take(news, now, link);
                link.later(LEAST_PAUSE, DirectoryMessage::TestRequest);
            }
            DirectoryMessage::News(Err(error)) => {
                self.health.note(DIRECTORY_SERVICE, Some(&error), now);
                if error == SourceError::HistoryGone {
                    self.mark = None;
                } else {
                    self.window.note_failure();
                }
                link.later(retry_pause(), DirectoryMessage::TestRequest);
            }
            DirectoryMessage::Expire => {
                self.is_expiring = false;
                // While the directory is away again, nobody can put an entry back.
                if self.health.lost.is_none() && self.view.cache.expire(now) {
                    self.publish();
                }
                self.await_expiry(link);
            }
        }
    }

    fn dump(&self) -> Value {
        json!({
            "targets": self.view.cache.targets().len(),
            "mark": self.mark,
        })
    }
}
