//! Frames between instances: malformed, unauthenticated, replayed and misdirected ones are dropped.

use std::time::Duration;

use base::Incarnation;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, duplex},
    time::sleep,
};
use wire::{Secret, Sessions, WireError, stream};

fn pair() -> (Sessions, Sessions) {
    let secret = Secret::derive("a secret for tests only");
    let mut one = Sessions::new(secret.clone(), "a".into(), Incarnation(1));
    let mut two = Sessions::new(secret, "b".into(), Incarnation(2));
    for _ in 0..2 {
        let frame = one.seal(&"b".into(), &0u32).unwrap();
        two.open::<u32>(&frame).unwrap();
        let frame = two.seal(&"a".into(), &0u32).unwrap();
        one.open::<u32>(&frame).unwrap();
    }
    (one, two)
}

#[test]
fn session_frames_are_fresh_after_a_round_trip() {
    let (mut one, mut two) = pair();
    let frame = one.seal(&"b".into(), &9u32).unwrap();
    let opened = two.open::<u32>(&frame).unwrap();
    assert!(opened.is_fresh);
    assert_eq!(opened.message, 9);
}

#[rstest]
#[case::truncated(|frame: &mut Vec<u8>| frame.truncate(5), WireError::Malformed)]
#[case::last_byte_missing(|frame: &mut Vec<u8>| { frame.pop(); }, WireError::Unauthenticated)]
#[case::bit_flipped(|frame: &mut Vec<u8>| frame[3] ^= 1, WireError::Unauthenticated)]
#[case::extra_byte(|frame: &mut Vec<u8>| frame.push(0), WireError::Unauthenticated)]
#[case::empty(|frame: &mut Vec<u8>| frame.clear(), WireError::Malformed)]
fn session_drops_damaged<F>(#[case] damage: F, #[case] expected: WireError)
where
    F: Fn(&mut Vec<u8>),
{
    let (mut one, mut two) = pair();
    let mut frame = one.seal(&"b".into(), &9u32).unwrap();
    damage(&mut frame);
    assert_eq!(two.open::<u32>(&frame), Err(expected));
}

#[test]
fn session_drops_replay() {
    let (mut one, mut two) = pair();
    let frame = one.seal(&"b".into(), &9u32).unwrap();
    two.open::<u32>(&frame).unwrap();
    assert_eq!(two.open::<u32>(&frame), Err(WireError::Replayed));
}

#[test]
fn session_recorded_frame_is_not_fresh_in_a_later_incarnation() {
    let (mut one, _) = pair();
    let recorded = one.seal(&"b".into(), &9u32).unwrap();
    let secret = Secret::derive("a secret for tests only");
    let mut restarted = Sessions::new(secret, "b".into(), Incarnation(3));
    assert!(!restarted.open::<u32>(&recorded).unwrap().is_fresh);
}

#[test]
fn session_drops_frame_of_other_secret() {
    let (_, mut two) = pair();
    let other = Secret::derive("another secret entirely");
    let mut sender = Sessions::new(other, "a".into(), Incarnation(1));
    let frame = sender.seal(&"b".into(), &9u32).unwrap();
    assert_eq!(two.open::<u32>(&frame), Err(WireError::Unauthenticated));
}

#[test]
fn session_drops_misdirected() {
    let (mut one, mut two) = pair();
    let frame = one.seal(&"c".into(), &9u32).unwrap();
    assert_eq!(two.open::<u32>(&frame), Err(WireError::Misdirected));
}

#[test]
fn nonce_frame_opens_only_with_its_nonce() {
    let secret = Secret::derive("a secret for tests only");
    let frame = secret.seal_with_nonce(&[1; 16], &5u32).unwrap();
    assert_eq!(secret.open_with_nonce::<u32>(&[1; 16], &frame), Ok(5));
    assert_eq!(
        secret.open_with_nonce::<u32>(&[2; 16], &frame),
        Err(WireError::Unauthenticated)
    );
}

#[rstest]
#[case::over_limit(&[0xff, 0xff, 0xff, 0xff])]
#[case::closed_within_a_frame(&[0, 0, 0, 9, 1, 2])]
#[tokio::test]
async fn stream_refuses(#[case] bytes: &[u8]) {
    let mut input = bytes;
    assert!(stream::read(&mut input).await.is_err());
}

#[tokio::test]
async fn stream_ends_between_frames() {
    let mut input: &[u8] = &[];
    assert_eq!(stream::read(&mut input).await.unwrap(), None);
}

/// Guards against CONFIG: an instance gave up a large table that another one was still receiving.
#[rstest]
#[case::slow(100, true)]
#[case::stuck(2_000, false)]
#[tokio::test(start_paused = true)]
async fn frame_is_written_as_long_as_the_receiver_takes_it(
    #[case] pause_ms: u64,
    #[case] is_written: bool,
) {
    const MAX_PAUSE: Duration = Duration::from_millis(1_500);
    let frame = vec![7; 100_000];
    let (mut near, mut far) = duplex(1_000);
    let taken = tokio::spawn(async move {
        let (mut taken, mut buf) = (Vec::new(), [0; 1_000]);
        loop {
            sleep(Duration::from_millis(pause_ms)).await;
            match far.read(&mut buf).await {
                Ok(0) | Err(_) => return taken,
                Ok(count) => taken.extend_from_slice(&buf[..count]),
            }
        }
    });
    let written = stream::write_unless_stuck(&mut near, &frame, MAX_PAUSE, || {}).await;
    assert_eq!(written.is_ok(), is_written);
    drop(near);
    let taken = taken.await.unwrap();
    assert_eq!(taken.ends_with(&frame), is_written);
}
