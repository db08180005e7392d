//! Tests of the routing slice.
