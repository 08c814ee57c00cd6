//! A sliding window of received sequence numbers.

/// Detects sequence numbers that are repeated or too old to be checked.
///
/// # Examples
///
/// ```
/// use wire::ReplayWindow;
///
/// let mut window = ReplayWindow::default();
/// assert!(window.accept(5));
/// assert!(window.accept(4));
/// assert!(!window.accept(5));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if the sequence number `highest - n` has been received.
    received: u128,
}

/// Number of sequence numbers, up to the highest, that the window covers.
const WINDOW_BITS: u64 = 128;

impl ReplayWindow {
    /// Records a sequence number and returns whether it is accepted as new; zero never is.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 {
            return false;
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.received = if shift >= WINDOW_BITS {
                1
            } else {
                (self.received << shift) | 1
            };
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW_BITS {
            return false;
        }
        let bit = 1 << age;
        let is_new = self.received & bit == 0;
        self.received |= bit;
        is_new
    }
}
