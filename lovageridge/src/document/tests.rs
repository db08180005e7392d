//! Tests of the document slice.
