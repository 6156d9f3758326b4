//! Minimal HTTP/1.1 messages over blocking sockets, for the stand-ins.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message with its first line, its headers in lower case and its whole body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let value = query.split('&').find_map(|part| part.strip_prefix(&format!("{name}=")))?;
        Some(percent_decoded(value))
    }

    /// Status of an answer; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = (bytes[index] == b'%').then(|| text.get(index + 1..index + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(if bytes[index] == b'+' { b' ' } else { bytes[index] });
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let size = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..size]);
        Ok(size)
    }

    /// Reads the next message with a body of a stated length or in chunks. Returns `None` if the
    /// connection ended before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    /// Reads the first line and the headers of the next message.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                let is_clean = self.buffer.is_empty();
                return if is_clean { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        Ok(Some(message))
    }

    /// Reads the body that follows a head.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            message.body = self.read_chunks()?;
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            message.body = self.take(length)?;
        }
        Ok(())
    }

    fn take(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..size).collect())
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = find(&self.buffer, b"\r\n") {
                    break at;
                }
                if self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(text.trim().split(';').next().unwrap_or("0"), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let chunk = self.take(size + 2)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Formats an answer with a body of a stated length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
