//! Output as tables or as JSON.

use std::io::Write;
use std::time::Duration;

use serde::Serialize;
use thistle_model::{Change, Offset};

/// Prints a line; ignores errors, because a reader such as `head` may close the pipe early.
macro_rules! line {
    ($($arg:tt)*) => {{
        let _ = writeln!(std::io::stdout(), $($arg)*);
    }};
}

/// The output settings of a command.
pub struct Output {
    /// Whether to print JSON instead of tables.
    pub json: bool,
    /// Whether to show changes without making them.
    pub dry_run: bool,
}

impl Output {
    /// Prints rows under a heading, or the values as JSON.
    pub fn table<T: Serialize>(
        &self,
        values: &[T],
        heads: &[&str],
        row: impl Fn(&T) -> Vec<String>,
    ) {
        if self.json {
            line!("{}", serde_json::to_string(values).unwrap_or_default());
            return;
        }
        let rows: Vec<Vec<String>> = values.iter().map(row).collect();
        let width = |i: usize| {
            let cells = rows.iter().filter_map(|r| r.get(i)).map(String::len);
            cells.max().unwrap_or(0).max(heads[i].len())
        };
        let widths: Vec<usize> = (0..heads.len()).map(width).collect();
        print_row(&widths, heads);
        for row in &rows {
            print_row(&widths, row);
        }
    }

    /// Prints one value as JSON or as lines of text.
    pub fn value<T: Serialize>(&self, value: &T, lines: impl Fn(&T) -> Vec<String>) {
        if self.json {
            line!("{}", serde_json::to_string(value).unwrap_or_default());
            return;
        }
        for line in lines(value) {
            line!("{line}");
        }
    }

    /// Prints the change that a dry run would submit.
    pub fn change(&self, change: &Change) {
        let text = serde_json::to_string_pretty(change).unwrap_or_default();
        line!("{text}");
        self.progress("dry run: nothing was changed");
    }

    /// Prints lines of text.
    pub fn lines(&self, lines: &[String]) {
        for text in lines {
            line!("{text}");
        }
    }

    /// Prints a progress message to standard error.
    pub fn progress(&self, text: &str) {
        eprintln!("{text}");
    }

    /// Prints, with `--json`, that a change is in force on all entries.
    pub fn in_force(&self, offset: Offset, members: usize, took: Duration) {
        if self.json {
            let ms = took.as_millis();
            line!("{{\"offset\":{offset},\"in_force\":{members},\"watched_ms\":{ms}}}");
        }
    }
}

fn print_row<S: AsRef<str>>(widths: &[usize], cells: &[S]) {
    let cells = cells.iter().zip(widths).map(|(c, &w)| format!("{:<w$}", c.as_ref()));
    let line = cells.collect::<Vec<_>>().join("  ");
    line!("{}", line.trim_end());
}
