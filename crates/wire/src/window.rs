//! Which sequence numbers have been received.

/// Tells new sequence numbers from repeated and very old ones.
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
    seen: u128,
}

const WIDTH: u64 = 128;

impl ReplayWindow {
    /// Records a sequence number and returns whether it is new; zero never is.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 {
            return false;
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift >= WIDTH {
                1
            } else {
                (self.seen << shift) | 1
            };
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WIDTH {
            return false;
        }
        let bit = 1 << age;
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }
}
