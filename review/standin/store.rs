//! Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store").

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, base64, percent_decode, query_value};
use crate::record::Record;

const PAGE_ITEMS: usize = 50;

#[derive(Default)]
struct Items {
    revision: u64,
    /// Revision of the last change and, unless the item was deleted, its value.
    items: BTreeMap<String, (u64, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Items>, Condvar)>,
    record: Arc<Record>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let items = Items { revision: 100, ..Items::default() };
        let shared = Arc::new((Mutex::new(items), Condvar::new()));
        let store = Self { shared, record: Arc::clone(record), address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes an item; returns when the store has accepted it, which is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.to_owned()));
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (items, changed) = &*self.shared;
        let mut items = items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        let what = if value.is_some() { "put" } else { "delete" };
        items.items.insert(key.to_owned(), (revision, value));
        drop(items);
        self.record.write(&format!("store {what} {key} revision {revision}: acknowledged"));
        changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        let _ = connection.stream.set_nodelay(true);
        while let Ok(Some(head)) = connection.read_head() {
            let target = head.start.split(' ').nth(1).unwrap_or_default().to_owned();
            let path = target.split('?').next().unwrap_or_default();
            let body = match path {
                "/-/kv-range" => self.range(&target),
                "/-/kv-watch" => self.watch(&target),
                _ => String::new(),
            };
            let status = if body.is_empty() { "404 Not Found" } else { "200 OK" };
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, target: &str) -> String {
        let field = |name| query_value(target, name).map(percent_decode).unwrap_or_default();
        let (prefix, after) = (field("prefix"), field("after"));
        let items = self.shared.0.lock().unwrap();
        let found: Vec<String> = items
            .items
            .iter()
            .filter(|(key, (_, value))| {
                key.starts_with(&prefix) && **key > after && value.is_some()
            })
            .map(|(key, (revision, value))| item(key, *revision, value.as_deref()))
            .collect();
        let truncated = found.len() > PAGE_ITEMS;
        let page: Vec<String> = found.into_iter().take(PAGE_ITEMS).collect();
        format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"store_revision\":{}}}",
            page.join(","),
            items.revision
        )
    }

    fn watch(&self, target: &str) -> String {
        let prefix = query_value(target, "prefix").map(percent_decode).unwrap_or_default();
        let number =
            |name| query_value(target, name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait_ms): (u64, u64) = (number("after"), number("wait_ms"));
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let (items, changed) = &*self.shared;
        let mut items = items.lock().unwrap();
        loop {
            let mut newer: Vec<_> = items
                .items
                .iter()
                .filter(|(key, (revision, _))| key.starts_with(&prefix) && *revision > after)
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                newer.sort_by_key(|(_, (revision, _))| *revision);
                let events: Vec<String> = newer
                    .into_iter()
                    .map(|(key, (revision, value))| item(key, *revision, value.as_deref()))
                    .collect();
                return format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    items.revision
                );
            }
            items = changed.wait_timeout(items, left).unwrap().0;
        }
    }
}

fn item(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{revision},\"create_revision\":{revision},\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"deleted\":true}}"),
    }
}
