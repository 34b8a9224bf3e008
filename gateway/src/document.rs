//! Compression of configuration documents.
//!
//! A configuration with about a thousand routes is half a megabyte of text, is sent to every entry VM
//! and is stored in the replicated log. It compresses to about a fifteenth of its size.

use std::io::{Read, Write};
use std::sync::Arc;

use eyre::ensure;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Maximum size of an uncompressed document, bytes.
pub const MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Compresses a document with zlib.
pub fn compress(document: &[u8]) -> eyre::Result<Arc<[u8]>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses a document. Fails if the result exceeds [`MAX_BYTES`].
pub fn decompress(bytes: &[u8]) -> eyre::Result<Vec<u8>> {
    let mut document = Vec::new();
    // Reads one byte past the limit to detect a document that exceeds it.
    ZlibDecoder::new(bytes)
        .take(MAX_BYTES + 1)
        .read_to_end(&mut document)?;
    ensure!(
        document.len() as u64 <= MAX_BYTES,
        "decompressed document exceeds {MAX_BYTES} bytes"
    );
    Ok(document)
}
