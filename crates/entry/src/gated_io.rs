//! A connection to a VM whose writes are subject to the gate of the current exchange.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use thistle_model::clock::Instant;
use thistle_request::SendGate;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The gate of the current exchange on one connection.
#[derive(Clone, Debug, Default)]
pub struct GateSlot(Arc<Mutex<Option<Arc<SendGate>>>>);

impl GateSlot {
    /// Sets the gate of the next exchange.
    pub fn set(&self, gate: Arc<SendGate>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(gate);
    }

    fn may_write(&self) -> bool {
        let gate = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        gate.as_ref().is_some_and(|g| g.pass(Instant::now()))
    }
}

/// A TCP connection whose writes are subject to a [`GateSlot`].
#[derive(Debug)]
pub struct GatedIo {
    stream: TcpStream,
    gate: GateSlot,
}

impl GatedIo {
    /// Wraps a connection with a gate.
    pub fn new(stream: TcpStream, gate: GateSlot) -> Self {
        Self { stream, gate }
    }

    fn refused<T>() -> Poll<io::Result<T>> {
        let e = io::Error::new(
            io::ErrorKind::PermissionDenied,
            "the request was abandoned before it was sent",
        );
        Poll::Ready(Err(e))
    }
}

impl AsyncRead for GatedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.gate.may_write() {
            return Self::refused();
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.gate.may_write() {
            return Self::refused();
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
