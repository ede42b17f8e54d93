//! Write outcomes that one node reports to another for records that it forwarded.

use googletest::prelude::*;
use thistle_scheduler::write_outcome::{WriteOutcome, decode_outcomes, encode_outcomes};

#[gtest]
fn outcomes_are_decoded_as_they_were_encoded() {
    let outcomes = [WriteOutcome::Kept, WriteOutcome::NotKept, WriteOutcome::Unknown];
    expect_that!(decode_outcomes(&encode_outcomes(&outcomes), 3), eq(&outcomes.to_vec()));
}

/// A node that has accepted records and does not know their outcome sends no body. If that meant not kept, the caller would
/// be refused though the job runs.
#[gtest]
fn outcomes_that_are_not_reported_are_unknown() {
    let unknown = vec![WriteOutcome::Unknown; 2];
    expect_that!(decode_outcomes(&[], 2), eq(&unknown));
    expect_that!(decode_outcomes(&[9, 9, 9], 2), eq(&unknown));
    expect_that!(decode_outcomes(&encode_outcomes(&[WriteOutcome::NotKept]), 2), eq(&unknown));
}
