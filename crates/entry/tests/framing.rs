//! Where requests begin and end on a connection, and which of them can be read in two ways.

use entry::framing::Framing;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

const SPLITS: u64 = 200;
/// Requests that end where all readers see their end, with line ends of any kind in their bodies.
const SOUND: [&str; 6] = [
    "GET /x HTTP/1.1\r\nhost: h\r\n\r\n",
    "\r\nGET /x HTTP/1.1\r\nHost: h\r\nx:\r\n\r\n",
    "POST /x HTTP/1.1\r\nContent-Length: 6\r\n\r\na\rb\nc\n",
    "POST /x HTTP/1.1\r\ncontent-length:0\r\n\r\n",
    "PUT /x HTTP/1.1\r\nTransfer-Encoding: gzip, Chunked\r\n\r\n1A;a=b\r\n\r\rabcdefghijklmnopqrstuvw\n\r\n0\r\nt: 1\r\n\r\n",
    "PUT /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
];

/// Checks bytes in pieces of drawn sizes and returns the position of the ambiguous one.
fn check(rng: &mut Pcg32, bytes: &[u8]) -> Option<usize> {
    let mut framing = Framing::default();
    let mut from = 0;
    while from < bytes.len() {
        let to = rng.random_range(from + 1..=bytes.len().min(from + 40));
        if let Err(pos) = framing.check(&bytes[from..to]) {
            return Some(from + pos);
        }
        from = to;
    }
    None
}

#[test]
fn framing_sound_requests_pass_however_they_arrive() {
    for seed in 0..SPLITS {
        let mut rng = Pcg32::seed_from_u64(seed);
        let drawn = (0..8).map(|_| SOUND[rng.random_range(0..SOUND.len())]);
        let text: String = drawn.collect();
        assert_eq!(check(&mut rng, text.as_bytes()), None, "{seed}: {text:?}");
    }
}

/// The ambiguous byte is the one before `|`, which is not sent.
#[rstest]
#[case::line_feed_before_request("\n|GET /x HTTP/1.1\r\n\r\n")]
#[case::line_feed_after_request_line("GET /x HTTP/1.1\n|host: h\r\n\r\n")]
#[case::line_feed_in_header("GET /x HTTP/1.1\r\nx: a\n|y: b\r\n\r\n")]
#[case::line_feed_after_head("GET /x HTTP/1.1\r\nx: a\r\n\n|")]
#[case::carriage_return_in_header("GET /x HTTP/1.1\r\nx: a\rb|\r\n\r\n")]
#[case::two_carriage_returns("GET /x HTTP/1.1\r\nx: a\r\r|\n\r\n")]
#[case::line_feed_in_chunk_size(
    "PUT /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\n|a\r\n0\r\n\r\n"
)]
#[case::line_feed_in_trailer(
    "PUT /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\nt: 1\n|\r\n"
)]
#[case::two_lengths("POST /x HTTP/1.1\r\ncontent-length: 1\r\nContent-Length: 2\r\n|\r\nab")]
#[case::same_length_twice("POST /x HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 1\r\n|\r\na")]
#[case::length_and_encoding(
    "POST /x HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n|0\r\n\r\n"
)]
#[case::encoding_and_length(
    "POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n|0\r\n\r\n"
)]
fn framing_ambiguous_request_is_found_behind_sound_ones(#[case] marked: &str) {
    for seed in 0..SPLITS {
        let mut rng = Pcg32::seed_from_u64(seed);
        let drawn = (0..3).map(|_| SOUND[rng.random_range(0..SOUND.len())]);
        let before: String = drawn.collect();
        let at = before.len() + marked.find('|').unwrap() - 1;
        let text = before + &marked.replace('|', "");
        assert_eq!(
            check(&mut rng, text.as_bytes()),
            Some(at),
            "{seed}: {text:?}"
        );
    }
}
