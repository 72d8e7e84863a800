//! Interface by which an agent reads the operators' records while its entries cannot.

use futures_util::future::BoxFuture;
use masticcross_wire::pool::OperatorView;
use thiserror::Error;

/// The operators' records could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct Unreadable(pub String);

/// Result of a read.
pub type Result<T> = std::result::Result<T, Unreadable>;

/// Reads the operators' records.
pub trait ViewReader: Send + Sync + 'static {
    /// Returns the newest operator view, or `None` if there is no configuration yet.
    ///
    /// # Errors
    /// Fails if the records cannot be read completely.
    fn read(&self) -> BoxFuture<'_, Result<Option<OperatorView>>>;
}
