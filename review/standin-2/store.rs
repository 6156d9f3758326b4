//! Stand-in of the platform's store: items with revisions, ranges and watches.

use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, answer};

/// Items in one page at most.
const PAGE: usize = 500;

struct Item {
    revision: u64,
    created: u64,
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
}

/// A running store; clones refer to the same one.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: String,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the store's port");
        let address = listener.local_addr().expect("the store's address").to_string();
        let state =
            Arc::new((Mutex::new(State { revision: 100, ..State::default() }), Condvar::new()));
        let store = Self { state, address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item and returns its revision. The store has accepted it when this returns.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(value.as_bytes().to_vec()))
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).filter(|item| item.value.is_some());
        let created = created.map_or(revision, |item| item.created);
        state.items.insert(key.to_owned(), Item { revision, created, value });
        changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let body = match request.path() {
                "/-/kv-range" => Some(self.range(&request)),
                "/-/kv-watch" => Some(self.watch(&request)),
                _ => None,
            };
            let bytes = match body {
                Some(body) => {
                    answer("200 OK", &[("Content-Type", "application/json")], body.as_bytes())
                }
                None => answer("404 Not Found", &[], b""),
            };
            if connection.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn range(&self, request: &Message) -> String {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let found: Vec<String> = state
            .items
            .iter()
            .filter(|(key, item)| key.starts_with(&prefix) && **key > after && item.value.is_some())
            .map(|(key, item)| item_text(key, item))
            .collect();
        let page = &found[..found.len().min(PAGE)];
        format!(
            r#"{{"items":[{}],"truncated":{},"store_revision":{}}}"#,
            page.join(","),
            found.len() > PAGE,
            state.revision
        )
    }

    fn watch(&self, request: &Message) -> String {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let wait_ms = number("wait_ms").unwrap_or(0).min(30_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let mut newer: Vec<(&String, &Item)> = state
                .items
                .iter()
                .filter(|(key, item)| key.starts_with(&prefix) && item.revision > after)
                .collect();
            newer.sort_by_key(|(_, item)| item.revision);
            let left = until.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                let events: Vec<String> =
                    newer.into_iter().map(|(key, item)| item_text(key, item)).collect();
                return format!(
                    r#"{{"events":[{}],"store_revision":{}}}"#,
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    let Item { revision, created, value } = item;
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","rev":{revision},"create_revision":{created},"lease":0}}"#,
            base64(value)
        ),
        None => format!(r#"{{"key":"{key}","rev":{revision},"deleted":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut block = [0u8; 3];
        block[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, block[0], block[1], block[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}
