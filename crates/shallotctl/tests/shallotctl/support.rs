//! Helpers that run `shallotctl` and fake the operator port of an entry.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::thread;

/// Output and exit code of a `shallotctl` run.
pub struct Run {
    pub stdout: String,
    pub stderr: String,
    pub code: i32,
}

/// Runs `shallotctl` and waits for its exit.
pub fn shallotctl(args: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_shallotctl")).args(args).output().expect("run");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    Run {
        stdout: text(output.stdout),
        stderr: text(output.stderr),
        code: output.status.code().expect("exit code"),
    }
}

/// Fake operator port of an entry that returns the given answers in turn, then repeats the last.
pub struct FakeEntry {
    address: SocketAddr,
}

impl FakeEntry {
    pub fn with_answers(answers: &[&str]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let answers: Vec<String> = answers.iter().map(ToString::to_string).collect();
        thread::spawn(move || {
            for (index, connection) in listener.incoming().enumerate() {
                let answer = &answers[index.min(answers.len() - 1)];
                answer_request(connection.expect("connection"), answer);
            }
        });
        Self { address }
    }

    pub fn address(&self) -> String {
        self.address.to_string()
    }
}

/// Answers one request; with status 401 unless it carries the token `sesame`.
fn answer_request(mut connection: TcpStream, body: &str) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if connection.read_exact(&mut byte).is_err() {
            return;
        }
        head.extend(byte);
    }
    let request = String::from_utf8_lossy(&head).to_lowercase();
    let allowed = request.contains("authorization: bearer sesame");
    let (status, body) = if allowed { ("200 OK", body) } else { ("401 Unauthorized", "") };
    let length = body.len();
    let _ = write!(
        connection,
        "HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
}

/// Writes a file to the directory for temporary test files and returns its path.
pub fn write_file(name: &str, content: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, content).expect("write");
    path
}
