//! A service that answers in ways that sound services do not.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::{Cluster, ClusterSpec};

/// Interval at which a stopped service's address is tried again.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);
/// Complete answer to a call.
pub const ANSWER: &str = r#"{"items":[1,2,3]}"#;

/// What a service does with a call.
#[derive(Clone, Copy)]
pub enum CallEnd {
    /// It answers completely.
    Complete,
    /// It crashes when it has sent part of the answer.
    Crash,
    /// It answers completely, with this status.
    Status(&'static str),
}

struct ServiceStub {
    report: String,
    call_end: CallEnd,
    crashed: Notify,
}

impl ServiceStub {
    /// Takes the place of the cluster's only service, with its report.
    async fn replace(cluster: &mut Cluster, call_end: CallEnd) {
        let service = cluster.services.values_mut().next().expect("a service");
        let address = service.address().to_string();
        let mut connection = TcpStream::connect(&address).await.expect("a service");
        let request =
            format!("GET /report HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
        connection
            .write_all(request.as_bytes())
            .await
            .expect("a service");
        let mut reply = String::new();
        connection
            .read_to_string(&mut reply)
            .await
            .expect("a report");
        let (_, report) = reply.split_once("\r\n\r\n").expect("a head");
        service.kill();
        let listener = loop {
            match TcpListener::bind(&address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
            }
        };
        let stub = Arc::new(Self {
            report: report.to_owned(),
            call_end,
            crashed: Notify::new(),
        });
        tokio::spawn(stub.serve(listener));
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let stub = Arc::clone(&self);
                    tokio::spawn(async move { stub.respond(stream).await });
                }
                () = self.crashed.notified() => return,
            }
        }
    }

    /// Responds to one request on its own connection.
    async fn respond(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
            if stream.read_buf(&mut bytes).await? == 0 {
                return Ok(());
            }
        }
        let request = String::from_utf8_lossy(&bytes).into_owned();
        if request.starts_with("GET /report") {
            let (length, report) = (self.report.len(), &self.report);
            let reply = format!(
                "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{report}"
            );
            return stream.write_all(reply.as_bytes()).await;
        }
        let attempt = request
            .lines()
            .find(|line| line.to_ascii_lowercase().starts_with("x-attempt"));
        let attempt = attempt
            .map(|line| format!("{line}\r\n"))
            .unwrap_or_default();
        let (status, length) = match self.call_end {
            CallEnd::Status(status) => (status, format!("content-length: {}\r\n", ANSWER.len())),
            CallEnd::Complete | CallEnd::Crash => ("200 OK", String::new()),
        };
        let head = format!("HTTP/1.1 {status}\r\nconnection: close\r\n{length}{attempt}\r\n");
        stream.write_all(head.as_bytes()).await?;
        match self.call_end {
            CallEnd::Complete | CallEnd::Status(_) => stream.write_all(ANSWER.as_bytes()).await,
            CallEnd::Crash => {
                stream
                    .write_all(&ANSWER.as_bytes()[..ANSWER.len() / 2])
                    .await?;
                self.crashed.notify_waiters();
                Ok(())
            }
        }
    }
}

/// Starts a cluster whose only service ends its calls in this way.
pub async fn open(call_end: CallEnd) -> Cluster {
    let mut cluster = Cluster::start(ClusterSpec {
        engines_per_zone: 0,
        services_per_zone: 1,
        ..ClusterSpec::default()
    })
    .await;
    ServiceStub::replace(&mut cluster, call_end).await;
    cluster
}
