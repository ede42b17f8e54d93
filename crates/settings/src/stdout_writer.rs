//! Log lines to standard output, bounded, and never waiting for the reader.
//!
//! Lines pass through a bounded queue to a thread that writes them. When the queue is full, or a
//! kind of line has used up its budget for this second, the line is left out and counted; a line
//! tells the counts once there is room again. A line's kind is the first word of its text.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

/// Lines that wait for the reader at most: two seconds' worth of a busy node.
const QUEUE: usize = 4_096;
/// Lines that are written in one go at most: without a bound the thread takes lines off the queue for as
/// long as they come, and holds them all.
const MOST_AT_ONCE: usize = 256;
/// Lines of one kind in a second at most: about four times a busy node's most frequent kind.
const BUDGET: u32 = 500;
const BUDGET_TIME: Duration = Duration::from_secs(1);
/// Longest kind that is told apart.
const KIND_LENGTH: usize = 24;

/// A format function of the logging library.
pub type Format = flexi_logger::FormatFunction;

/// What is counted within the present second.
#[derive(Debug)]
struct Budget {
    since: Instant,
    written: HashMap<String, u32>,
    left_out: u64,
}

/// Writes log lines to standard output.
pub struct StdoutWriter {
    tx: SyncSender<Vec<u8>>,
    format: Format,
    budget: Mutex<Budget>,
}

impl StdoutWriter {
    /// Starts the thread that writes.
    pub fn new(format: Format) -> io::Result<Self> {
        Self::with_output(format, io::stdout())
    }

    /// Starts a thread that writes to `output` in place of the standard output.
    pub fn with_output<W: Write + Send + 'static>(format: Format, output: W) -> io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, output))?;
        let budget = Budget { since: Instant::now(), written: HashMap::new(), left_out: 0 };
        Ok(Self { tx, format, budget: Mutex::new(budget) })
    }

    /// Returns whether a line may be written, and how many were left out before it.
    fn admit(&self, kind: &str) -> (bool, u64) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let mut missed = 0;
        if budget.since.elapsed() >= BUDGET_TIME {
            budget.since = Instant::now();
            budget.written.clear();
            missed = std::mem::take(&mut budget.left_out);
        }
        let written = budget.written.entry(kind.to_owned()).or_insert(0);
        *written += 1;
        let admitted = *written <= BUDGET;
        budget.left_out += u64::from(!admitted);
        (admitted, missed)
    }

    fn push(&self, line: Vec<u8>) {
        if self.tx.try_send(line).is_err() {
            self.budget.lock().unwrap_or_else(PoisonError::into_inner).left_out += 1;
        }
    }
}

fn write_lines<W: Write>(rx: &Receiver<Vec<u8>>, mut output: W) {
    while let Ok(mut lines) = rx.recv() {
        for more in rx.try_iter().take(MOST_AT_ONCE) {
            lines.extend_from_slice(&more);
        }
        // Where nobody reads there is nobody to tell.
        if output.write_all(&lines).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}

impl LogWriter for StdoutWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let text = record.args().to_string();
        let kind = text.split(' ').next().unwrap_or_default();
        let end = kind.char_indices().nth(KIND_LENGTH).map_or(kind.len(), |(i, _)| i);
        let (admitted, missed) = self.admit(&kind[..end]);
        if missed > 0 {
            self.push(format!("log step=left-out lines={missed}\n").into_bytes());
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
