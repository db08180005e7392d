//! Tests of the attempts slice.
