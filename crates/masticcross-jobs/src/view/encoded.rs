//! An operator view in the form in which it is sent.

use bytes::Bytes;
use masticcross_wire::codec;
use masticcross_wire::pool::{OperatorView, ViewPart, ViewRange};
use twox_hash::XxHash3_64;

/// Size of a part, in bytes.
pub const PART_BYTES: usize = 32 * 1024;

/// Largest accepted size of an encoded view, in bytes.
pub const MAX_VIEW_BYTES: usize = 16 * 1024 * 1024;

/// Result of encoding or decoding.
pub type Result<T> = codec::Result<T>;

/// An encoded operator view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedView {
    position: u64,
    digest: u64,
    bytes: Bytes,
}

impl EncodedView {
    /// Encodes a view.
    ///
    /// # Errors
    /// Fails if the view cannot be encoded.
    pub fn encode(view: &OperatorView) -> Result<Self> {
        let bytes = codec::encode_view(view)?;
        Ok(Self::new(view.position, bytes))
    }

    /// Creates an encoded view from its position and bytes.
    #[must_use]
    pub fn new(position: u64, bytes: Bytes) -> Self {
        Self {
            position,
            digest: XxHash3_64::oneshot(&bytes),
            bytes,
        }
    }

    /// Decodes the view.
    ///
    /// # Errors
    /// Fails if the bytes are not a view.
    pub fn decode(&self) -> Result<OperatorView> {
        codec::decode_view(&self.bytes)
    }

    /// Returns the position of the view.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the digest of the bytes.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the requested part, or the first one if another view was requested.
    #[must_use]
    pub fn part(&self, range: ViewRange) -> ViewPart {
        let len = self.bytes.len();
        let offset = usize::try_from(range.offset).unwrap_or(len);
        let offset = if range.position == self.position && offset < len {
            offset
        } else {
            0
        };
        ViewPart {
            position: self.position,
            digest: self.digest,
            total: len as u64,
            offset: offset as u64,
            bytes: self.bytes.slice(offset..(offset + PART_BYTES).min(len)),
        }
    }
}
