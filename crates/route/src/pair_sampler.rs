//! Seeded samples of two indices, for power-of-two-choices selection.

use kernel::seeded_rng;

/// A pseudo-random sequence determined by its seed.
#[derive(Clone, Debug)]
pub(crate) struct PairSampler {
    count: u64,
    seed: u64,
}

impl PairSampler {
    pub(crate) fn new(seed: u64) -> Self {
        Self { count: 0, seed }
    }

    /// Two indices below `length`, distinct when `length` is at least two; both zero otherwise.
    pub(crate) fn pair(&mut self, length: usize) -> (usize, usize) {
        if length < 2 {
            return (0, 0);
        }
        let first = self.draw(length);
        let step = 1 + self.draw(length - 1);
        (first, (first + step) % length)
    }

    fn draw(&mut self, bound: usize) -> usize {
        self.count += 1;
        let number = seeded_rng::mix(self.seed, &self.count.to_le_bytes());
        (number % bound as u64) as usize
    }
}
