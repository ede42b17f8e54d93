//! Locks on tables that are shared between tasks.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a table. A table whose lock is poisoned by a panic is still consistent, because each change is one statement.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
