//! Tests of the callers slice.
