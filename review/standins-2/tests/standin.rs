//! Stand-ins for the scripts of this review: the platform's store, its API for duties, a runner, a client, and the nodes under
//! test. Only the standard library is used.
#![allow(dead_code, reason = "each script uses a part")]

use std::{
    collections::BTreeMap,
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The case could not run.
pub const COULD_NOT_RUN: i32 = 2;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

// ---------------------------------------------------------------- record

/// Record of what was sent, answered and run, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).unwrap_or_else(|error| {
            eprintln!("{}: {error}", path.display());
            std::process::exit(COULD_NOT_RUN);
        });
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.started.elapsed().as_millis());
        drop(lock(&self.file).write_all(line.as_bytes()));
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

// ---------------------------------------------------------------- JSON

/// JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = JsonParser { bytes: text.as_bytes(), at: 0 };
        parser.value()
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn encode(&self) -> String {
        match self {
            Self::Null => "null".to_owned(),
            Self::Bool(value) => value.to_string(),
            Self::Number(number) => format!("{number}"),
            Self::Text(text) => quote(text),
            Self::List(list) => {
                let parts: Vec<String> = list.iter().map(Self::encode).collect();
                format!("[{}]", parts.join(","))
            }
            Self::Object(fields) => {
                let parts: Vec<String> = fields
                    .iter()
                    .map(|(key, value)| format!("{}:{}", quote(key), value.encode()))
                    .collect();
                format!("{{{}}}", parts.join(","))
            }
        }
    }
}

/// Text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(c);
            }
            c if u32::from(c) < 32 => quoted.push_str(&format!("\\u{:04x}", u32::from(c))),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

struct JsonParser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl JsonParser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.skip();
                    let key = self.string()?;
                    self.take(b':')?;
                    fields.insert(key, self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Object(fields));
                    }
                }
            }
            _ => {
                let from = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[from..self.at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let c = char::from_u32(code.ok()?)?;
                            bytes.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

/// Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(*chunk.get(index).unwrap_or(&0));
        let bits = (at(0) << 16) | (at(1) << 8) | at(2);
        for place in 0..4 {
            if place <= chunk.len() {
                let digit = (bits >> (18 - 6 * place)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

/// Request or response as received.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Parameter of the query, with its escapes resolved.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pair = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })?;
        Some(unescape(pair))
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut plain, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("00");
                plain.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                at += 2;
            }
            b'+' => plain.push(b' '),
            other => plain.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Reads the head of a message. `None` at the end of the connection before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message =
        Message { line: line.trim_end().to_owned(), headers: Vec::new(), body: Vec::new() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a whole message whose body has a length or chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let reason = match status {
        200 => "OK",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut bytes = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves each connection of a listener on a thread of its own.
fn serve(
    listener: TcpListener,
    handle: impl Fn(&mut TcpStream, Message) -> io::Result<()> + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                drop(stream.set_nodelay(true));
                let Ok(read) = stream.try_clone() else { return };
                let mut reader = BufReader::new(read);
                while let Ok(Some(message)) = read_message(&mut reader) {
                    if handle(&mut stream, message).is_err() {
                        break;
                    }
                }
                drop(stream.shutdown(Shutdown::Both));
            });
        }
    });
}

/// Free TCP port that is free for UDP too. Below those that the kernel gives to connections, which could take it before the
/// node does.
pub fn free_port() -> u16 {
    static TRIED: AtomicU64 = AtomicU64::new(0);
    let salt = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_micros() as u64);
    for _ in 0..1_000 {
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        let mixed = (salt / 1_000 + u64::from(std::process::id()) * 7_919 + tried) * 104_729;
        let port = u16::try_from(10_000 + mixed % 20_000).unwrap_or(10_000);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
    eprintln!("no free port");
    std::process::exit(COULD_NOT_RUN);
}

// ---------------------------------------------------------------- store

#[derive(Clone, Debug)]
struct Row {
    table: String,
    key: String,
    /// Base64. `None` if it was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct StoreState {
    /// In the order of their versions.
    rows: Vec<Row>,
    version: u64,
}

/// The platform's metadata store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store");
        let address = listener.local_addr().expect("store");
        let store = Self { address, state: Arc::default(), started: Instant::now() };
        let served = store.clone();
        serve(listener, move |stream, request| served.answer(stream, &request));
        store
    }

    /// Writes a row as the operator or a runner does. Returns its version.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = lock(state);
        state.version += 1;
        let version = state.version;
        state.rows.retain(|row| row.table != table || row.key != key);
        let value = value.map(|text| base64(text.as_bytes()));
        state.rows.push(Row { table: table.to_owned(), key: key.to_owned(), value, version });
        changed.notify_all();
        version
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis() + 10_000
    }

    fn encode_rows(rows: &[Row]) -> String {
        let parts: Vec<String> = rows
            .iter()
            .map(|row| {
                let value = match &row.value {
                    Some(value) => format!("\"value\":{}", quote(value)),
                    None => "\"deleted\":true".to_owned(),
                };
                let (table, key) = (quote(&row.table), quote(&row.key));
                format!(
                    "{{\"table\":{table},\"part\":\"\",\"key\":{key},{value},\"row_version\":{}}}",
                    row.version
                )
            })
            .collect();
        format!("[{}]", parts.join(","))
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let (status, body) = match (request.method(), request.path()) {
            ("POST", "/rows-tx") => self.transact(&request.body_text()),
            ("GET", "/rows-get") => self.read(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => (404, "{}".to_owned()),
        };
        let json = [("Content-Type", "application/json".to_owned())];
        write_response(stream, status, &json, body.as_bytes())
    }

    fn read(&self, request: &Message) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let state = lock(&self.state.0);
        let mut rows: Vec<Row> = state
            .rows
            .iter()
            .filter(|row| row.table == table && row.value.is_some() && row.key >= from)
            .cloned()
            .collect();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        let more = rows.len() > 500;
        rows.truncate(500);
        let body = format!(
            "{{\"rows\":{},\"has_more\":{more},\"row_version\":{},\"now_ms\":{}}}",
            Self::encode_rows(&rows),
            state.version,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, request: &Message) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let (state, changed) = &*self.state;
        let mut state = lock(state);
        loop {
            let rows: Vec<Row> = state
                .rows
                .iter()
                .filter(|row| row.table == table && row.version > after)
                .cloned()
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"rows\":{},\"has_more\":false,\"row_version\":{},\"now_ms\":{}}}",
                    Self::encode_rows(&rows),
                    state.version,
                    self.now_ms()
                );
                return (200, body);
            }
            let waited = changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let entries = |name: &str| call.get(name).map(Json::list).unwrap_or_default().to_vec();
        let place = |entry: &Json| {
            let text = |name: &str| entry.get(name).and_then(Json::text).unwrap_or("").to_owned();
            (text("table"), text("key"))
        };
        let (state, changed) = &*self.state;
        let mut state = lock(state);
        let mut named = Vec::new();
        let mut holds = true;
        for entry in entries("expected_revision") {
            let (table, key) = place(&entry);
            let found = state
                .rows
                .iter()
                .find(|row| row.table == table && row.key == key && row.value.is_some());
            let version = found.map_or(0, |row| row.version);
            let expected = entry.get("row_version").and_then(Json::number).unwrap_or(0.0);
            holds &= version as f64 == expected;
            named.extend(found.cloned());
        }
        let now_ms = self.now_ms();
        if !holds {
            let rows = Self::encode_rows(&named);
            let version = state.version;
            let body = format!("{{\"rows\":{rows},\"row_version\":{version},\"now_ms\":{now_ms}}}");
            return (412, body);
        }
        let writes: Vec<(Json, bool)> = entries("set_keys")
            .into_iter()
            .map(|entry| (entry, true))
            .chain(entries("remove").into_iter().map(|entry| (entry, false)))
            .collect();
        if writes.iter().any(|(entry, _)| ["op", "servers"].contains(&place(entry).0.as_str())) {
            return (403, "{}".to_owned());
        }
        state.version += 1;
        let version = state.version;
        for (entry, is_set) in writes {
            let (table, key) = place(&entry);
            let value = entry.get("value").and_then(Json::text).map(str::to_owned);
            state.rows.retain(|row| row.table != table || row.key != key);
            let value = value.filter(|_| is_set);
            state.rows.push(Row { table, key, value, version });
        }
        changed.notify_all();
        (200, format!("{{\"row_version\":{version},\"now_ms\":{now_ms}}}"))
    }
}

// ---------------------------------------------------------------- API for duties

/// Call of a duty.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: Json,
}

/// The platform's API for duties. It accepts every call.
#[derive(Clone)]
pub struct DutyApi {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<DutyCall>>>,
}

impl DutyApi {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("api");
        let address = listener.local_addr().expect("api");
        let api = Self { address, calls: Arc::default() };
        let (calls, record) = (Arc::clone(&api.calls), record.clone());
        serve(listener, move |stream, request| {
            let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
            let call = DutyCall {
                path: request.path().to_owned(),
                holder: header("x-duty-holder"),
                fence: header("x-fencing-token").parse().unwrap_or(0),
                body: Json::parse(&request.body_text()).unwrap_or(Json::Null),
            };
            record.line(&format!(
                "platform accepts {} of {} with token {}: {}",
                call.path,
                call.holder,
                call.fence,
                request.body_text()
            ));
            lock(&calls).push(call);
            write_response(stream, 200, &[], b"")
        });
        api
    }

    pub fn calls(&self) -> Vec<DutyCall> {
        lock(&self.calls).clone()
    }
}

// ---------------------------------------------------------------- runner

/// How a runner answers.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// A plain answer after this time.
    Plain(Duration),
    /// A stream of so many events, one after each pause.
    Stream(u32, Duration),
}

/// What a runner did for a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub began: Instant,
    /// Time of the end, and whether the whole answer was written.
    pub ended: Option<(Instant, bool)>,
}

/// Runner that registers in the store. It serves until the program ends.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Runner {
    /// Starts runner `id` of `service`. `work_of` tells by the path what a request takes.
    pub fn start(
        store: &Store,
        record: &Record,
        (id, service, zone): (&str, &str, &str),
        work_of: impl Fn(&str) -> Work + Clone + Send + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("runner");
        let address = listener.local_addr().expect("runner");
        let runner = Self { id: id.to_owned(), address, runs: Arc::default() };
        let (served, noted) = (runner.clone(), record.clone());
        serve(listener, move |stream, request| {
            let work = work_of(request.path());
            served.answer(stream, &request, work, &noted)
        });
        let (store, id) = (store.clone(), id.to_owned());
        let (service, zone) = (service.to_owned(), zone.to_owned());
        thread::spawn(move || {
            for sequence in 1_u64.. {
                let entry = format!(
                    "{{\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"v1\",\
                     \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
                    quote(&service),
                    quote(&zone)
                );
                store.write("servers", &id, Some(&entry));
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        runner
    }

    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    pub fn find(&self, attempt: &str) -> Option<Run> {
        lock(&self.runs).iter().find(|run| run.attempt == attempt).cloned()
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        work: Work,
        record: &Record,
    ) -> io::Result<()> {
        let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
        if request.path() == "/healthz" {
            return write_response(stream, 200, &[("X-Instance-Id", self.id.clone())], b"");
        }
        let mut headers = vec![("X-Attempt-Id", attempt.clone())];
        if request.header("x-expected-instance").is_some_and(|id| id != self.id) {
            headers.push(("X-Instance-Id", self.id.clone()));
            return write_response(stream, 421, &headers, b"");
        }
        let number = {
            let mut runs = lock(&self.runs);
            runs.push(Run { attempt: attempt.clone(), began: Instant::now(), ended: None });
            runs.len() - 1
        };
        record.line(&format!("runner {} runs {attempt}", self.id));
        headers.push(("X-Response-Signature", format!("sig.{attempt}")));
        let written = match work {
            Work::Plain(time) => {
                thread::sleep(time);
                write_response(stream, 200, &headers, format!("answer to {attempt}").as_bytes())
            }
            Work::Stream(events, pause) => write_stream(stream, &headers, events, pause),
        };
        let whole = written.is_ok();
        lock(&self.runs)[number].ended = Some((Instant::now(), whole));
        let end = if whole { "has written the whole answer" } else { "was broken off" };
        record.line(&format!("runner {}: {attempt} {end}", self.id));
        written
    }
}

fn write_stream(
    stream: &mut TcpStream,
    headers: &[(&str, String)],
    events: u32,
    pause: Duration,
) -> io::Result<()> {
    let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n"
        .to_owned();
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    for id in 1..=events {
        thread::sleep(pause);
        // A closed connection ends the work.
        let mut probe = [0; 1];
        stream.set_nonblocking(true)?;
        let is_closed = matches!(stream.peek(&mut probe), Ok(0));
        stream.set_nonblocking(false)?;
        if is_closed {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let event = format!("id: {id}\ndata: piece {id} of {events}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

// ---------------------------------------------------------------- client

/// Request of a client.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
}

/// How a client's request ended.
#[derive(Clone, Debug)]
pub struct Reply {
    /// 0 if no head came.
    pub status: u16,
    /// Whether the whole answer came.
    pub complete: bool,
    pub body: String,
    pub took: Duration,
}

/// Connection of a client, which it keeps.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn ask(&mut self, ask: &Ask<'_>) -> Reply {
        let sent_at = Instant::now();
        let wait = Duration::from_millis(ask.deadline_ms);
        drop(self.stream.set_read_timeout(Some(wait)));
        let request = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Api-Key: {}\r\n\
             X-Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
            ask.method, ask.path, ask.host, ask.attempt, ask.key, ask.deadline_ms
        );
        let mut reply =
            Reply { status: 0, complete: false, body: String::new(), took: Duration::ZERO };
        if self.stream.write_all(request.as_bytes()).is_ok() {
            let mut tee = Tee { reader: &mut self.reader, seen: Vec::new() };
            let read = read_message(&mut tee);
            let first = String::from_utf8_lossy(&tee.seen).into_owned();
            reply.status = first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
            if let Ok(Some(message)) = read {
                reply.status = message.status();
                reply.complete = true;
                reply.body = message.body_text();
            }
        }
        reply.took = sent_at.elapsed();
        reply
    }
}

/// Reader that keeps the first bytes.
struct Tee<'a, R> {
    reader: &'a mut R,
    seen: Vec<u8>,
}

impl<R: Read> Read for Tee<'_, R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.reader.read(buffer)
    }
}

impl<R: BufRead> BufRead for Tee<'_, R> {
    fn fill_buf(&mut self) -> io::Result<&[u8]> {
        self.reader.fill_buf()
    }

    fn consume(&mut self, amount: usize) {
        if self.seen.len() < 64
            && let Ok(bytes) = self.reader.fill_buf()
        {
            let bytes = bytes[..amount.min(bytes.len())].to_vec();
            self.seen.extend_from_slice(&bytes);
        }
        self.reader.consume(amount);
    }
}

// ---------------------------------------------------------------- nodes

/// Node under test.
pub struct Node {
    pub name: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

/// Nodes of a small deployment, in a temporary folder that is removed at the end.
pub struct Fleet {
    pub folder: PathBuf,
    pub nodes: Vec<Node>,
}

impl Fleet {
    /// Starts `count` nodes in turn in the zones `zones`, with the bounds of the pages.
    pub fn start(count: usize, zones: &[&str], store: &Store, api: &DutyApi) -> Self {
        let unique = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_nanos());
        let name = format!("samphiredeck-review-{}-{unique}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("temporary folder");
        let program = std::env::current_dir().expect("folder").join("target/release/samphiredeck");
        if !program.exists() {
            eprintln!("{} is missing: build the deploy file first", program.display());
            std::process::exit(COULD_NOT_RUN);
        }
        let mut fleet = Self { folder, nodes: Vec::new() };
        for number in 0..count {
            let zone = zones[number % zones.len()];
            let name = format!("edge-{zone}-{}", number / zones.len() + 1);
            let address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
            let (caller, ready, metrics, peer) = (address(), address(), address(), address());
            let settings = fleet.folder.join(format!("{name}.json"));
            let text = format!(
                "{{\"node\":{{\"name\":\"{name}\",\"domain\":\"{zone}\"}},\
                 \"listen\":{{\"caller\":\"{caller}\",\"ready\":\"{ready}\",\
                 \"metrics\":\"{metrics}\",\"peer\":\"{peer}\"}},\
                 \"platform\":{{\"store\":\"{}\",\"orders\":\"{}\"}},\
                 \"limits\":{{\"memory_mb\":260}},\
                 \"bounds\":{{\"revoke\":\"5000ms\",\"grace\":\"8s\",\"lease\":\"3000ms\",\
                 \"usage_window\":\"5s\",\"usage_due\":\"10s\",\"repeat_window\":\"10s\",\
                 \"repeat_ratio\":0.2,\"repeat_extra\":58,\"quota_overage\":0.1,\
                 \"quota_slack\":140000,\"quota_window\":\"8s\"}}}}",
                store.address, api.address
            );
            fs::write(&settings, text).expect("settings");
            let program = program.clone();
            let mut node = Node { name, caller, ready, settings, program, child: None };
            node.start();
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Waits until all nodes report themselves ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.nodes.iter().all(Node::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs in {}", self.folder.display());
        } else {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

impl Node {
    /// Starts the process as the deploy file does.
    pub fn start(&mut self) {
        let log = self.settings.with_extension("log");
        let open = || fs::OpenOptions::new().create(true).append(true).open(&log).expect("log");
        let child = Command::new(&self.program)
            .arg("forward")
            .arg(&self.settings)
            .env("SAMPHIREDECK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(open())
            .stderr(open())
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            // Unwinding ends the nodes that run already.
            Err(error) => panic!("{}: {error}", self.program.display()),
        }
    }

    pub fn is_ready(&self) -> bool {
        let probe = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: node\r\n\r\n")?;
            let answer = read_message(&mut BufReader::new(stream))?;
            Ok(answer.map_or(0, |answer| answer.status()))
        };
        probe().is_ok_and(|status| status == 200)
    }

    /// Replaces `from` by `to` in the settings file.
    pub fn change_settings(&self, from: &str, to: &str) {
        let text = fs::read_to_string(&self.settings).expect("settings");
        assert!(text.contains(from), "{from} is not in the settings");
        fs::write(&self.settings, text.replace(from, to)).expect("settings");
    }

    /// Output of all runs of the node.
    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    /// Sends the signal `name` to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            drop(Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status());
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Waits for the end of the process. Returns whether it ended within `limit`.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            match self.child.as_mut().map(Child::try_wait) {
                None | Some(Ok(Some(_))) => {
                    self.child = None;
                    return true;
                }
                Some(_) => thread::sleep(Duration::from_millis(10)),
            }
        }
        false
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(None)))
    }
}

/// Numbers for attempt ids.
pub fn next_attempt() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let salt = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.subsec_nanos());
    format!("{:08x}{:08x}", salt, NEXT.fetch_add(1, Ordering::Relaxed))
}
