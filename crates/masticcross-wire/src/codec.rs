//! Coding of batches of frames.

use bytes::Bytes;
use thiserror::Error;

use crate::frame::Frame;

/// Largest accepted batch, in bytes.
pub const MAX_BATCH_BYTES: usize = 32 * 1024 * 1024;

/// Why a batch could not be coded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The frames could not be encoded.
    #[error("frames could not be encoded: {0}")]
    Encode(String),
    /// The bytes are no batch of frames.
    #[error("bytes are no batch of frames: {0}")]
    Decode(String),
    /// The batch is over [`MAX_BATCH_BYTES`].
    #[error("batch of {0} bytes is over the limit of {MAX_BATCH_BYTES}")]
    TooLarge(usize),
}

/// Result of the coding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Encodes a batch.
///
/// # Errors
/// Fails if the batch is over [`MAX_BATCH_BYTES`].
pub fn encode(batch: &[Frame]) -> Result<Bytes> {
    let mut buf = Vec::with_capacity(256);
    ciborium::into_writer(batch, &mut buf).map_err(|e| CodecError::Encode(e.to_string()))?;
    if buf.len() > MAX_BATCH_BYTES {
        return Err(CodecError::TooLarge(buf.len()));
    }
    Ok(buf.into())
}

/// Decodes a batch.
///
/// # Errors
/// Fails if the bytes are over [`MAX_BATCH_BYTES`], are no batch, or have bytes left over.
pub fn decode(bytes: &[u8]) -> Result<Vec<Frame>> {
    if bytes.len() > MAX_BATCH_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    let mut rest = bytes;
    let batch = ciborium::from_reader(&mut rest).map_err(|e| CodecError::Decode(e.to_string()))?;
    if !rest.is_empty() {
        return Err(CodecError::Decode(format!(
            "{} bytes left over",
            rest.len()
        )));
    }
    Ok(batch)
}
