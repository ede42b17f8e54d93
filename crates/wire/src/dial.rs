//! Connections of the system's own protocols: opened on first use, dropped after a failure.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Serialize, de::DeserializeOwned};
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::length_delimited::LengthDelimitedCodec;
use tokio::net::TcpStream;

/// The largest message of the system's own protocols, in bytes.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// The connect timeout.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A transport of the system's own protocols.
pub type WireTransport<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Why a call to another process failed.
#[derive(Debug)]
pub enum CallError {
    /// The connection could not be established.
    Connect(SocketAddr, std::io::Error),
    /// The call failed or timed out.
    Rpc(SocketAddr, tarpc::client::RpcError),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(addr, e) => {
                write!(
                    f,
                    "cannot connect to {addr}: {e}; check the address and that the process runs"
                )
            }
            Self::Rpc(addr, e) => write!(f, "the call to {addr} failed: {e}; try again"),
        }
    }
}

impl std::error::Error for CallError {}

/// Connects to `addr`.
pub async fn connect<Item, SinkItem>(
    addr: SocketAddr,
) -> Result<WireTransport<Item, SinkItem>, CallError>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let timeout = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(timeout)
        .flatten()
        .map_err(|e| CallError::Connect(addr, e))?;
    Ok(into_transport(stream))
}

/// Returns a transport over an open connection.
pub fn into_transport<Item, SinkItem>(stream: TcpStream) -> WireTransport<Item, SinkItem>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    // Disables Nagle's algorithm for the sake of small messages; a connection on which this fails still works.
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let framed = tarpc::tokio_util::codec::Framed::new(stream, codec);
    tarpc::serde_transport::new(framed, Bincode::default())
}

/// Returns a context whose call is cancelled after `timeout`.
pub fn context_with_timeout(timeout: Duration) -> tarpc::context::Context {
    let mut cx = tarpc::context::current();
    cx.deadline = std::time::Instant::now() + timeout;
    cx
}

/// Declares a client that connects on first use and reconnects after a failure.
macro_rules! reconnecting_client {
    ($(#[$doc:meta])* $name:ident, $client:ty) => {
        $(#[$doc])*
        #[derive(Debug)]
        pub struct $name {
            addr: std::net::SocketAddr,
            client: tokio::sync::Mutex<Option<$client>>,
        }

        impl $name {
            /// Returns a client that is not connected yet.
            pub fn new(addr: std::net::SocketAddr) -> Self {
                Self { addr, client: tokio::sync::Mutex::new(None) }
            }

            /// Returns the address that it connects to.
            pub const fn addr(&self) -> std::net::SocketAddr {
                self.addr
            }

            /// Returns a connected client; connects if necessary.
            pub async fn client(&self) -> Result<$client, $crate::dial::CallError> {
                let mut slot = self.client.lock().await;
                if let Some(client) = &*slot {
                    return Ok(client.clone());
                }
                let transport = $crate::dial::connect(self.addr).await?;
                let client = <$client>::new(tarpc::client::Config::default(), transport).spawn();
                *slot = Some(client.clone());
                Ok(client)
            }

            /// Adds the address to the error of a call, and drops the connection when the error
            /// shows it to be broken.
            pub async fn check<T>(
                &self,
                result: Result<T, tarpc::client::RpcError>,
            ) -> Result<T, $crate::dial::CallError> {
                let broken = !matches!(
                    result,
                    Ok(_) | Err(tarpc::client::RpcError::DeadlineExceeded)
                        | Err(tarpc::client::RpcError::Server(_))
                );
                if broken {
                    *self.client.lock().await = None;
                }
                result.map_err(|e| $crate::dial::CallError::Rpc(self.addr, e))
            }
        }
    };
}
pub(crate) use reconnecting_client;
