//! Fake replica of the platform with a fixed answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use shallotfork_types::Endpoint;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Server that answers every request with the same bytes and counts the requests.
pub struct FakeReplica {
    pub endpoint: Endpoint,
    requests: Arc<AtomicUsize>,
    server: JoinHandle<()>,
}

impl FakeReplica {
    /// Starts a replica that answers with these bytes and then closes the connection; an empty
    /// answer leaves the request unanswered.
    pub async fn with_answer(answer: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let endpoint = Endpoint::new(listener.local_addr().expect("address"));
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = requests.clone();
        let server = tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                tokio::spawn(serve_connection(connection, answer.clone(), counter.clone()));
            }
        });
        Self { endpoint, requests, server }
    }

    /// Starts a replica that answers with this status and body.
    pub async fn with_body(status: &str, body: &str) -> Self {
        let length = body.len();
        Self::with_answer(format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}"))
            .await
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

impl Drop for FakeReplica {
    fn drop(&mut self) {
        self.server.abort();
    }
}

const HEAD_END: &[u8] = b"\r\n\r\n";

async fn serve_connection(mut connection: TcpStream, answer: String, requests: Arc<AtomicUsize>) {
    let mut head = Vec::new();
    while !head.ends_with(HEAD_END) {
        let Ok(byte) = connection.read_u8().await else { return };
        head.push(byte);
    }
    requests.fetch_add(1, Ordering::SeqCst);
    let is_unanswered = answer.is_empty();
    if is_unanswered {
        std::future::pending::<()>().await;
    }
    let _ = connection.write_all(answer.as_bytes()).await;
    let _ = connection.shutdown().await;
}
