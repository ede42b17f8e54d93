//! What one node tells another of records that were handed over.

use googletest::prelude::*;
use thistle_scheduler::write_outcome::{WriteOutcome, decode_outcomes, encode_outcomes};

#[gtest]
fn what_was_told_is_read_as_it_was_told() {
    let told = [WriteOutcome::Kept, WriteOutcome::NotKept, WriteOutcome::Unknown];
    expect_that!(decode_outcomes(&encode_outcomes(&told), 3), eq(&told.to_vec()));
}

/// A node that has taken records and cannot say what became of them sends no body: told as not taken, a caller would be
/// refused, and the job run all the same.
#[gtest]
fn what_was_not_told_may_be_written() {
    let unknown = vec![WriteOutcome::Unknown; 2];
    expect_that!(decode_outcomes(&[], 2), eq(&unknown));
    expect_that!(decode_outcomes(&[9, 9, 9], 2), eq(&unknown));
    expect_that!(decode_outcomes(&encode_outcomes(&[WriteOutcome::NotKept]), 2), eq(&unknown));
}
