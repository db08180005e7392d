//! Tests of the leadership slice.
