//! Tests of the config slice.
