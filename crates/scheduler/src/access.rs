//! Who calls: the workspace that a request's key names.

use hyper::header::HeaderMap;
use thistle_platform::KEY_HEADER;
use thistle_schedule::{Caller, Catalog, KeySecret, Queue};

/// Why a call is not let in, by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// There is none.
    Missing,
    /// There are several, or it is no text.
    Unreadable,
    /// It names no workspace of the configuration in force, or more than one.
    Unknown,
}

/// Returns on whose behalf a call to a queue is made.
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
