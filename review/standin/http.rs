//! Minimal HTTP/1.1 reading and writing for the stand-ins.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head of a message, with lower-case header names.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with bytes that were read but not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let size = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..size]);
        Ok(size)
    }

    /// Reads a head; `None` if the connection ended before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(parse_head(&text)));
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a body with a length, or in chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let line = self.read_line()?;
                let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                let mut chunk = self.take(size + 2)?;
                chunk.truncate(size);
                if size == 0 {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let size = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.take(size)
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..size).collect())
    }

    /// Returns whether the other side has closed the connection; does not wait.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0; 1];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(size) => size == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Head { start, headers }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// Returns the value of a query field.
pub fn query_value<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

/// Decodes the percent encoding of a query value.
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let pair = bytes.get(index + 1..index + 3).and_then(|pair| std::str::from_utf8(pair).ok());
        match (bytes[index], pair.and_then(|pair| u8::from_str_radix(pair, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 2;
            }
            (byte, _) => decoded.push(byte),
        }
        index += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for position in 0..4 {
            if position <= chunk.len() {
                text.push(char::from(DIGITS[(number >> (18 - 6 * position) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
