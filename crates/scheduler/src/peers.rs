//! HTTP clients for other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use thistle_platform::HttpClient;

use crate::locks::lock;

/// The number of idle connections kept open to one node: queries about jobs are short, and few run at the same time.
const MAX_IDLE_PER_NODE: usize = 2;
/// The number of nodes whose clients are kept. Pools have few owners; when the limit is reached, all clients are dropped,
/// including those of previous owners.
const MAX_NODES: usize = 64;

/// The clients of other nodes, by address.
#[derive(Debug, Default)]
pub struct Peers {
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
}

impl Peers {
    /// Returns the client of a node, creating it at the first call.
    pub fn client(&self, addr: SocketAddr) -> Arc<HttpClient> {
        let mut clients = lock(&self.clients);
        if clients.len() >= MAX_NODES && !clients.contains_key(&addr) {
            clients.clear();
        }
        clients
            .entry(addr)
            .or_insert_with(|| Arc::new(HttpClient::new(addr, MAX_IDLE_PER_NODE)))
            .clone()
    }
}
