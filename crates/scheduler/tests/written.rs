//! What one node tells another of records that were handed over.

use googletest::prelude::*;
use thistle_scheduler::written::{Written, encode_outcomes, read_outcomes};

#[gtest]
fn what_was_told_is_read_as_it_was_told() {
    let told = [Written::Kept, Written::NotKept, Written::Unknown];
    expect_that!(read_outcomes(&encode_outcomes(&told), 3), eq(&told.to_vec()));
}

/// A node that has taken records and cannot say what became of them sends no body: told as not taken, a caller would be
/// refused, and the job run all the same.
#[gtest]
fn what_was_not_told_may_be_written() {
    let unknown = vec![Written::Unknown; 2];
    expect_that!(read_outcomes(&[], 2), eq(&unknown));
    expect_that!(read_outcomes(&[9, 9, 9], 2), eq(&unknown));
    expect_that!(read_outcomes(&encode_outcomes(&[Written::NotKept]), 2), eq(&unknown));
}
