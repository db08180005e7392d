//! Tests of the admission slice.
