//! A sound stand-in of the platform's store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json;
use crate::json::encode_base64;
use crate::json::Value;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// Contents of the store.
#[derive(Clone, Default)]
pub struct State {
    /// Number of the returns to an older copy.
    era: u64,
    /// Whether connections are closed without an answer.
    is_away: bool,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change: revision, key, and the item as it was written.
    history: Vec<(u64, String, Option<Item>)>,
    lease: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }
}

fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if c < ' ' => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

fn show(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":{},"value":"{}","revision":{},"created":{},"lease":{}}}"#,
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((byte, tail)) = rest.split_first() {
        rest = tail;
        match byte {
            b'%' if tail.len() >= 2 => {
                let digits = std::str::from_utf8(&tail[..2]).unwrap_or("3f");
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                rest = &tail[2..];
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(*other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn parameter(path: &str, name: &str) -> Option<String> {
    let query = path.split_once('?')?.1;
    let pair = query.split('&').find_map(|pair| pair.split_once('=').filter(|(n, _)| *n == name));
    pair.map(|(_, value)| decode(value))
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let address = listener.local_addr().expect("an address");
        let state = State { revision: 100, ..State::default() };
        let store = Store { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// The contents as they are now.
    pub fn copy(&self) -> State {
        self.state.0.lock().unwrap().clone()
    }

    /// Closes connections without an answer from now on.
    pub fn go_away(&self) {
        self.state.0.lock().unwrap().is_away = true;
    }

    /// Comes back from an older copy: what was written since is gone, and its revisions are given out
    /// again. Leases of the copy begin anew.
    pub fn come_back(&self, copy: &State) {
        let mut state = self.state.0.lock().unwrap();
        let era = state.era + 1;
        *state = State { era, is_away: false, ..copy.clone() };
        for (ttl, end) in state.leases.values_mut() {
            *end = Instant::now() + *ttl;
        }
        self.state.1.notify_all();
    }

    /// Writes as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, encode_base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    pub fn keys(&self) -> Vec<String> {
        self.state.0.lock().unwrap().items.keys().cloned().collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(message)) = http::read(&mut reader) {
            let (is_away, era) = {
                let state = self.state.0.lock().unwrap();
                (state.is_away, state.era + 1)
            };
            if is_away {
                return;
            }
            let (status, body) = self.answer(&message);
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if writer.write_all(&http::reply(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, message: &Message) -> (u16, String) {
        let path = message.path();
        let (name, id) = path.split('?').next().unwrap_or("").rsplit_once('/').unwrap_or(("", ""));
        let id: u64 = id.parse().unwrap_or(0);
        let body = json::parse(&message.body).unwrap_or(Value::Null);
        if path.starts_with("/v1/kv-watch") {
            return self.watch(path);
        }
        let mut state = self.state.0.lock().unwrap();
        state.expire();
        let answer = if path.starts_with("/v1/kv-key") {
            let key = parameter(path, "key").unwrap_or_default();
            match state.items.get(&key) {
                Some(item) => (200, show(&key, item)),
                None => (404, "{}".to_owned()),
            }
        } else if path.starts_with("/v1/kv-range") {
            let prefix = parameter(path, "prefix").unwrap_or_default();
            let after = parameter(path, "after");
            let found = state.items.iter().filter(|(key, _)| {
                key.starts_with(&prefix) && after.as_ref().is_none_or(|after| *key > after)
            });
            let found: Vec<String> = found.map(|(key, item)| show(key, item)).collect();
            let more = found.len() > 500;
            let items = found[..found.len().min(500)].join(",");
            let as_of = state.revision;
            (200, format!(r#"{{"items":[{items}],"hasMore":{more},"asOf":{as_of}}}"#))
        } else if path == "/v1/kv-txn" {
            transact(&mut state, &body)
        } else if path == "/v1/kv-lease" {
            let ttl = body.number("ttlMs").unwrap_or(1_000).clamp(1_000, 600_000);
            state.lease += 1;
            let (lease, span) = (state.lease, Duration::from_millis(ttl));
            state.leases.insert(lease, (span, Instant::now() + span));
            (200, format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
        } else if name == "/v1/kv-keep" {
            match state.leases.get_mut(&id) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    (200, format!(r#"{{"lease":{id},"ttlMs":{}}}"#, ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            }
        } else if name == "/v1/kv-lease-end" {
            state.end_lease(id);
            (200, "{}".to_owned())
        } else {
            (404, "{}".to_owned())
        };
        drop(state);
        self.state.1.notify_all();
        answer
    }

    fn watch(&self, path: &str) -> (u16, String) {
        let prefix = parameter(path, "prefix").unwrap_or_default();
        let after: u64 = parameter(path, "after").and_then(|a| a.parse().ok()).unwrap_or(0);
        let wait = parameter(path, "waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        if after > state.revision {
            return (410, "{}".to_owned());
        }
        loop {
            state.expire();
            let changes =
                state.history.iter().filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
            let events: Vec<String> = changes
                .map(|(revision, key, item)| match item {
                    Some(item) => show(key, item),
                    None => format!(
                        r#"{{"key":{},"revision":{revision},"tombstone":true}}"#,
                        quote(key)
                    ),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = state.revision;
                return (200, format!(r#"{{"events":[{}],"asOf":{as_of}}}"#, events.join(",")));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn transact(state: &mut State, body: &Value) -> (u16, String) {
    let expected = body.list("expectRev");
    let holds = |row: &Value| {
        let revision =
            row.text("key").and_then(|key| state.items.get(key)).map_or(0, |i| i.revision);
        row.number("revision") == Some(revision)
    };
    if !expected.iter().all(holds) {
        let keys = expected.iter().filter_map(|row| row.text("key"));
        let items: Vec<String> =
            keys.filter_map(|k| state.items.get(k).map(|item| show(k, item))).collect();
        return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
    }
    let lease = |put: &Value| put.number("lease").unwrap_or(0);
    let puts = body.list("puts");
    if puts.iter().any(|put| lease(put) != 0 && !state.leases.contains_key(&lease(put))) {
        return (404, "{}".to_owned());
    }
    let keys = puts.iter().filter_map(|put| put.text("key"));
    if keys.clone().any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
        return (403, "{}".to_owned());
    }
    let removed: Vec<&str> = body
        .list("remove")
        .iter()
        .filter_map(|key| match key {
            Value::Text(key) => Some(key.as_str()),
            _ => None,
        })
        .collect();
    if !puts.is_empty() || !removed.is_empty() {
        state.revision += 1;
    }
    for put in puts {
        let value = put.text("value").unwrap_or("").to_owned();
        state.put(put.text("key").unwrap_or(""), value, lease(put));
    }
    removed.iter().for_each(|key| state.remove(key));
    (200, format!(r#"{{"revision":{}}}"#, state.revision))
}
