//! Slots in an engine's batch, assigned by priority and then in order of arrival.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

type Waiters = BTreeMap<(Reverse<u8>, u64), oneshot::Sender<()>>;

#[derive(Debug)]
struct SlotState {
    free: usize,
    next_ticket: u64,
    waiting: Waiters,
    running: u32,
}

/// A batch with a limited number of slots.
#[derive(Clone, Debug)]
pub(crate) struct SlotQueue {
    state: Arc<Mutex<SlotState>>,
}

/// A slot in the batch; dropping it passes the slot to the next waiter.
pub(crate) struct SlotGuard {
    state: Arc<Mutex<SlotState>>,
}

impl SlotQueue {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            state: Arc::new(Mutex::new(SlotState {
                free: slots,
                next_ticket: 0,
                waiting: BTreeMap::new(),
                running: 0,
            })),
        }
    }

    pub(crate) async fn acquire(&self, priority: u8) -> SlotGuard {
        let turn = {
            let mut state = self.state.lock().expect("slot state");
            if state.free > 0 {
                state.free -= 1;
                state.running += 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                let ticket = state.next_ticket;
                state.next_ticket += 1;
                state.waiting.insert((Reverse(priority), ticket), sender);
                Some(receiver)
            }
        };
        if let Some(turn) = turn {
            let _ = turn.await;
        }
        SlotGuard {
            state: Arc::clone(&self.state),
        }
    }

    pub(crate) fn load(&self) -> (u32, u32) {
        let state = self.state.lock().expect("slot state");
        (state.running, state.waiting.len() as u32)
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut state = self.state.lock().expect("slot state");
        while let Some((_, waiter)) = state.waiting.pop_first() {
            if waiter.send(()).is_ok() {
                return;
            }
        }
        state.free += 1;
        state.running -= 1;
    }
}
