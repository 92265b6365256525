//! Record format: the CRC-32C of the body, little-endian, followed by the body in `postcard` encoding.

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::error::{Corruption, StoreError};

const CHECKSUM_BYTES: usize = 4;

/// Encodes a value as a record.
pub(crate) fn encode(value: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    let body = postcard::to_allocvec(value)?;
    let checksum = crc32c::crc32c(&body).to_le_bytes();
    Ok([&checksum[..], &body].concat())
}

/// Verifies and decodes a record; `record` is its name in errors.
pub(crate) fn decode<T: DeserializeOwned>(record: &'static str, bytes: &[u8]) -> Result<T, Corruption> {
    let corruption = || Corruption::Checksum { record };
    let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or_else(corruption)?;
    if crc32c::crc32c(body).to_le_bytes() != checksum {
        return Err(corruption());
    }
    postcard::from_bytes(body).map_err(|_| corruption())
}
