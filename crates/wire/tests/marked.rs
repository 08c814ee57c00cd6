//! Bytes with a marked end are whole, or visibly broken.

use std::io::ErrorKind;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use wire::marked::{MAX_CHUNK_BYTES, MarkedStream, write_chunk, write_end};

/// MIXED: an answer that ends with its connection looked whole when the process that carried it was
/// killed, at any byte of the connection.
#[tokio::test]
async fn marked_bytes_cut_anywhere_are_broken() {
    let mut rng = Pcg32::seed_from_u64(7);
    for _ in 0..300 {
        let chunks: Vec<Vec<u8>> = (0..rng.random_range(0..4))
            .map(|_| vec![rng.random(); rng.random_range(1..40)])
            .collect();
        let mut encoded = Vec::new();
        for chunk in &chunks {
            write_chunk(&mut encoded, chunk).await.unwrap();
        }
        write_end(&mut encoded).await.unwrap();
        let cut = rng.random_range(0..=encoded.len());
        let (mut near, far) = duplex(16);
        let sent = encoded[..cut].to_vec();
        tokio::spawn(async move { near.write_all(&sent).await });
        let mut received = Vec::new();
        let result = MarkedStream::new(far).read_to_end(&mut received).await;
        let whole = chunks.concat();
        assert!(whole.starts_with(&received));
        if cut == encoded.len() {
            assert_eq!((result.unwrap(), &received), (whole.len(), &whole));
        } else {
            assert_eq!(result.unwrap_err().kind(), ErrorKind::UnexpectedEof);
        }
    }
}

#[tokio::test]
async fn marked_stream_writes_through() {
    let (mut near, far) = duplex(64);
    MarkedStream::new(far).write_all(b"as it is").await.unwrap();
    let mut text = String::new();
    near.read_to_string(&mut text).await.unwrap();
    assert_eq!(text, "as it is");
}

#[tokio::test]
async fn marked_chunk_too_large_is_refused() {
    let too_large = vec![0; MAX_CHUNK_BYTES + 1];
    assert!(write_chunk(&mut Vec::new(), &too_large).await.is_err());
    assert!(write_chunk(&mut Vec::new(), &[]).await.is_err());
    let (mut near, far) = duplex(64);
    near.write_u32(MAX_CHUNK_BYTES as u32 + 1).await.unwrap();
    let mut received = Vec::new();
    let result = MarkedStream::new(far).read_to_end(&mut received).await;
    assert_eq!(result.unwrap_err().kind(), ErrorKind::InvalidData);
}
