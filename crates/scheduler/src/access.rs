//! Authentication of callers: the workspace that a request's API key belongs to.

use hyper::header::HeaderMap;
use thistle_platform::KEY_HEADER;
use thistle_schedule::{Caller, Catalog, KeySecret, Queue};

/// Why a request is denied because of its API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The request has no key.
    Missing,
    /// The request has several keys, or its key is not text.
    Unreadable,
    /// The key belongs to no workspace of the configuration in force, or to more than one.
    Unknown,
}

/// Returns the caller of a request to a queue: the queue and, unless the queue is open, the workspace of the key.
pub fn caller_of(
    catalog: &Catalog,
    queue: &Queue,
    headers: &HeaderMap,
    secret: &KeySecret,
) -> Result<Caller, Denied> {
    let name = queue.name.to_string();
    if queue.open {
        return Ok(Caller { queue: name, workspace: None });
    }
    let mut keys = headers.get_all(KEY_HEADER).iter();
    let key = keys.next().ok_or(Denied::Missing)?;
    if keys.next().is_some() {
        return Err(Denied::Unreadable);
    }
    let key = key.to_str().map_err(|_| Denied::Unreadable)?;
    let workspace = catalog.workspaces.of_key(key, secret).ok_or(Denied::Unknown)?;
    Ok(Caller { queue: name, workspace: Some(workspace.name.to_string()) })
}
