//! Records: a `postcard` encoding behind its CRC-32C, little-endian.

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::error::{Corruption, StoreError};

const CHECKSUM_BYTES: usize = 4;

/// A value as a record's bytes.
pub(crate) fn encode(value: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    let body = postcard::to_allocvec(value)?;
    let checksum = crc32c::crc32c(&body).to_le_bytes();
    Ok([&checksum[..], &body].concat())
}

/// The value of a record that is called `record` in errors.
pub(crate) fn decode<T: DeserializeOwned>(record: &'static str, bytes: &[u8]) -> Result<T, Corruption> {
    let corrupt = || Corruption::Checksum { record };
    let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or_else(corrupt)?;
    if crc32c::crc32c(body).to_le_bytes() != checksum {
        return Err(corrupt());
    }
    postcard::from_bytes(body).map_err(|_| corrupt())
}
