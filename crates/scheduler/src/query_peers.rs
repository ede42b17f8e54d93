//! Queries to the nodes that follow a pool's records, sent by a node that does not follow them.
//!
//! Callers ask any of 97 nodes for the states of jobs. A node that searched by itself would read the whole pool first, and
//! then the newer records at each request. The pool's owner can reply without reading.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use metrics::counter;
use thistle_platform::http::Call;

use crate::clock::steady_ms;
use crate::locks::lock;
use crate::node::Node;
use crate::query::{PATH, Query, QueryReply};

/// How long a node may take to reply: one read of the store, for a job that the node does not know yet, and the network time.
/// An unresponsive node must leave time to query the next one before callers time out after about 3 s.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Queries the owner of the pool, and if the owner cannot reply, other nodes that follow the pool's records.
pub async fn query_peers(node: &Node, query: &Query) -> QueryReply {
    let pool = query.pool();
    let owner = lock(&node.ownership).relay_of_owner(pool);
    if let Some(reply) = query_all(node, query, owner.into_iter().collect()).await {
        return reply;
    }
    let standbys = lock(&node.ownership).standbys_to_query(pool, steady_ms());
    query_all(node, query, standbys).await.unwrap_or(QueryReply::NotRead)
}

async fn query_all(node: &Node, query: &Query, addrs: Vec<SocketAddr>) -> Option<QueryReply> {
    for addr in addrs {
        match query_one(node, query, addr).await {
            Ok(QueryReply::NotRead) => (),
            Ok(reply) => return Some(reply),
            Err(e) => log::info!("ask step=failed pool={} error=\"{e}\"", query.pool()),
        }
    }
    None
}

/// Queries one node. A node that does not reply counts as one that cannot read the pool's records.
pub async fn query_node(node: &Node, query: &Query, addr: SocketAddr) -> QueryReply {
    query_one(node, query, addr).await.unwrap_or_else(|e| {
        log::info!("ask step=failed pool={} error=\"{e}\"", query.pool());
        QueryReply::NotRead
    })
}

async fn query_one(node: &Node, query: &Query, addr: SocketAddr) -> Result<QueryReply, String> {
    let body = postcard::to_stdvec(query).map_err(|e| e.to_string())?;
    let call = Call::new(Method::POST, PATH, TIMEOUT).with_bytes(body.into());
    let answer = node.peers.client(addr).call(call).await.map_err(|e| e.to_string())?;
    counter!("thistle_questions", "status" => answer.status.to_string()).increment(1);
    if answer.status != StatusCode::OK.as_u16() {
        return Err(format!("{addr} answered with status {}", answer.status));
    }
    postcard::from_bytes(&answer.body).map_err(|e| format!("{addr} sent an invalid reply: {e}"))
}
