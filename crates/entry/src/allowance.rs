//! A limit on the bytes that are read from a target.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use crate::filtered::ReadFilter;

/// Sets how many bytes may still be read from a stream, which fails once they are used up; all clones
/// share the number.
#[derive(Debug, Clone)]
pub(crate) struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    /// Returns an allowance of any number of bytes.
    pub(crate) fn unlimited() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// Lets this many bytes be read from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Lets any number of bytes be read from now on.
    pub(crate) fn lift(&self) {
        self.set(usize::MAX);
    }

    /// Takes bytes off and returns whether there were as many.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left != usize::MAX {
            self.set(left.saturating_sub(bytes));
        }
        bytes <= left
    }
}

impl ReadFilter for Allowance {
    fn filter(&mut self, bytes: &mut [u8]) -> io::Result<()> {
        if self.take(bytes.len()) {
            Ok(())
        } else {
            Err(io::ErrorKind::InvalidData.into())
        }
    }
}
