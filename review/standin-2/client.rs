//! Stand-in of a consumer, which keeps one connection to an entry.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::record::Record;

/// Sends a request on a new connection and returns its answer.
pub fn get(address: &str, path: &str) -> Option<Message> {
    let mut connection = connect(address, Duration::from_secs(1)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    connection.write(request.as_bytes()).ok()?;
    connection.read().ok()?
}

pub fn connect(address: &str, timeout: Duration) -> io::Result<Connection> {
    let address: SocketAddr = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    Ok(Connection::new(stream))
}

pub struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    pub body: &'a str,
}

/// A consumer with at most one connection.
pub struct Client {
    front: String,
    connection: Option<Connection>,
}

impl Client {
    pub fn new(front: &str) -> Self {
        Self { front: front.to_owned(), connection: None }
    }

    /// Sends a request and records its answer; `None` if there is none.
    pub fn send(&mut self, request: &Request<'_>, record: &Record) -> Option<Message> {
        let mut used = match self.connection.take() {
            Some(connection) => connection,
            None => connect(&self.front, Duration::from_secs(1)).ok()?,
        };
        let answer = used.write(&request.bytes()).and_then(|()| used.read());
        let Ok(Some(answer)) = answer else {
            record.note(&format!("client gets no answer for {}", request.id));
            return None;
        };
        let is_signed = answer.header("x-upstream-signature").is_some();
        record.answered(request.id, answer.status(), is_signed);
        if answer.header("connection") != Some("close") {
            self.connection = Some(used);
        }
        Some(answer)
    }
}

impl Request<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let Self { method, host, path, id, deadline, body } = self;
        let deadline_ms = deadline.as_millis();
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n{length}\r\n{body}"
        )
        .into_bytes()
    }
}
