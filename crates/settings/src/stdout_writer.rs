//! A log writer for standard output that is bounded and never blocks on the reader.
//!
//! Lines pass through a bounded queue to a thread that writes them. When the queue is full, or a
//! kind of line has used up its budget for this second, the line is dropped and counted; a later
//! line reports the count. A line's kind is the first word of its text.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

/// The maximum number of lines that wait for the reader: two seconds of output of a busy node.
const QUEUE_CAPACITY: usize = 4_096;
/// The maximum number of lines that are written at once. Without a bound the thread keeps taking lines off the queue
/// while new ones arrive, and holds all of them in memory.
const MAX_BATCH: usize = 256;
/// The maximum number of lines of one kind in a second: about four times the rate of the most frequent kind on a busy
/// node.
const MAX_LINES_PER_KIND: u32 = 500;
const BUDGET_PERIOD: Duration = Duration::from_secs(1);
/// The number of characters by which kinds are distinguished.
const MAX_KIND_LENGTH: usize = 24;

/// The type of a format function of the logging library.
pub type Format = flexi_logger::FormatFunction;

/// The counts of the current second.
#[derive(Debug)]
struct Budget {
    since: Instant,
    /// The number of lines of each kind, including those that were dropped.
    lines_by_kind: HashMap<String, u32>,
    /// The number of lines that were dropped and not reported yet.
    dropped: u64,
}

/// Writes log lines to standard output.
pub struct StdoutWriter {
    tx: SyncSender<Vec<u8>>,
    format: Format,
    budget: Mutex<Budget>,
}

impl StdoutWriter {
    /// Starts the writer thread.
    pub fn new(format: Format) -> io::Result<Self> {
        Self::with_output(format, io::stdout())
    }

    /// Starts the writer thread with `output` instead of standard output.
    pub fn with_output<W: Write + Send + 'static>(format: Format, output: W) -> io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, output))?;
        let budget = Budget { since: Instant::now(), lines_by_kind: HashMap::new(), dropped: 0 };
        Ok(Self { tx, format, budget: Mutex::new(budget) })
    }

    /// Returns whether a line may be written, and how many lines were dropped before it.
    fn admit(&self, kind: &str) -> (bool, u64) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped_before = 0;
        if budget.since.elapsed() >= BUDGET_PERIOD {
            budget.since = Instant::now();
            budget.lines_by_kind.clear();
            dropped_before = std::mem::take(&mut budget.dropped);
        }
        let count = budget.lines_by_kind.entry(kind.to_owned()).or_insert(0);
        *count += 1;
        let admitted = *count <= MAX_LINES_PER_KIND;
        budget.dropped += u64::from(!admitted);
        (admitted, dropped_before)
    }

    fn push(&self, line: Vec<u8>) {
        if self.tx.try_send(line).is_err() {
            self.budget.lock().unwrap_or_else(PoisonError::into_inner).dropped += 1;
        }
    }
}

fn write_lines<W: Write>(rx: &Receiver<Vec<u8>>, mut output: W) {
    while let Ok(mut lines) = rx.recv() {
        for more in rx.try_iter().take(MAX_BATCH) {
            lines.extend_from_slice(&more);
        }
        // The output is closed, so the failure cannot be reported either.
        if output.write_all(&lines).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}

impl LogWriter for StdoutWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let text = record.args().to_string();
        let kind = text.split(' ').next().unwrap_or_default();
        let end = kind.char_indices().nth(MAX_KIND_LENGTH).map_or(kind.len(), |(i, _)| i);
        let (admitted, dropped_before) = self.admit(&kind[..end]);
        if dropped_before > 0 {
            self.push(format!("log step=left-out lines={dropped_before}\n").into_bytes());
        }
        if !admitted {
            return Ok(());
        }
        let mut line = Vec::with_capacity(text.len() + 64);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        self.push(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> log::LevelFilter {
        log::LevelFilter::Trace
    }
}
