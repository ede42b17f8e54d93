//! The records of a cancellation.

use thistle_platform::KeyedRecord;
use thistle_schedule::job_log::{caller_cancel_key, cancel_key};
use thistle_schedule::{Caller, JobId};

/// Returns the records of a caller's cancellation: the one that no other caller replaces, and the one under the key that all
/// callers share, which nodes of earlier versions read.
pub fn cancel_records(id: JobId, caller: &Caller, value: Vec<u8>) -> [KeyedRecord; 2] {
    let own = KeyedRecord::new(caller_cancel_key(id, caller), value);
    let shared = KeyedRecord { key: cancel_key(id), value: own.value.clone() };
    [own, shared]
}
