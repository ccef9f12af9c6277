//! Services that panic.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use briarswitch_kernel::{Kernel, Service, ServiceLink};
use googletest::prelude::*;
use serde_json::{json, Value};

/// Where the service of a test panics, the first time it gets there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultPlace {
    Start,
    Message,
    Work,
    Dump,
}

/// What all instances of a test's service have done.
#[derive(Debug, Default)]
struct ServiceRecord {
    faults: AtomicUsize,
    starts: AtomicUsize,
    results: AtomicUsize,
    /// Results of work that an earlier instance had begun.
    stale_results: AtomicUsize,
}

enum TestMessage {
    Begin,
    /// Work is done that was begun after so many starts.
    Done(usize),
}

/// Repeats work, and panics once at a place.
struct FaultyService {
    place: FaultPlace,
    record: Arc<ServiceRecord>,
}

impl FaultyService {
    fn fail_once(place: FaultPlace, at: FaultPlace, record: &ServiceRecord) {
        if place == at && record.faults.fetch_add(1, Ordering::SeqCst) == 0 {
            panic!("a fault of the test");
        }
    }

    fn work(&self, link: &ServiceLink<TestMessage>) {
        let (place, record) = (self.place, Arc::clone(&self.record));
        let starts = record.starts.load(Ordering::SeqCst);
        link.spawn(async move {
            tokio::time::sleep(Duration::from_millis(1)).await;
            Self::fail_once(place, FaultPlace::Work, &record);
            TestMessage::Done(starts)
        });
    }
}

impl Service for FaultyService {
    type Message = TestMessage;

    fn name(&self) -> &'static str {
        "faulty"
    }

    fn start(&mut self, link: &ServiceLink<TestMessage>) {
        self.record.starts.fetch_add(1, Ordering::SeqCst);
        Self::fail_once(self.place, FaultPlace::Start, &self.record);
        self.work(link);
    }

    fn handle(&mut self, message: TestMessage, link: &ServiceLink<TestMessage>) {
        match message {
            TestMessage::Begin => Self::fail_once(self.place, FaultPlace::Message, &self.record),
            TestMessage::Done(starts) => {
                if starts < self.record.starts.load(Ordering::SeqCst) {
                    self.record.stale_results.fetch_add(1, Ordering::SeqCst);
                }
                self.record.results.fetch_add(1, Ordering::SeqCst);
                self.work(link);
            }
        }
    }

    fn dump(&self) -> Value {
        Self::fail_once(self.place, FaultPlace::Dump, &self.record);
        json!("state")
    }

    fn renew(&self) -> Self {
        Self {
            place: self.place,
            record: Arc::clone(&self.record),
        }
    }
}

/// Waits until a service works on after its fault, and returns what its instances have done.
async fn record_after_fault(place: FaultPlace) -> Arc<ServiceRecord> {
    let record = Arc::new(ServiceRecord::default());
    let kernel = Kernel::spawn().expect("a control thread");
    let service = FaultyService {
        place,
        record: Arc::clone(&record),
    };
    let mailbox = kernel.mount(service).expect("a new name");
    mailbox.send(TestMessage::Begin).await.expect("a service");
    kernel.dump().await;
    while record.starts.load(Ordering::SeqCst) < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let before = record.results.load(Ordering::SeqCst);
    while record.results.load(Ordering::SeqCst) < before + 10 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    expect_that!(kernel.dump().await["faulty"], eq(&json!("state")));
    kernel.stop();
    record
}

/// Guards against a service that never works again after a panic while it starts.
#[gtest]
#[tokio::test]
async fn a_service_works_on_after_a_panic_in_its_start() {
    record_after_fault(FaultPlace::Start).await;
}

/// Guards against a service that never works again after a message it can't handle.
#[gtest]
#[tokio::test]
async fn a_service_works_on_after_a_panic_in_a_message() {
    record_after_fault(FaultPlace::Message).await;
}

/// Guards against a service that waits forever for the result of work that panicked.
#[gtest]
#[tokio::test]
async fn a_service_works_on_after_a_panic_in_its_work() {
    record_after_fault(FaultPlace::Work).await;
}

/// Guards against a service that ends when an operator asks for its state.
#[gtest]
#[tokio::test]
async fn a_service_works_on_after_a_panic_in_its_dump() {
    record_after_fault(FaultPlace::Dump).await;
}

/// Guards against results of an earlier instance that begin a second chain of work.
#[gtest]
#[tokio::test]
async fn a_restarted_service_gets_no_results_of_the_instance_before() {
    let record = record_after_fault(FaultPlace::Message).await;
    expect_that!(record.stale_results.load(Ordering::SeqCst), eq(0));
}
