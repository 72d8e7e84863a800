//! The interface of callers, over HTTP.
