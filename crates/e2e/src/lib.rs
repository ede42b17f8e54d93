//! End-to-end tests with real processes; all code is in `tests/`.
