//! Large bodies whose every byte a checker can tell.

use {bytes::Bytes, kernel::seeded_rng::mix};

/// Bytes of one piece of a large body.
const PIECE_BYTES: usize = 8192;
/// Bytes of one number within a piece.
const NUMBER_BYTES: usize = 16;

/// Makes a large body piece by piece.
#[derive(Clone, Debug)]
pub struct BodyStream {
    left: usize,
    piece: u64,
    seed: u64,
}

impl BodyStream {
    /// The body of `size` bytes for a request to `path` with `run_key`.
    pub fn new(path: &str, run_key: &str, size: usize) -> Self {
        Self {
            left: size,
            piece: 0,
            seed: mix(mix(0, path.as_bytes()), run_key.as_bytes()),
        }
    }
}

impl Iterator for BodyStream {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        if self.left == 0 {
            return None;
        }
        let number = mix(self.seed, &self.piece.to_be_bytes());
        let text = format!("{number:016x}").repeat(PIECE_BYTES / NUMBER_BYTES);
        let mut piece = Bytes::from(text);
        piece.truncate(self.left);
        self.left -= piece.len();
        self.piece += 1;
        Some(piece)
    }
}

/// The whole large body that a service sends for `X-Answer-Size`.
pub fn expected_body(path: &str, run_key: &str, size: usize) -> Vec<u8> {
    let mut body = Vec::with_capacity(size);
    for piece in BodyStream::new(path, run_key, size) {
        body.extend_from_slice(&piece);
    }
    body
}
