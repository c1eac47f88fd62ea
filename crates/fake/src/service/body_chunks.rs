//! Large response bodies whose every byte a checker can verify.

use {bytes::Bytes, kernel::seeded_rng::mix};

/// Size of one chunk of a large body.
const CHUNK_BYTES: usize = 8192;
/// Length of the hexadecimal number that is repeated within a chunk.
const NUMBER_BYTES: usize = 16;

/// Iterator over the chunks of a large body.
#[derive(Clone, Debug)]
pub struct BodyChunks {
    remaining: usize,
    chunk: u64,
    seed: u64,
}

impl BodyChunks {
    /// Creates the body of `size` bytes for a request to `path` with `run_key`.
    pub fn new(path: &str, run_key: &str, size: usize) -> Self {
        Self {
            remaining: size,
            chunk: 0,
            seed: mix(mix(0, path.as_bytes()), run_key.as_bytes()),
        }
    }
}

impl Iterator for BodyChunks {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        if self.remaining == 0 {
            return None;
        }
        let number = mix(self.seed, &self.chunk.to_be_bytes());
        let text = format!("{number:016x}").repeat(CHUNK_BYTES / NUMBER_BYTES);
        let mut chunk = Bytes::from(text);
        chunk.truncate(self.remaining);
        self.remaining -= chunk.len();
        self.chunk += 1;
        Some(chunk)
    }
}

/// Returns the complete body that a service sends for `X-Answer-Size`.
pub fn expected_body(path: &str, run_key: &str, size: usize) -> Vec<u8> {
    let mut body = Vec::with_capacity(size);
    for chunk in BodyChunks::new(path, run_key, size) {
        body.extend_from_slice(&chunk);
    }
    body
}
