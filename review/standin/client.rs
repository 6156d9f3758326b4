//! One connection of a caller.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::deployment::HOST;
use crate::http::{Connection, Head};
use crate::record::Record;

pub struct Client<'a> {
    pub connection: Connection,
    record: &'a Record,
    deadline_ms: u64,
}

impl<'a> Client<'a> {
    pub fn connect(front: SocketAddr, deadline_ms: u64, record: &'a Record) -> io::Result<Self> {
        let stream = TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
        Ok(Self { connection: Connection::new(stream), record, deadline_ms })
    }

    /// Sends a GET request without waiting for its answer.
    pub fn send(&mut self, path: &str, id: &str) -> io::Result<()> {
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\r\n",
            self.deadline_ms
        );
        self.connection.write(request.as_bytes())?;
        self.record.write(&format!("caller sends {id} (GET {path})"));
        Ok(())
    }

    /// Reads the next answer on the connection, which is the one to `id`. Returns `None` if the
    /// connection ends without a complete answer.
    pub fn read_answer(&mut self, id: &str) -> Option<(Head, Vec<u8>)> {
        let head = match self.connection.read_head() {
            Ok(Some(head)) => head,
            Ok(None) => {
                self.record.write(&format!("caller of {id}: the connection is closed, no answer"));
                return None;
            }
            Err(error) => {
                self.record.write(&format!("caller of {id}: no answer: {error}"));
                return None;
            }
        };
        let status = head.status();
        let close = head.get("connection").unwrap_or("-").to_owned();
        match self.connection.read_body(&head) {
            Ok(body) => {
                let size = body.len();
                self.record.write(&format!(
                    "caller gets {status} for {id}: complete, {size} bytes, connection {close}"
                ));
                Some((head, body))
            }
            Err(error) => {
                let length = head.get("content-length").unwrap_or("-").to_owned();
                self.record.write(&format!(
                    "caller gets {status} for {id}: cut off before the end of {length} bytes ({error}), connection {close}"
                ));
                None
            }
        }
    }
}
