//! Tests of the writer and the reader.
