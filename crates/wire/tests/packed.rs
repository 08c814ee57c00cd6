//! Compressed contents: what is packed is unpacked, and bad ones take no memory.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use wire::{Packed, UnpackError};

const MAX: usize = 100_000;

fn packed(size: u32, bytes: &[u8]) -> Packed {
    let encoded = postcard::to_stdvec(&(size, bytes)).unwrap();
    postcard::from_bytes(&encoded).unwrap()
}

#[test]
fn packed_drawn_contents_are_unpacked() {
    let mut rng = Pcg32::seed_from_u64(5);
    for _ in 0..300 {
        let len = rng.random_range(0..5_000);
        let letters = rng.random_range(1..=255);
        let content: Vec<u8> = (0..len).map(|_| rng.random_range(0..letters)).collect();
        assert_eq!(Packed::new(&content).unpack(MAX), Ok(content));
    }
}

/// Guards against memory that a few bytes take: a size beyond the receiver's bound, or beyond what they can hold.
#[test]
fn packed_bomb_is_refused() {
    let bomb = Packed::new(&vec![0; MAX + 1]);
    let size = MAX as u32 + 1;
    assert_eq!(bomb.unpack(MAX), Err(UnpackError::TooLarge { size }));
    let size = MAX as u32;
    let claimed = packed(size, &[0; 40]).unpack(MAX);
    assert_eq!(claimed, Err(UnpackError::TooLarge { size }));
}

#[test]
fn packed_changed_bytes_are_harmless() {
    let mut rng = Pcg32::seed_from_u64(6);
    let content = "again and ".repeat(300).into_bytes();
    let whole = postcard::to_stdvec(&Packed::new(&content)).unwrap();
    for _ in 0..2_000 {
        let mut bytes = whole.clone();
        let idx = rng.random_range(0..bytes.len());
        bytes[idx] = rng.random();
        if let Ok(changed) = postcard::from_bytes::<Packed>(&bytes) {
            let len = changed.unpack(MAX).map_or(0, |found| found.len());
            assert!(len <= MAX);
        }
        bytes.truncate(idx);
        assert!(postcard::from_bytes::<Packed>(&bytes).is_err());
    }
    let size = content.len() as u32;
    assert_eq!(
        packed(size, &[7; 60]).unpack(MAX),
        Err(UnpackError::Malformed)
    );
}
