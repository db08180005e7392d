//! Tests of the placement slice.
