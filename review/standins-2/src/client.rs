//! Clients that send short requests on kept connections.

use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::deployment::{HOST, KEY};
use crate::http::{read_body, read_response_head};

/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(15);
/// Deadline that clients state, and for which they wait at most.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Is told what came of a request: the status, or why there was no whole answer.
pub type AnswerHandler = Arc<dyn Fn(Result<u16, String>) + Send + Sync>;
/// Is told of each request as it is sent.
pub type SendHandler = Arc<dyn Fn(&str) + Send + Sync>;

/// Clients that run until this is dropped.
pub struct Clients {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients for each of the addresses.
    pub fn start(
        fronts: &[String],
        count: usize,
        path: &'static str,
        sent: SendHandler,
        answered: AnswerHandler,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let next_id = Arc::new(AtomicU64::new(0));
        let mut threads = Vec::new();
        for front in fronts {
            for _ in 0..count {
                let client = Client {
                    front: front.clone(),
                    path,
                    is_stopped: Arc::clone(&is_stopped),
                    next_id: Arc::clone(&next_id),
                    sent: Arc::clone(&sent),
                    answered: Arc::clone(&answered),
                };
                threads.push(thread::spawn(move || client.run()));
            }
        }
        Self {
            is_stopped,
            threads,
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

struct Client {
    front: String,
    path: &'static str,
    is_stopped: Arc<AtomicBool>,
    next_id: Arc<AtomicU64>,
    sent: SendHandler,
    answered: AnswerHandler,
}

impl Client {
    fn run(&self) {
        let mut connection: Option<BufReader<TcpStream>> = None;
        while !self.is_stopped.load(Ordering::SeqCst) {
            let number = self.next_id.fetch_add(1, Ordering::SeqCst);
            let attempt = format!("{:x}{number:08x}", std::process::id());
            let mut open = match connection.take().map_or_else(|| self.connect(), Ok) {
                Ok(open) => open,
                Err(error) => {
                    (self.answered)(Err(format!("not connected: {error}")));
                    thread::sleep(PAUSE);
                    continue;
                }
            };
            let result = self.exchange(&mut open, &attempt);
            let keeps = matches!(&result, Ok((_, false)));
            let result = result.map(|(status, _)| status);
            (self.answered)(result.map_err(|error| error.to_string()));
            connection = keeps.then_some(open);
            thread::sleep(PAUSE);
        }
    }

    fn connect(&self) -> io::Result<BufReader<TcpStream>> {
        let stream = TcpStream::connect(&self.front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        Ok(BufReader::new(stream))
    }

    /// Sends a request and reads its answer; returns the status, and whether the connection is to be closed.
    fn exchange(
        &self,
        connection: &mut BufReader<TcpStream>,
        attempt: &str,
    ) -> io::Result<(u16, bool)> {
        let request = format!(
            "POST {} HTTP/1.1\r\nhost: {HOST}\r\nx-briarswitch-attempt-id: {attempt}\r\n\
             x-briarswitch-deadline-ms: {}\r\nauthorization: Bearer {KEY}\r\n\
             content-length: 0\r\n\r\n",
            self.path,
            DEADLINE.as_millis()
        );
        (self.sent)(attempt);
        connection.get_mut().write_all(request.as_bytes())?;
        let head = read_response_head(connection)?;
        read_body(connection, &head.headers)?;
        let closes = head
            .headers
            .iter()
            .any(|(name, value)| name == "connection" && value.contains("close"));
        Ok((head.status, closes))
    }
}
