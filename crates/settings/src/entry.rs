//! Settings of `thistle-entry`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thistle_model::{HallName, Name};

use crate::error::SettingsError;
use crate::load::{Checked, in_range};
use crate::logs::LogSettings;
use crate::span::Span;

/// The largest body size that may be configured, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

/// Settings of an entry, the HTTP server that routes the requests of callers to VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The name of its entry VM.
    pub name: Name,
    /// Its data hall.
    pub hall: HallName,
    /// The address on which it accepts requests of callers.
    pub listen: SocketAddr,
    /// The address on which it serves metrics.
    pub metrics_listen: SocketAddr,
    /// The address on which the steward on the same VM serves the view.
    pub steward: SocketAddr,
    /// The largest body of a request, in bytes.
    #[serde(default = "default_body")]
    pub max_body_bytes: usize,
    /// The largest body of a response, in bytes.
    #[serde(default = "default_answer")]
    pub max_answer_bytes: usize,
    /// The largest total size of the headers of a request or a response, in bytes.
    #[serde(default = "default_headers")]
    pub max_header_bytes: usize,
    /// The number of requests that may be in progress or queued at one time; further ones are refused.
    #[serde(default = "default_requests")]
    pub max_requests: usize,
    /// The number of requests that may wait for a slot of one pool.
    #[serde(default = "default_queue")]
    pub max_queue: usize,
    /// The connect timeout for VMs.
    #[serde(default = "default_connect")]
    pub connect_timeout: Span,
    /// How long claims on idempotency keys are kept; must be the same on every entry and steward.
    #[serde(default = "default_keep")]
    pub claim_keep: Span,
    /// How long requests in flight may take to finish after a graceful shutdown begins.
    #[serde(default = "default_stop")]
    pub stop_timeout: Span,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

const fn default_body() -> usize {
    1024 * 1024
}
const fn default_answer() -> usize {
    8 * 1024 * 1024
}
const fn default_headers() -> usize {
    32 * 1024
}
const fn default_requests() -> usize {
    4_096
}
const fn default_queue() -> usize {
    1_024
}
const fn default_connect() -> Span {
    Span::from_millis(300)
}
pub(crate) const fn default_keep() -> Span {
    Span::from_secs(3_600)
}
const fn default_stop() -> Span {
    Span::from_secs(60)
}

impl Checked for EntrySettings {
    fn check(&self) -> Result<(), SettingsError> {
        in_range("max_body_bytes", &self.max_body_bytes, &1_024, &MAX_BODY_BYTES)?;
        in_range("max_answer_bytes", &self.max_answer_bytes, &1_024, &MAX_BODY_BYTES)?;
        in_range("max_header_bytes", &self.max_header_bytes, &8_192, &(1024 * 1024))?;
        in_range("max_requests", &self.max_requests, &1, &100_000)?;
        in_range("max_queue", &self.max_queue, &0, &100_000)?;
        let ten_seconds = Span::from_secs(10);
        in_range("connect_timeout", &self.connect_timeout, &Span::from_millis(10), &ten_seconds)?;
        in_range("claim_keep", &self.claim_keep, &Span::from_secs(10), &Span::from_secs(86_400))?;
        in_range("stop_timeout", &self.stop_timeout, &Span::from_secs(1), &Span::from_secs(900))?;
        if self.listen == self.metrics_listen {
            return Err(SettingsError::value(
                "metrics_listen",
                "is the same as 'listen'; use another port",
            ));
        }
        Ok(())
    }
}
