//! Compressed configurations.
//!
//! A configuration of some thousand routes has half a megabyte, goes to every entry VM and stays in the
//! replicated log. Its text compresses to a fifteenth.

use std::io::{Read, Write};
use std::sync::Arc;

use eyre::ensure;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Largest document, bytes.
pub const MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Compresses a document.
pub fn compress(document: &[u8]) -> eyre::Result<Arc<[u8]>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document)?;
    Ok(encoder.finish()?.into())
}

/// Returns the document that was compressed.
pub fn decompress(bytes: &[u8]) -> eyre::Result<Vec<u8>> {
    let mut document = Vec::new();
    // One byte more tells a document that is too long.
    ZlibDecoder::new(bytes)
        .take(MAX_BYTES + 1)
        .read_to_end(&mut document)?;
    ensure!(
        document.len() as u64 <= MAX_BYTES,
        "the document is too long"
    );
    Ok(document)
}
