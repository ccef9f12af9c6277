//! Services, their registry by name, and the control thread that runs them.

use std::any::Any;
use std::future::Future;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use briarswitch_core::id::Moment;
use futures::future::{BoxFuture, FutureExt};
use indexmap::IndexMap;
use serde_json::Value;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

use crate::clock::BootClock;
use crate::mailbox::{Envelope, InstanceId, Mailbox};

/// Messages that a mailbox can hold.
const MAILBOX_CAPACITY: usize = 4096;
/// Shortest delay before a service that panicked starts again.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(100);
/// Longest delay before a service that panicked starts again; it doubles with each panic.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(5);
/// Time without a panic after which the delay is the shortest one again.
const STABLE_TIME: Duration = Duration::from_secs(10);

/// A component that owns one part of the control state.
///
/// A panic in it, or in work that it began, ends the instance. Another one takes its place, so that a fault that
/// one message triggers does not end what the process needs for as long as it runs.
pub trait Service: Send + Sized + 'static {
    /// Type of the messages that it handles.
    type Message: Send + 'static;

    /// Returns the name under which it is registered.
    fn name(&self) -> &'static str;

    /// Called once, before the first message.
    fn start(&mut self, link: &ServiceLink<Self::Message>);

    /// Handles one message.
    fn handle(&mut self, message: Self::Message, link: &ServiceLink<Self::Message>);

    /// Returns its state for diagnostics.
    fn dump(&self) -> Value;

    /// Returns the instance that replaces this one after a panic.
    ///
    /// It starts anew, like in a process that has just started; results of work that this instance began are
    /// dropped. What must not repeat within a process, such as numbers in use, is taken over.
    fn renew(&self) -> Self;
}

/// Access of a service to the kernel and to its own mailbox.
pub struct ServiceLink<M> {
    kernel: Kernel,
    mailbox: Mailbox<M>,
    instance: InstanceId,
}

impl<M: Send + 'static> ServiceLink<M> {
    /// Returns the link of the instance that follows.
    fn renew(&self) -> Self {
        Self {
            kernel: self.kernel.clone(),
            mailbox: self.mailbox.clone(),
            instance: self.instance + 1,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Moment {
        BootClock::now()
    }

    /// Returns the kernel, through which other services are found.
    pub fn kernel(&self) -> &Kernel {
        &self.kernel
    }

    /// Returns the service's own mailbox.
    pub fn mailbox(&self) -> &Mailbox<M> {
        &self.mailbox
    }

    /// Runs `work` on the control thread and sends its result to the service.
    ///
    /// Input and output run here, between messages, so that the service's state is never borrowed
    /// across an await.
    pub fn spawn(&self, work: impl Future<Output = M> + 'static) {
        let (own, instance) = (self.mailbox.clone(), self.instance);
        tokio::task::spawn_local(async move {
            let result = AssertUnwindSafe(work).catch_unwind().await;
            own.finish(instance, result.ok()).await;
        });
    }

    /// Sends a message to the service after `delay`.
    pub fn send_after(&self, delay: Duration, message: M) {
        self.spawn(async move {
            tokio::time::sleep(delay).await;
            message
        });
    }
}

/// Error of the kernel.
#[derive(Debug, thiserror::Error)]
pub enum KernelError {
    /// The control thread could not be started.
    #[error("the control thread could not be started: {0}")]
    Thread(#[from] io::Error),
    /// A service of that name is already registered.
    #[error("a service named {0} is already registered")]
    NameInUse(&'static str),
}

type DumpFn = Arc<dyn Fn() -> BoxFuture<'static, Value> + Send + Sync>;
type MountFn = Box<dyn FnOnce() + Send>;

struct Registration {
    mailbox: Box<dyn Any + Send + Sync>,
    dump: DumpFn,
}

struct KernelState {
    registry: Mutex<IndexMap<&'static str, Registration>>,
    mounts: mpsc::UnboundedSender<MountFn>,
    stop: watch::Sender<bool>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

/// Runs services and finds them by name.
#[derive(Clone)]
pub struct Kernel {
    state: Arc<KernelState>,
}

impl Kernel {
    /// Starts the control thread.
    ///
    /// # Errors
    ///
    /// Returns [`KernelError::Thread`] if the thread cannot be started.
    pub fn spawn() -> Result<Self, KernelError> {
        let (mounts, receiver) = mpsc::unbounded_channel();
        let (stop, stopped) = watch::channel(false);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(run_mounts(receiver, stopped)))?;
        Ok(Self {
            state: Arc::new(KernelState {
                registry: Mutex::default(),
                mounts,
                stop,
                thread: Mutex::new(Some(thread)),
            }),
        })
    }

    /// Registers a service under its name and runs it on the control thread.
    ///
    /// # Errors
    ///
    /// Returns [`KernelError::NameInUse`] if the name is in use.
    pub fn mount<S: Service>(&self, service: S) -> Result<Mailbox<S::Message>, KernelError> {
        let name = service.name();
        let (mailbox, receiver) = Mailbox::new(MAILBOX_CAPACITY);
        let dumped = mailbox.clone();
        let registration = Registration {
            mailbox: Box::new(mailbox.clone()),
            dump: Arc::new(move || {
                let mailbox = dumped.clone();
                Box::pin(async move { mailbox.dump().await })
            }),
        };
        let mut registry = self.registry();
        if registry.contains_key(name) {
            return Err(KernelError::NameInUse(name));
        }
        registry.insert(name, registration);
        drop(registry);
        let link = ServiceLink {
            kernel: self.clone(),
            mailbox: mailbox.clone(),
            instance: 0,
        };
        let run: MountFn = Box::new(move || {
            tokio::task::spawn_local(supervise(service, receiver, link));
        });
        let _ = self.state.mounts.send(run);
        Ok(mailbox)
    }

    /// Returns a service's mailbox; `None` if no service has this name and message type.
    pub fn find<M: Send + 'static>(&self, name: &str) -> Option<Mailbox<M>> {
        self.registry()
            .get(name)?
            .mailbox
            .downcast_ref::<Mailbox<M>>()
            .cloned()
    }

    /// Returns the state of every service by name.
    pub async fn dump(&self) -> IndexMap<&'static str, Value> {
        let dumps: Vec<(&'static str, DumpFn)> = self
            .registry()
            .iter()
            .map(|(name, registration)| (*name, Arc::clone(&registration.dump)))
            .collect();
        let mut states = IndexMap::new();
        for (name, dump) in dumps {
            states.insert(name, dump().await);
        }
        states
    }

    /// Stops all services, without letting them finish what they have begun.
    ///
    /// Services hold the kernel themselves, so that they would otherwise run as long as the process.
    ///
    /// ```
    /// use briarswitch_kernel::Kernel;
    ///
    /// let kernel = Kernel::spawn()?;
    /// kernel.stop();
    /// while kernel.is_running() {
    ///     std::thread::yield_now();
    /// }
    /// # Ok::<(), briarswitch_kernel::KernelError>(())
    /// ```
    pub fn stop(&self) {
        self.state.stop.send_replace(true);
    }

    /// Returns whether the control thread is running.
    pub fn is_running(&self) -> bool {
        let thread = self.state.thread.lock();
        thread.is_ok_and(|thread| thread.as_ref().is_some_and(|handle| !handle.is_finished()))
    }

    fn registry(&self) -> std::sync::MutexGuard<'_, IndexMap<&'static str, Registration>> {
        self.state
            .registry
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn run_mounts(
    mut mounts: mpsc::UnboundedReceiver<MountFn>,
    mut stopped: watch::Receiver<bool>,
) {
    let local = LocalSet::new();
    let running = local.run_until(async move {
        while let Some(mount) = mounts.recv().await {
            mount();
        }
    });
    tokio::select! {
        () = running => {}
        _ = stopped.wait_for(|is_stopped| *is_stopped) => {}
    }
}

/// Runs a service, and another instance of it after each panic.
async fn supervise<S: Service>(
    mut service: S,
    mut receiver: mpsc::Receiver<Envelope<S::Message>>,
    mut link: ServiceLink<S::Message>,
) {
    let mut delay = MIN_RESTART_DELAY;
    loop {
        let started_at = link.now();
        if run_service(&mut service, &mut receiver, &link).await == ServiceEnd::Stopped {
            return;
        }
        if link.now() >= started_at + STABLE_TIME {
            delay = MIN_RESTART_DELAY;
        }
        log::error!(service = service.name(), restart_ms = delay.as_millis() as u64; "service_failed");
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RESTART_DELAY);
        if let Ok(renewed) = catch_unwind(AssertUnwindSafe(|| service.renew())) {
            service = renewed;
        }
        link = link.renew();
    }
}

/// How the run of a service's instance ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ServiceEnd {
    /// Nobody can send it messages any more.
    Stopped,
    /// It panicked, or work that it began did.
    Failed,
}

async fn run_service<S: Service>(
    service: &mut S,
    receiver: &mut mpsc::Receiver<Envelope<S::Message>>,
    link: &ServiceLink<S::Message>,
) -> ServiceEnd {
    let mut result = catch_unwind(AssertUnwindSafe(|| service.start(link)));
    while result.is_ok() {
        let message = match receiver.recv().await {
            None => return ServiceEnd::Stopped,
            Some(Envelope::Message(message)) => message,
            Some(Envelope::Finished(instance, _)) if instance != link.instance => continue,
            Some(Envelope::Finished(_, Some(message))) => message,
            Some(Envelope::Finished(_, None)) => return ServiceEnd::Failed,
            Some(Envelope::Dump(reply)) => {
                result = catch_unwind(AssertUnwindSafe(|| {
                    let _ = reply.send(service.dump());
                }));
                continue;
            }
        };
        result = catch_unwind(AssertUnwindSafe(|| service.handle(message, link)));
    }
    ServiceEnd::Failed
}
