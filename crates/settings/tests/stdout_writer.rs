//! Log output is bounded, and writing a line never blocks on a reader that does not read.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use googletest::prelude::*;
use thistle_settings::stdout_writer::StdoutWriter;

/// An output whose writes block until the test lets them through.
struct GatedOutput {
    open: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for GatedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Once the sender is dropped, writes are no longer blocked.
        let _ = self.open.recv();
        self.written.lock().expect("the lock is not poisoned").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn gated_writer() -> (StdoutWriter, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (tx, open) = channel();
    let written = Arc::new(Mutex::default());
    let gate = GatedOutput { open, written: written.clone() };
    let format = |w: &mut dyn Write, _: &mut DeferredNow, record: &log::Record<'_>| {
        write!(w, "{}", record.args())
    };
    (StdoutWriter::with_output(format, gate).expect("the thread starts"), tx, written)
}

fn write_line(writer: &StdoutWriter, text: &str) {
    let args = format_args!("{text}");
    let record = log::Record::builder().level(log::Level::Info).args(args).build();
    let result = writer.write(&mut DeferredNow::new(), &record);
    assert!(result.is_ok());
}

fn wait_until(holds: impl Fn() -> bool) {
    while !holds() {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// Waits until the writer thread has written everything and ended, which drops its reference to the buffer.
fn wait_until_ended(written: &Arc<Mutex<Vec<u8>>>) {
    wait_until(|| Arc::strong_count(written) == 1);
}

fn lines(written: &Mutex<Vec<u8>>) -> Vec<String> {
    let written = written.lock().expect("the lock is not poisoned");
    String::from_utf8_lossy(&written).lines().map(str::to_owned).collect()
}

#[gtest]
fn flood_with_a_stalled_reader_is_bounded_and_does_not_block() {
    let (writer, gate, written) = gated_writer();
    // If any of these calls blocked on the reader, the test would never end.
    for kind in 0..100 {
        for i in 0..1_000 {
            write_line(&writer, &format!("kind{kind} n={i}"));
        }
    }
    drop(gate);
    std::thread::sleep(std::time::Duration::from_millis(1_100));
    write_line(&writer, "kind0 n=last");
    drop(writer);
    wait_until_ended(&written);
    let lines = lines(&written);
    expect_that!(lines.len(), le(5_000));
    let left_out = lines.iter().find(|l| l.starts_with("log step=left-out lines="));
    expect_that!(left_out, some(anything()));
    expect_that!(lines.last().map(String::as_str), some(eq("kind0 n=last")));
}

/// Guards against a writer thread that keeps taking lines off the queue while new ones arrive, so that the batch it
/// holds for the reader has no bound. On a busy machine lines can arrive as fast as they are taken.
#[gtest]
fn batch_taken_off_the_queue_is_bounded() {
    let (writer, gate, written) = gated_writer();
    for kind in 0..3_000 {
        write_line(&writer, &format!("kind{kind} n=0"));
    }
    // All lines are queued behind the first write, which is let through together with one more.
    for _ in 0..2 {
        expect_that!(gate.send(()), ok(anything()));
    }
    drop(writer);
    wait_until(|| !lines(&written).is_empty());
    expect_that!(lines(&written).len(), le(1_000));
    drop(gate);
    wait_until_ended(&written);
    expect_that!(lines(&written), len(eq(3_000)));
}

#[gtest]
fn flood_of_one_kind_does_not_suppress_other_kinds() {
    let (writer, gate, written) = gated_writer();
    drop(gate);
    for i in 0..5_000 {
        write_line(&writer, &format!("start n={i}"));
    }
    write_line(&writer, "store step=lost");
    drop(writer);
    wait_until_ended(&written);
    let lines = lines(&written);
    // The flood may span several seconds, each with a budget of its own.
    let started = lines.iter().filter(|l| l.starts_with("start")).count();
    expect_that!(started, all![ge(500), lt(5_000)]);
    expect_that!(lines.iter().any(|l| l == "store step=lost"), eq(true));
}
