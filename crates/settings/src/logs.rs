//! Logging setup of the programs.

use flexi_logger::{AdaptiveFormat, FileSpec, Logger, LoggerHandle, WriteMode};
use serde::{Deserialize, Serialize};

use crate::error::SettingsError;
use crate::stdout_writer::StdoutWriter;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Text, one line per record.
    #[default]
    Text,
    /// JSON, one object per line.
    Json,
}

/// Where log lines go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogOutput {
    /// Standard error, or `file` if that is set.
    #[default]
    Stderr,
    /// Standard output, with a bounded queue; logging never blocks on a slow reader.
    Stdout,
}

/// Settings of logging.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The format of the lines.
    pub format: LogFormat,
    /// The minimum level: error, warn, info, debug or trace; or a list of levels by module.
    pub level: String,
    /// Where lines are written.
    pub output: LogOutput,
    /// A file to write to instead of standard error.
    pub file: Option<std::path::PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".to_owned(),
            output: LogOutput::Stderr,
            file: None,
        }
    }
}

/// Level overrides of libraries that would otherwise log a line for each call.
const LIBRARY_LEVELS: &str = "tarpc=error";

/// Writes the time, the level and the message of a record.
fn line_format(
    w: &mut dyn std::io::Write,
    now: &mut flexi_logger::DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    write!(w, "{} {} {}", now.format("%H:%M:%S%.3f"), record.level(), record.args())
}

/// Starts logging. A separate thread writes the lines, so that callers do not wait for the output.
pub fn start_logs(settings: &LogSettings) -> Result<LoggerHandle, SettingsError> {
    let failed = |e: flexi_logger::FlexiLoggerError| SettingsError::Logs(e.to_string());
    let level = format!("{}, {LIBRARY_LEVELS}", settings.level);
    let logger = Logger::try_with_str(level).map_err(failed)?;
    if settings.output == LogOutput::Stdout {
        let format = match settings.format {
            LogFormat::Text => line_format,
            LogFormat::Json => flexi_logger::json_format,
        };
        let writer = StdoutWriter::new(format).map_err(|e| SettingsError::Logs(e.to_string()))?;
        return logger.log_to_writer(Box::new(writer)).start().map_err(failed);
    }
    let logger = match &settings.file {
        Some(path) => {
            let file = FileSpec::try_from(path).map_err(failed)?;
            logger.log_to_file(file).append()
        }
        None => logger.log_to_stderr(),
    };
    let logger = logger.write_mode(WriteMode::BufferAndFlush);
    let logger = match settings.format {
        LogFormat::Text => logger
            .adaptive_format_for_stderr(AdaptiveFormat::Opt)
            .format_for_files(flexi_logger::opt_format),
        LogFormat::Json => logger.format(flexi_logger::json_format),
    };
    logger.start().map_err(failed)
}
