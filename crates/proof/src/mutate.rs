//! Malformed encodings that are drawn from valid ones with a fixed seed.

use std::env;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Draws malformed encodings: flipped bits, cut and spliced contents, lengths and numbers far too large, and noise.
///
/// # Examples
///
/// ```
/// use proof::mutate::Mutator;
///
/// let samples = vec![br#"{"epoch":7}"#.to_vec()];
/// let (mut one, mut other) = (Mutator::new(1, samples.clone()), Mutator::new(1, samples));
/// assert_eq!(one.draw(), other.draw());
/// ```
#[derive(Debug, Clone)]
pub struct Mutator {
    rng: Pcg32,
    samples: Vec<Vec<u8>>,
}

/// Variable that multiplies the number of rounds, for longer runs by hand.
const ROUNDS_VARIABLE: &str = "FUZZ_TIMES";
/// Variable that is added to all seeds.
const SEED_VARIABLE: &str = "FUZZ_SEED";
/// Maximum number of mutations of one sample.
const MAX_MUTATIONS: usize = 4;
/// Maximum length of noise, in bytes.
const MAX_NOISE: usize = 200;
/// Numbers and other values in place of a number of a text.
const ODD_NUMBERS: [&str; 10] = [
    "18446744073709551615",
    "18446744073709551616",
    "9223372036854775808",
    "4294967295",
    "-1",
    "0",
    "1e308",
    "0.5",
    "null",
    "\"\"",
];
/// Encoded numbers in place of others, as postcard encodes them, and as parts of them.
const ODD_BYTES: [&[u8]; 6] = [
    &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01],
    &[0xff, 0xff, 0xff, 0xff, 0x0f],
    &[0xff; 11],
    &[0x80, 0x80, 0x04],
    &[0x00],
    &[0x7f, 0xf0, 0, 0, 0, 0, 0, 0],
];

impl Mutator {
    /// Returns a mutator of these samples.
    pub fn new(seed: u64, samples: Vec<Vec<u8>>) -> Self {
        Self {
            rng: Pcg32::seed_from_u64(seed + number(SEED_VARIABLE).unwrap_or(0)),
            samples,
        }
    }

    /// Returns the number of rounds of a test.
    pub fn rounds(count: u64) -> u64 {
        count * number(ROUNDS_VARIABLE).unwrap_or(1)
    }

    /// Returns the next encoding.
    pub fn draw(&mut self) -> Vec<u8> {
        let mut content = self.sample();
        for _ in 0..self.rng.random_range(1..=MAX_MUTATIONS) {
            self.mutate(&mut content);
        }
        content
    }

    /// Returns the next encoding, as far as it is text.
    pub fn draw_text(&mut self) -> String {
        String::from_utf8_lossy(&self.draw()).into_owned()
    }

    fn sample(&mut self) -> Vec<u8> {
        let idx = self.rng.random_range(0..self.samples.len());
        self.samples[idx].clone()
    }

    fn mutate(&mut self, content: &mut Vec<u8>) {
        let from = self.rng.random_range(0..=content.len());
        let to = self.rng.random_range(from..=content.len());
        match self.rng.random_range(0..10) {
            0..=1 => {
                if let Some(byte) = content.get_mut(from) {
                    *byte ^= 1 << self.rng.random_range(0..8);
                }
            }
            2 => content.truncate(from),
            3 => drop(content.drain(from..to)),
            4 => {
                let other = self.sample();
                let start = self.rng.random_range(0..=other.len());
                content.splice(from..to, other[start..].iter().copied());
            }
            5 => {
                let again = content[from..to].to_vec();
                content.splice(to..to, again);
            }
            6..=7 => self.replace_number(content),
            8 => {
                let odd = ODD_BYTES[self.rng.random_range(0..ODD_BYTES.len())];
                let end = (from + 1).min(content.len());
                content.splice(from..end, odd.iter().copied());
            }
            _ => {
                let len = self.rng.random_range(0..MAX_NOISE);
                *content = (0..len).map(|_| self.rng.random()).collect();
            }
        }
    }

    /// Replaces one number of a text.
    fn replace_number(&mut self, content: &mut Vec<u8>) {
        let is_digit = |idx: &usize| content[*idx].is_ascii_digit();
        let starts: Vec<usize> = (0..content.len())
            .filter(|idx| is_digit(idx) && (*idx == 0 || !is_digit(&(idx - 1))))
            .collect();
        if starts.is_empty() {
            return;
        }
        let start = starts[self.rng.random_range(0..starts.len())];
        let len = (start..content.len()).take_while(is_digit).count();
        let odd = ODD_NUMBERS[self.rng.random_range(0..ODD_NUMBERS.len())];
        content.splice(start..start + len, odd.bytes());
    }
}

fn number(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}
