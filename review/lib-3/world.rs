//! Stand-ins for the platform of a small deployment: the metadata store, the service for machines and the minions, as
//! PROTOCOL.md describes them, and helpers for clients and for node processes. Only the standard library is used.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "jobs.example";
pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const APPEND_TIME: Duration = Duration::from_millis(4);
const MAX_LOCK_MS: u64 = 10_000;
const SAVE_MS: u64 = 500;
const RESTORE_MS: u64 = 100;
const STOP_MS: u64 = 200;
const MOST_ENDS: usize = 500;
const GANG_WAIT: Duration = Duration::from_millis(3_000);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with the time since the start of the script.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("the record can be written");
        Arc::new(Self { file: Mutex::new(file), began: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:9.3} {text}");
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut p = Parser { text, at: 0 };
        p.value()
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key) {
            Some(Json::Str(s)) => Some(s),
            _ => None,
        }
    }

    pub fn num(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Json::Num(n)) => Some(*n as u64),
            _ => None,
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.text.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.text.get(self.at..end)? == word.as_bytes()).then(|| self.at = end)?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.text.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.eat(b'}').is_some() {
                    return Some(Json::Obj(fields));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.eat(b':')?;
                    fields.push((key, self.value()?));
                    if self.eat(b'}').is_some() {
                        return Some(Json::Obj(fields));
                    }
                    self.eat(b',')?;
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.eat(b']').is_some() {
                    return Some(Json::Arr(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.eat(b']').is_some() {
                        return Some(Json::Arr(items));
                    }
                    self.eat(b',')?;
                }
            }
            b'"' => self.string().map(Json::Str),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            bytes.extend(c.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let b = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

pub enum Answer {
    Json(u16, String),
    Raw(u16, Vec<u8>),
    /// The connection says nothing further.
    Silence,
}

type Handler = Arc<dyn Fn(&Request) -> Answer + Send + Sync>;

fn decode_query(text: &str) -> String {
    let (mut out, bytes) = (Vec::new(), text.as_bytes());
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[i + 1..i + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut parts = line.split_whitespace();
    let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(k, v)| (k.to_owned(), decode_query(v))).collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn write_answer(stream: &mut TcpStream, status: u16, kind: &str, body: &[u8]) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} x\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut all = head.into_bytes();
    all.extend(body);
    stream.write_all(&all)
}

/// Serves HTTP/1.1 on a free port of the loopback address.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let small = thread::Builder::new().stack_size(256 * 1024);
            let _ = small.spawn(move || connection(stream, &handler));
        }
    });
    addr
}

fn connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let written = match handler(&request) {
            Answer::Json(status, body) => {
                write_answer(&mut writer, status, "application/json", body.as_bytes())
            }
            Answer::Raw(status, body) => {
                write_answer(&mut writer, status, "application/octet-stream", &body)
            }
            Answer::Silence => {
                // Open and silent until the other side closes the connection.
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                return;
            }
        };
        if written.is_err() {
            return;
        }
    }
}

/// Makes one request on a connection of its own.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout).map_err(|e| e.to_string())?;
    let _ = stream.set_read_timeout(Some(timeout));
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).map_err(|e| e.to_string())?;
    let mut all = Vec::new();
    stream.read_to_end(&mut all).map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&all).into_owned();
    let status = text.split_whitespace().nth(1).and_then(|s| s.parse().ok()).ok_or("no answer")?;
    let body = text.split_once("\r\n\r\n").map(|(_, b)| b.to_owned()).unwrap_or_default();
    Ok((status, body))
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Writer {
    epoch: u64,
    last: Option<u64>,
    answers: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Partition {
    /// The raw records: the length of the key, the key and the value.
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    writers: HashMap<String, Writer>,
}

impl Partition {
    fn append(&mut self, raw: Vec<u8>) {
        let offset = self.records.len() as u64;
        let key_len = usize::from(raw.first().copied().unwrap_or(0));
        if raw.len() > key_len {
            let key = String::from_utf8_lossy(&raw[1..=key_len]).into_owned();
            let value = raw[key_len + 1..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, value));
            }
        }
        self.records.push(raw);
    }
}

#[derive(Default)]
pub struct Store {
    partitions: Mutex<HashMap<(String, u32), Partition>>,
    changed: Condvar,
}

impl Store {
    /// Writes a record as the operator or a minion does; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut raw = vec![key.len() as u8];
        raw.extend(key.as_bytes());
        raw.extend(value.as_bytes());
        let id = (format!("keyed.{topic}"), 0);
        lock(&self.partitions).entry(id).or_default().append(raw);
        self.changed.notify_all();
    }

    pub fn serve(self: &Arc<Self>) -> SocketAddr {
        let store = self.clone();
        serve(Arc::new(move |request| store.answer(request)))
    }

    fn answer(&self, request: &Request) -> Answer {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let part = request.query.get("part").and_then(|p| p.parse().ok()).unwrap_or(0);
        match request.path.as_str() {
            "/thistlelanding/log-append" => self.append(request, (topic, part)),
            "/thistlelanding/log-read" => self.read(request, (topic, part)),
            "/thistlelanding/log-newest" => self.newest(request, (topic, part)),
            _ => Answer::Json(400, "{}".to_owned()),
        }
    }

    fn append(&self, request: &Request, id: (String, u32)) -> Answer {
        if id.0 == "keyed.servers" {
            return Answer::Json(403, "{}".to_owned());
        }
        let mut records = Vec::new();
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if len > RECORD_BYTES || rest.len() < 4 + len {
                return Answer::Json(413, "{}".to_owned());
            }
            records.push(rest[4..4 + len].to_vec());
            rest = &rest[4 + len..];
        }
        if request.body.len() > CALL_BYTES {
            return Answer::Json(413, "{}".to_owned());
        }
        thread::sleep(APPEND_TIME);
        let number = |name: &str| request.query.get(name).and_then(|v| v.parse::<u64>().ok());
        let mut partitions = lock(&self.partitions);
        let partition = partitions.entry(id).or_default();
        let end = partition.records.len() as u64;
        if number("at").is_some_and(|at| at != end) {
            return Answer::Json(412, format!("{{\"end\":{end}}}"));
        }
        let done = (end, end + records.len() as u64);
        if let (Some(name), Some(epoch), Some(sequence)) =
            (request.query.get("producer"), number("epoch"), number("sequence"))
        {
            let writer = partition.writers.entry(name.clone()).or_default();
            if epoch < writer.epoch {
                return Answer::Json(409, "{\"reason\":\"fenced\"}".to_owned());
            }
            if epoch > writer.epoch {
                *writer = Writer { epoch, ..Writer::default() };
            }
            if let Some((_, offset, end)) = writer.answers.iter().find(|a| a.0 == sequence) {
                return Answer::Json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
            }
            if let Some(wanted) = writer.last.map(|last| last + 1).filter(|w| *w != sequence) {
                let body = format!("{{\"reason\":\"seq\",\"sequence\":{wanted}}}");
                return Answer::Json(409, body);
            }
            writer.last = Some(sequence);
            writer.answers.push_back((sequence, done.0, done.1));
            if writer.answers.len() > 5 {
                writer.answers.pop_front();
            }
        }
        for record in records {
            partition.append(record);
        }
        drop(partitions);
        self.changed.notify_all();
        Answer::Json(200, format!("{{\"offset\":{},\"end\":{}}}", done.0, done.1))
    }

    fn read(&self, request: &Request, id: (String, u32)) -> Answer {
        let number = |name: &str| request.query.get(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let most = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        thread::sleep(Duration::from_millis(1));
        let mut partitions = lock(&self.partitions);
        loop {
            let records = partitions.get(&id).map_or(&[][..], |p| p.records.as_slice());
            let now = Instant::now();
            if records.len() > from || now >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.get(from..).unwrap_or_default() {
                    if body.len() > 16 && body.len() + record.len() > most {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Answer::Raw(200, body);
            }
            let (guard, _) = self
                .changed
                .wait_timeout(partitions, until - now)
                .unwrap_or_else(|e| e.into_inner());
            partitions = guard;
        }
    }

    fn newest(&self, request: &Request, id: (String, u32)) -> Answer {
        let after = request.query.get("dependsOn");
        let partitions = lock(&self.partitions);
        let Some(partition) = partitions.get(&id) else {
            return Answer::Json(200, "{\"items\":[],\"more\":false,\"end\":0}".to_owned());
        };
        let (mut items, mut more, mut size) = (Vec::new(), false, 0);
        for (key, (offset, value)) in &partition.newest {
            if after.is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() >= 500 || size > 1_000_000 {
                more = true;
                break;
            }
            size += value.len();
            let value = base64(value);
            items.push(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let end = partition.records.len();
        Answer::Json(200, format!("{{\"items\":[{}],\"more\":{more},\"end\":{end}}}", items.join(",")))
    }
}

// ---------------------------------------------------------------- minions

/// What the text of a job tells its tasks.
#[derive(Clone, Copy, Default)]
struct Work {
    /// How long a task works; a task that lasts has none.
    ms: Option<u64>,
    /// The length of its checkpoint; 0 if it saves none.
    checkpoint: usize,
    /// The number of tasks that work only together; 0 for a task that works alone.
    gang: usize,
}

impl Work {
    /// Reads the text of a job for a task of a step. A name may end with the number of the step that it holds for.
    fn of(text: &str, step: &str) -> Self {
        let mut work = Self::default();
        for (name, value) in text.split(';').filter_map(|pair| pair.split_once('=')) {
            let of_step = name.trim_start_matches(|c: char| !c.is_ascii_digit());
            if !of_step.is_empty() && of_step != step {
                continue;
            }
            match name.trim_end_matches(|c: char| c.is_ascii_digit()) {
                "work" => work.ms = value.parse().ok(),
                "checkpoint" => work.checkpoint = value.parse().unwrap_or(0),
                "gang" => work.gang = value.parse().unwrap_or(0),
                _ => (),
            }
        }
        work
    }
}

struct Run {
    attempt: u64,
    work: Work,
    /// The work that was done before, by the checkpoint of the start.
    before: u64,
    started: Instant,
    /// When the run ends, if it was told to stop.
    stops: Option<Instant>,
    /// When the work began; a member of a gang waits for the others.
    works_from: Option<Instant>,
    /// Whether another member of the gang has ended.
    broken: bool,
    /// Whether the gang is done.
    gang_done: bool,
}

impl Run {
    fn done_ms(&self) -> u64 {
        let Some(from) = self.works_from else { return self.before };
        let restore = if self.before > 0 { RESTORE_MS } else { 0 };
        let worked = (from.elapsed().as_millis() as u64).saturating_sub(restore);
        (self.before + worked).min(self.work.ms.unwrap_or(u64::MAX))
    }

    fn checkpoint(&self, now: bool) -> String {
        let done = self.done_ms();
        let saved = if now { done } else { self.before + (done - self.before) / SAVE_MS * SAVE_MS };
        if self.work.checkpoint == 0 || saved == 0 {
            return String::new();
        }
        // The work done, and the state that the task needs to go on.
        let mut text = format!("{saved:08}");
        while text.len() < self.work.checkpoint {
            text.push('s');
        }
        text
    }

    fn percent(&self) -> u64 {
        match self.work.ms {
            Some(ms) => self.done_ms() * 100 / ms.max(1),
            // A task that lasts is at work after a second.
            None => (self.started.elapsed().as_millis() as u64 / 10).min(100),
        }
    }
}

struct Life {
    id: String,
    number: u32,
    up: bool,
    began: Instant,
    /// When the store last got an entry of this life.
    beat: Instant,
    sequence: u64,
    token: u64,
    deadline: u64,
    running: BTreeMap<String, Run>,
    /// The highest attempt of each task that was stopped or has ended here.
    over: HashMap<String, u64>,
    ends: VecDeque<(u64, String, u64, &'static str, String)>,
    last_end: u64,
}

impl Life {
    fn new(machine: &str, number: u32) -> Self {
        let now = Instant::now();
        Self {
            id: format!("i-{machine}-{number}"),
            number,
            up: true,
            began: now,
            beat: now,
            sequence: 0,
            token: 0,
            deadline: 0,
            running: BTreeMap::new(),
            over: HashMap::new(),
            ends: VecDeque::new(),
            last_end: 0,
        }
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<(u64, u64)> {
        let run = self.running.remove(task)?;
        let saved = if how == "done" { String::new() } else { run.checkpoint(how == "stopped") };
        let over = self.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.attempt);
        self.last_end += 1;
        let done = run.done_ms();
        self.ends.push_back((self.last_end, task.to_owned(), run.attempt, how, saved));
        Some((run.attempt, done))
    }
}

pub struct Minion {
    pub machine: String,
    pub rack: String,
    pub service: String,
    pub zone: String,
    addr: Mutex<Option<SocketAddr>>,
    life: Mutex<Life>,
    ended: Condvar,
}

/// A run of a task, for the checks of a script.
#[derive(Clone, Debug)]
pub struct RunSpan {
    pub task: String,
    pub attempt: u64,
    pub machine: String,
    pub from: f64,
    pub to: Option<f64>,
    pub how: &'static str,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub minions: Vec<Arc<Minion>>,
    pub runs: Mutex<Vec<RunSpan>>,
    dead_ids: Mutex<Vec<(String, Instant)>>,
    /// The gangs of which a member has ended otherwise than done: the step of the gang, and the attempt.
    ended_gangs: Mutex<Vec<(String, u64)>>,
    /// What `lastSeen` has reached, by minion and life: the highest number of an end.
    pub seen: Mutex<Vec<(f64, String, u64, u64, String)>>,
}

/// Returns the step of a task: ID.K.STEP.
fn gang_of(task: &str) -> String {
    task.rsplit_once('.').map(|(step, _)| step.to_owned()).unwrap_or_default()
}

impl World {
    /// Starts the store and `count` minions of 16 cores and 32 GB, four a rack.
    pub fn start(record: &Arc<Record>, service: &str, count: usize) -> Arc<Self> {
        let minion = |i: usize| {
            let machine = format!("m-{i:02}");
            Arc::new(Minion {
                rack: format!("r1-{}", i / 4),
                service: service.to_owned(),
                zone: "hal-a".to_owned(),
                addr: Mutex::new(None),
                life: Mutex::new(Life::new(&machine, 0)),
                ended: Condvar::new(),
                machine,
            })
        };
        let world = Arc::new(Self {
            record: record.clone(),
            store: Arc::default(),
            minions: (0..count).map(minion).collect(),
            runs: Mutex::default(),
            dead_ids: Mutex::default(),
            ended_gangs: Mutex::default(),
            seen: Mutex::default(),
        });
        for minion in &world.minions {
            let (cx, of) = (world.clone(), minion.clone());
            let addr = serve(Arc::new(move |request| cx.order(&of, request)));
            *lock(&minion.addr) = Some(addr);
            world.beat(minion);
        }
        let cx = world.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                cx.tick();
            }
        });
        world
    }

    fn beat(&self, minion: &Minion) {
        let mut life = lock(&minion.life);
        life.sequence += 1;
        life.beat = Instant::now();
        let Some(addr) = *lock(&minion.addr) else { return };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{addr}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":16000,\"memMb\":32768,\"gpu\":0}},\
             \"labels\":[\"a\",\"{}\"],\"machine\":\"{}\",\"sequence\":{}}}",
            minion.service, minion.zone, minion.rack, minion.machine, life.sequence
        );
        self.store.put("servers", &life.id, &entry);
    }

    /// Lets the members of gangs begin, end and break together.
    fn tick_gangs(&self) {
        let ended = std::mem::take(&mut *lock(&self.ended_gangs));
        let mut present: HashMap<(String, u64), (usize, usize, bool)> = HashMap::new();
        for minion in &self.minions {
            let mut life = lock(&minion.life);
            for (task, run) in life.running.iter_mut().filter(|(_, run)| run.work.gang > 0) {
                let key = (gang_of(task), run.attempt);
                run.broken |= ended.contains(&key);
                let done = run.work.ms.is_some_and(|ms| run.works_from.is_some() && run.done_ms() >= ms);
                let entry = present.entry(key).or_insert((0, run.work.gang, false));
                entry.0 += 1;
                entry.2 |= done;
            }
        }
        for minion in &self.minions {
            let mut life = lock(&minion.life);
            for (task, run) in life.running.iter_mut().filter(|(_, run)| run.work.gang > 0) {
                let Some(&(count, all, done)) = present.get(&(gang_of(task), run.attempt)) else { continue };
                if count == all {
                    run.works_from.get_or_insert_with(Instant::now);
                    run.gang_done |= done;
                }
            }
        }
    }

    fn tick(&self) {
        self.tick_gangs();
        for minion in &self.minions {
            let due = {
                let mut life = lock(&minion.life);
                if !life.up {
                    continue;
                }
                self.end_runs(minion, &mut life);
                life.beat.elapsed() >= HEARTBEAT
            };
            if due {
                self.beat(minion);
            }
        }
        // The entry of a life goes after three heartbeats of silence.
        let mut dead = lock(&self.dead_ids);
        dead.retain(|(id, since)| {
            let stays = since.elapsed() < 3 * HEARTBEAT;
            if !stays {
                self.store.put("servers", id, "");
            }
            stays
        });
    }

    fn end_runs(&self, minion: &Minion, life: &mut Life) {
        let lapsed = life.clock() > life.deadline;
        let now = Instant::now();
        let over = |run: &Run| {
            if run.stops.is_some_and(|at| now >= at) {
                Some("stopped")
            } else if run.broken {
                Some("broken")
            } else if run.gang_done {
                Some("done")
            } else if run.works_from.is_none() && run.started.elapsed() >= GANG_WAIT {
                Some("alone")
            } else if run.work.gang > 0 {
                lapsed.then_some("lapsed")
            } else if run.work.ms.is_some_and(|ms| run.done_ms() >= ms) && run.stops.is_none() {
                Some("done")
            } else {
                lapsed.then_some("lapsed")
            }
        };
        let ends: Vec<(String, &'static str)> =
            life.running.iter().filter_map(|(t, r)| Some((t.clone(), over(r)?))).collect();
        for (task, how) in &ends {
            let gang = life.running.get(task).is_some_and(|run| run.work.gang > 0);
            if let Some((attempt, done)) = life.end(task, how) {
                if gang && *how != "done" && *how != "broken" {
                    lock(&self.ended_gangs).push((gang_of(task), attempt));
                }
                self.note_end(minion, task, attempt, how);
                self.record.line(&format!(
                    "minion {} run {task} attempt {attempt} ends {how} work_ms={done}",
                    minion.machine
                ));
            }
        }
        if !ends.is_empty() {
            minion.ended.notify_all();
        }
    }

    fn note_end(&self, minion: &Minion, task: &str, attempt: u64, how: &'static str) {
        let now = self.record.seconds();
        let mut runs = lock(&self.runs);
        let run = runs.iter_mut().rev().find(|r| {
            r.task == task && r.attempt == attempt && r.machine == minion.machine && r.to.is_none()
        });
        if let Some(run) = run {
            (run.to, run.how) = (Some(now), how);
        }
    }

    /// The minion loses power: what runs there is gone, and it says nothing.
    pub fn crash(&self, minion: &Minion) {
        let mut life = lock(&minion.life);
        life.up = false;
        let gone: Vec<(String, u64)> =
            life.running.iter().map(|(task, run)| (task.clone(), run.attempt)).collect();
        for (task, run) in life.running.iter().filter(|(_, run)| run.work.gang > 0) {
            lock(&self.ended_gangs).push((gang_of(task), run.attempt));
        }
        life.running.clear();
        for (task, attempt) in &gone {
            self.note_end(minion, task, *attempt, "crashed");
        }
        let tasks: Vec<&str> = gone.iter().map(|(task, _)| task.as_str()).take(8).collect();
        self.record.line(&format!(
            "TROUBLE srv_crash: minion {} ({}) is dark, {} runs gone {tasks:?}",
            minion.machine,
            life.id,
            gone.len()
        ));
        lock(&self.dead_ids).push((life.id.clone(), life.beat));
    }

    /// The minion comes back as another life with a new id.
    pub fn revive(&self, minion: &Minion) {
        {
            let mut life = lock(&minion.life);
            *life = Life::new(&minion.machine, life.number + 1);
            self.record.line(&format!("minion {} is back as {}", minion.machine, life.id));
        }
        self.beat(minion);
    }

    fn order(&self, minion: &Minion, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut life = lock(&minion.life);
        if !life.up {
            return Answer::Silence;
        }
        if request.path == "/healthz" {
            return Answer::Json(200, "{}".to_owned());
        }
        if request.headers.get("expect-instance").is_some_and(|id| *id != life.id) {
            return Answer::Json(421, "{}".to_owned());
        }
        let clock = life.clock();
        let refuse = |reason: &str| {
            Answer::Json(409, format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"))
        };
        let token = body.num("fencingToken").unwrap_or(0);
        if token < life.token {
            return refuse("fence");
        }
        life.token = token;
        let task = body.text("task").unwrap_or_default().to_owned();
        let attempt = body.num("attempt").unwrap_or(0);
        match request.path.as_str() {
            "/thistlelanding/run-start" => {
                let deadline = body.num("deadlineMs").unwrap_or(0);
                if deadline < clock {
                    return refuse("late");
                }
                life.deadline = life.deadline.max(deadline.min(clock + MAX_LOCK_MS));
                if life.running.get(&task).is_some_and(|run| run.attempt == attempt) {
                    return Answer::Json(200, format!("{{\"clockMs\":{clock}}}"));
                }
                let over = life.over.get(&task).copied().unwrap_or(0);
                let now = life.running.get(&task).map_or(0, |run| run.attempt);
                if attempt <= over || attempt <= now {
                    return refuse("old");
                }
                let checkpoint = body.text("checkpoint").unwrap_or_default();
                let before = checkpoint.get(..8).and_then(|t| t.parse().ok()).unwrap_or(0);
                let step = task.split('.').nth(2).unwrap_or_default();
                let work = Work::of(body.text("spec").unwrap_or_default(), step);
                let run = Run {
                    attempt,
                    work,
                    before,
                    started: Instant::now(),
                    stops: None,
                    works_from: (work.gang == 0).then(Instant::now),
                    broken: false,
                    gang_done: false,
                };
                life.running.insert(task.clone(), run);
                drop(life);
                self.record.line(&format!(
                    "minion {} run {task} attempt {attempt} starts, resumes at {before} ms, checkpoint of {} bytes",
                    minion.machine,
                    checkpoint.len()
                ));
                lock(&self.runs).push(RunSpan {
                    task,
                    attempt,
                    machine: minion.machine.clone(),
                    from: self.record.seconds(),
                    to: None,
                    how: "",
                });
                Answer::Json(200, format!("{{\"clockMs\":{clock}}}"))
            }
            "/thistlelanding/run-stop" => {
                match life.running.get_mut(&task).filter(|run| run.attempt <= attempt) {
                    Some(run) => {
                        run.stops.get_or_insert(Instant::now() + Duration::from_millis(STOP_MS));
                    }
                    None => {
                        let over = life.over.entry(task).or_default();
                        *over = (*over).max(attempt);
                    }
                }
                Answer::Json(200, format!("{{\"clockMs\":{clock}}}"))
            }
            "/thistlelanding/pace" => Answer::Json(200, format!("{{\"clockMs\":{clock}}}")),
            "/thistlelanding/hold" => self.hold(minion, life, &body),
            _ => Answer::Json(400, format!("{{\"clockMs\":{clock}}}")),
        }
    }

    fn hold(&self, minion: &Minion, mut life: MutexGuard<'_, Life>, body: &Json) -> Answer {
        let clock = life.clock();
        if let Some(deadline) = body.num("deadlineMs") {
            life.deadline = life.deadline.max(deadline.min(clock + MAX_LOCK_MS));
        }
        let seen = body.num("lastSeen").unwrap_or(0);
        for end in life.ends.iter().filter(|end| end.0 <= seen) {
            let entry = (self.record.seconds(), end.1.clone(), end.2, end.0, end.3.to_owned());
            lock(&self.seen).push(entry);
        }
        life.ends.retain(|end| end.0 > seen);
        let wait = Duration::from_millis(body.num("waitMs").unwrap_or(0).min(2_000));
        let (until, number) = (Instant::now() + wait, life.number);
        while life.ends.is_empty() && life.up && life.number == number {
            let now = Instant::now();
            if now >= until {
                break;
            }
            let (guard, _) =
                minion.ended.wait_timeout(life, until - now).unwrap_or_else(|e| e.into_inner());
            life = guard;
        }
        if !life.up || life.number != number {
            return Answer::Silence;
        }
        let running: Vec<String> = life
            .running
            .iter()
            .map(|(task, run)| {
                format!(
                    "[\"{task}\",{},\"{}\",{}]",
                    run.attempt,
                    run.checkpoint(false),
                    run.percent()
                )
            })
            .collect();
        let ends: Vec<String> = life
            .ends
            .iter()
            .take(MOST_ENDS)
            .map(|(n, task, attempt, how, saved)| {
                format!("[{n},\"{task}\",{attempt},\"{how}\",\"{saved}\"]")
            })
            .collect();
        Answer::Json(
            200,
            format!(
                "{{\"clockMs\":{},\"running\":[{}],\"finished\":[{}]}}",
                life.clock(),
                running.join(","),
                ends.join(",")
            ),
        )
    }

    /// Serves the list of machines. A deployment with one service and no wave gives no orders about them.
    pub fn serve_machines(self: &Arc<Self>) -> SocketAddr {
        let world = self.clone();
        serve(Arc::new(move |request| {
            if request.method != "GET" {
                world.record.line(&format!("machine service: {} is refused", request.path));
                return Answer::Json(409, "{\"reason\":\"busy\"}".to_owned());
            }
            let rows: Vec<String> = world
                .minions
                .iter()
                .map(|minion| {
                    let life = lock(&minion.life);
                    let state = if life.up { "up" } else { "down" };
                    format!(
                        "{{\"machine\":\"{}\",\"pool\":\"{}\",\"state\":\"{state}\",\"zone\":\"{}\",\
                         \"labels\":[\"a\",\"{}\"],\"capacity\":{{\"cpu\":16000,\"memMb\":32768,\"gpu\":0}},\
                         \"id\":\"{}\"}}",
                        minion.machine, minion.service, minion.zone, minion.rack, life.id
                    )
                })
                .collect();
            Answer::Json(200, format!("{{\"machines\":[{}],\"nextPageToken\":null}}", rows.join(",")))
        }))
    }

    /// Writes the configuration of one service with one queue.
    pub fn configure(&self, service: &str, prefix: &str, max_attempts: u32) {
        let config = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
             \"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":600,\"priority\":0,\"service\":\"{service}\",\
             \"maxAttempts\":{max_attempts},\"extension\":1.6}}],\"services\":[{{\"name\":\"{service}\",\
             \"healthPath\":\"/healthz\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"preconditions\":false,\"headroom\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        );
        self.store.put("op", "config", &config);
    }

    /// Returns the runs whose tasks belong to a job.
    pub fn runs_of(&self, job: &str) -> Vec<RunSpan> {
        let prefix = format!("{job}.");
        lock(&self.runs).iter().filter(|run| run.task.starts_with(&prefix)).cloned().collect()
    }
}

// ---------------------------------------------------------------- nodes

/// A node of the system, as the deploy file starts it.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the program with the command of the deploy file.
fn spawn(settings: &Path, pids: &Mutex<File>) -> Child {
    let log = File::options().create(true).append(true).open(settings.with_extension("log"));
    let child = Command::new("target/release/thistle-scheduler")
        .arg("run")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.expect("the log is created"))
        .spawn()
        .expect("the program starts");
    let _ = writeln!(lock(pids), "{}", child.id());
    child
}

/// Returns the addresses of a node: ports that are free on a loopback address of its own, which no outgoing connection uses.
fn free_addrs() -> [SocketAddr; 4] {
    static NODES: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    loop {
        let number = NODES.fetch_add(1, Ordering::Relaxed);
        let ip = [127, 64 + (process >> 8) % 128, process % 256, 1 + number % 254].map(|part| part as u8);
        let addrs = [8_624, 8_622, 9_464, 7_060].map(|port: u16| SocketAddr::from((ip, port)));
        if addrs.iter().all(|addr| TcpListener::bind(addr).is_ok()) {
            return addrs;
        }
    }
}

impl Node {
    /// Starts a node with the settings that the template of the deploy file gives in a small deployment.
    pub fn start(
        dir: &Path,
        name: &str,
        store: SocketAddr,
        machines: SocketAddr,
        pids: &Mutex<File>,
    ) -> Self {
        let [callers, readiness, metrics, relay] = free_addrs();
        let settings: PathBuf = dir.join(format!("{name}.yaml"));
        let text = format!(
            "name: {name}\nhall: hal-a\nlisten: {callers}\nreadiness_listen: {readiness}\n\
             metrics_listen: {metrics}\nrelay_listen: {relay}\nstore: {store}\nmachine_service: {machines}\n\
             link_mbps: 1000.0\ncpu_share: 0.25\nmax_append_bytes: {CALL_BYTES}\n\
             max_record_bytes: {RECORD_BYTES}\nmax_task_lease: {MAX_LOCK_MS}ms\nmachine_order_gap: 3000ms\n\
             cancel_within: 3000ms\nkeep_settled: 120s\nstop_grace: 6s\n\
             contracts: [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n\
             log:\n  output: stdout\n"
        );
        std::fs::write(&settings, text).expect("the settings are written");
        let child = spawn(&settings, pids);
        Self { name: name.to_owned(), callers, readiness, settings, child }
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self, pids: &Mutex<File>) {
        let _ = self.child.wait();
        self.child = spawn(&self.settings, pids);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").arg(format!("-{name}")).arg(id).status();
    }

    pub fn is_ready(&self) -> bool {
        let answer =
            call(self.readiness, "GET", "/thistlelanding/readyz", "", Duration::from_millis(500));
        answer.is_ok_and(|(status, _)| status == 200)
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

/// A client that sends a call to one node after the other until one answers with success or for good.
pub struct Client<'a> {
    pub record: &'a Record,
    pub nodes: &'a [Node],
}

impl Client<'_> {
    pub fn submit(&self, path: &str, body: &str) -> bool {
        for round in 0..8 {
            let node = &self.nodes[round % self.nodes.len()];
            let answer = call(node.callers, "POST", path, body, Duration::from_secs(3));
            self.record.line(&format!("client POST {path} to {} -> {answer:?}", node.name));
            match answer {
                Ok((status, _)) if (200..300).contains(&status) => return true,
                _ => thread::sleep(Duration::from_millis(500)),
            }
        }
        false
    }

    pub fn cancel(&self, path: &str) -> bool {
        let node = &self.nodes[0];
        let answer = call(node.callers, "DELETE", path, "", Duration::from_secs(3));
        self.record.line(&format!("client DELETE {path} to {} -> {answer:?}", node.name));
        answer.is_ok_and(|(status, _)| status == 200 || status == 410)
    }

    /// Returns the state of a job as one of the nodes tells it.
    pub fn state(&self, path: &str) -> String {
        for node in self.nodes {
            let answer = call(node.callers, "GET", path, "", Duration::from_secs(3));
            self.record.line(&format!("client GET {path} to {} -> {answer:?}", node.name));
            if let Ok((status, body)) = answer {
                let state = Json::parse(body.as_bytes());
                let state = state.as_ref().and_then(|s| s.text("state")).map(str::to_owned);
                return state.unwrap_or_else(|| status.to_string());
            }
        }
        "no answer".to_owned()
    }
}

/// What a script needs to run: the folder of its record, a folder for settings and logs, and the file of process IDs.
pub struct Setup {
    pub record: Arc<Record>,
    pub dir: PathBuf,
    pub pids: Mutex<File>,
    pub trouble: bool,
}

impl Setup {
    /// Takes the folders from the arguments: that of the record, and a temporary one. Ends the script if it takes too long.
    pub fn from_args() -> Self {
        let mut args = std::env::args().skip(1);
        let case: PathBuf = args.next().expect("the folder of the case").into();
        let dir: PathBuf = args.next().expect("a temporary folder").into();
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let pids = File::create(dir.join("pids")).expect("the file of process IDs");
        let record = Record::create(&case.join("record.txt"));
        record.line(&format!("trouble={trouble}"));
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(115));
            eprintln!("the script took too long");
            std::process::exit(2);
        });
        Self { record, dir, pids: Mutex::new(pids), trouble }
    }
}

/// Waits until a condition holds, for at most `most`.
pub fn wait_until(most: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + most;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
