//! A bound on retries as a part of the first tries.

/// The retries allowed at once, besides those earned.
const BURST: u64 = 10;

/// The price of one retry, in the unit in which first tries earn.
const PRICE: u64 = 100;

/// Retries earned by first tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    held: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            held: BURST * PRICE,
        }
    }
}

impl Budget {
    /// A first try earns `percent` of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.held = (self.held + u64::from(percent)).min(BURST * PRICE);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        match self.held.checked_sub(PRICE) {
            Some(rest) => {
                self.held = rest;
                true
            }
            None => false,
        }
    }
}
