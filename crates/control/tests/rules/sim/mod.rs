//! Seeded fault injection for property tests: random numbers, a table and engines.

pub mod engine;
pub mod table;

/// A small random number generator, so that a seed reproduces a whole run.
#[derive(Debug, Clone)]
pub struct SeededRng(u64);

impl SeededRng {
    /// A generator with this seed.
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) % bound
    }

    /// An index below `len`.
    pub fn index(&mut self, len: usize) -> usize {
        usize::try_from(self.below(len as u64)).expect("fits the type")
    }

    /// True with a probability of `percent` percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
