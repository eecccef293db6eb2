//! Stand-in for the platform's store and its API for reports and orders.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Wire,
    json::{Json, base64, parse},
};

#[derive(Clone, Debug)]
struct Row {
    table: String,
    key: String,
    value: String,
    version: u64,
    deleted: bool,
}

#[derive(Default)]
struct State {
    rows: Vec<Row>,
    version: u64,
}

impl State {
    fn find(&self, table: &str, key: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.table == table && row.key == key && !row.deleted)
    }

    fn apply(&mut self, table: &str, key: &str, value: Option<&str>) {
        let version = self.version;
        self.rows.retain(|row| row.table != table || row.key != key);
        self.rows.push(Row {
            table: table.to_owned(),
            key: key.to_owned(),
            value: value.unwrap_or_default().to_owned(),
            version,
            deleted: value.is_none(),
        });
    }
}

/// Store and API on loopback.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

fn row_json(row: &Row) -> String {
    let place = format!("\"table\":\"{}\",\"part\":\"\",\"key\":\"{}\"", row.table, row.key);
    if row.deleted {
        return format!("{{{place},\"row_version\":{},\"deleted\":true}}", row.version);
    }
    format!("{{{place},\"row_version\":{},\"value\":\"{}\"}}", row.version, row.value)
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
                at += 2;
            }
            b'+' => out.push(b' '),
            other => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
            started: Instant::now(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || drop(store.serve(Wire::new(stream))));
            }
        });
        store
    }

    /// Writes a row as the operator or a runner does, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("no poison");
        state.version += 1;
        let encoded = value.map(|text| base64(text.as_bytes()));
        state.apply(table, key, encoded.as_deref());
        changed.notify_all();
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis() + 1_000_000
    }

    fn serve(&self, mut wire: Wire) -> std::io::Result<()> {
        while let Some(head) = wire.read_head()? {
            let body = wire.read_body(&head, false)?;
            let target = head.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let value = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decode(value)).next()
            };
            let (status, text) = match path {
                "/rows-get" => (
                    200,
                    self.read(
                        &value("table").unwrap_or_default(),
                        &value("from").unwrap_or_default(),
                    ),
                ),
                "/rows-feed" => {
                    let number = |name| value(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                    let table = value("table").unwrap_or_default();
                    (200, self.feed(&table, number("after"), number("wait_ms")))
                }
                "/rows-tx" => parse(&body).map_or((400, String::new()), |body| self.commit(&body)),
                "/usage" | "/scaling" => (200, String::new()),
                _ => (404, String::new()),
            };
            wire.answer(status, "Content-Type: application/json\r\n", text.as_bytes())?;
        }
        Ok(())
    }

    fn rows_json(&self, rows: &[&Row], version: u64) -> String {
        let rows: Vec<String> = rows.iter().map(|row| row_json(row)).collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"row_version\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.now_ms()
        )
    }

    fn read(&self, table: &str, from: &str) -> String {
        let state = self.state.0.lock().expect("no poison");
        let mut rows: Vec<&Row> = state
            .rows
            .iter()
            .filter(|row| row.table == table && !row.deleted && row.key.as_str() >= from)
            .collect();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        self.rows_json(&rows, state.version)
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("no poison");
        loop {
            let mut rows: Vec<&Row> =
                state.rows.iter().filter(|row| row.table == table && row.version > after).collect();
            rows.sort_by_key(|row| row.version);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.rows_json(&rows, state.version);
            }
            state = changed.wait_timeout(state, left).expect("no poison").0;
        }
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("no poison");
        let place = |entry: &Json| {
            (entry.get("table").text().to_owned(), entry.get("key").text().to_owned())
        };
        let expected = body.get("expected_revision").list();
        let holds = expected.iter().all(|entry| {
            let (table, key) = place(entry);
            let version = state.find(&table, &key).map_or(0, |row| row.version);
            entry.get("row_version").number() == version
        });
        if !holds {
            let rows: Vec<&Row> = expected
                .iter()
                .filter_map(|entry| {
                    let (table, key) = place(entry);
                    state.find(&table, &key)
                })
                .collect();
            return (412, self.rows_json(&rows, state.version));
        }
        state.version += 1;
        for entry in body.get("set_keys").list() {
            let (table, key) = place(entry);
            let value = entry.get("value").text().to_owned();
            state.apply(&table, &key, Some(&value));
        }
        for entry in body.get("remove").list() {
            let (table, key) = place(entry);
            state.apply(&table, &key, None);
        }
        changed.notify_all();
        (200, format!("{{\"row_version\":{},\"now_ms\":{}}}", state.version, self.now_ms()))
    }
}
