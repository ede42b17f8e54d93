//! Network protocols: the system's own (tarpc) and the platform's (HTTP).

pub mod dial;
pub mod http_client;
pub mod link;
pub mod metrics_http;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod serve;
