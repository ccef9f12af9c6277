//! Idempotent calls whose responses did not arrive in time.

use std::future::pending;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_kernel::BootClock;
use futures::future::BoxFuture;
use indexmap::IndexMap;

use crate::ports::SourceError;

/// Result of a call.
pub type CallResult<R> = Result<R, SourceError>;

/// Future of the result of a call.
pub type CallFuture<R> = BoxFuture<'static, CallResult<R>>;

/// Time for which a call is kept after its time-out.
///
/// Without it, a store whose every response takes a little longer than the time-out would never be read at all.
pub const LATE_TIME: Duration = Duration::from_secs(3);

/// A call with the time until which its response is of use.
struct LateCall<R> {
    response: CallFuture<R>,
    until: Moment,
}

/// Calls that their callers have given up, by what was asked for.
pub struct LateCalls<R> {
    calls: Mutex<IndexMap<String, LateCall<R>>>,
}

impl<R> Default for LateCalls<R> {
    fn default() -> Self {
        Self {
            calls: Mutex::default(),
        }
    }
}

impl<R> LateCalls<R> {
    /// Returns the first response to `call` or to an earlier call that asked for the same; `None` after `timeout`.
    ///
    /// The earlier call is the one that is kept on a time-out, since a later one may be no faster. The next one takes
    /// its place in the end: its connection may have fallen silent.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::late_calls::LateCalls;
    /// use futures::FutureExt;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
    /// let calls = LateCalls::default();
    /// let slow = async {
    ///     tokio::time::sleep(Duration::from_millis(20)).await;
    ///     Ok(1)
    /// };
    /// let timeout = Duration::from_millis(1);
    /// assert_eq!(calls.first_response("rows", slow.boxed(), timeout).await, None);
    /// let silent = std::future::pending().boxed();
    /// let timeout = Duration::from_secs(10);
    /// assert_eq!(calls.first_response("rows", silent, timeout).await, Some(Ok(1)));
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn first_response(
        &self,
        asked: &str,
        call: CallFuture<R>,
        timeout: Duration,
    ) -> Option<CallResult<R>> {
        let (mut call, mut earlier) = (call, self.take(asked, BootClock::now()));
        let result = tokio::select! {
            response = &mut call => Some(response),
            response = response_of(&mut earlier) => return Some(Ok(response)),
            () = tokio::time::sleep(timeout) => None,
        };
        let late = match &result {
            Some(Ok(_)) => None,
            Some(Err(_)) => earlier,
            None => earlier.or_else(|| {
                let until = BootClock::now() + LATE_TIME;
                Some(LateCall {
                    response: call,
                    until,
                })
            }),
        };
        if let Some(late) = late {
            self.lock().insert(asked.to_owned(), late);
        }
        result
    }

    /// Returns the call that asked for the same, and drops those that are too old.
    fn take(&self, asked: &str, now: Moment) -> Option<LateCall<R>> {
        let mut calls = self.lock();
        calls.retain(|_, call| now < call.until);
        calls.swap_remove(asked)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<String, LateCall<R>>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the response to a call, and never if there is no call or it fails, after which it is `None`.
async fn response_of<R>(call: &mut Option<LateCall<R>>) -> R {
    if let Some(earlier) = call {
        if let Ok(response) = (&mut earlier.response).await {
            return response;
        }
    }
    *call = None;
    pending().await
}
