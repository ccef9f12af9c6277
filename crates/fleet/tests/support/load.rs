//! Callers that keep their rate, whatever they get.

use std::time::{Duration, Instant};

use futures::future::join_all;

use super::{Fleet, TestRequest};

/// Requests of one kind at one rate.
#[derive(Clone, Copy, Debug)]
pub struct CallerLoad {
    pub path: &'static str,
    /// Time between two requests of all callers together.
    pub interval: Duration,
}

/// A request and whether it was served.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    pub at: Instant,
    pub is_served: bool,
}

impl CallerLoad {
    /// Sends requests for a time, each to the node that `node_of` selects by the request's index.
    pub async fn send(
        self,
        fleet: &Fleet,
        time: Duration,
        node_of: impl Fn(usize) -> usize + Copy,
    ) -> Vec<SentRequest> {
        let count = time.div_duration_f64(self.interval) as u32;
        let calls = (0..count).map(|index| async move {
            tokio::time::sleep(self.interval * index).await;
            let at = Instant::now();
            let body = format!("{at:?} {index}");
            let request = TestRequest {
                path: self.path,
                ..TestRequest::chat(&body)
            };
            let response = fleet.request(node_of(index as usize), request).await;
            SentRequest {
                at,
                is_served: response.is_served(),
            }
        });
        join_all(calls).await
    }
}

/// Returns the share of requests that were served.
pub fn served_share(sent: &[SentRequest]) -> f64 {
    let served = sent.iter().filter(|request| request.is_served).count();
    served as f64 / sent.len().max(1) as f64
}
