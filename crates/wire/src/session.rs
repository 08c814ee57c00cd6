//! What is known of each other instance's life and sequence numbers.

use std::collections::{BTreeMap, VecDeque};

use base::{Incarnation, InstanceId};
use serde::{Serialize, de::DeserializeOwned};

use crate::{ReplayWindow, Secret, WireError, frame::Frame};

/// Seals frames for other instances and opens theirs.
///
/// A frame is proven where it names the receiver's present life, which only a sender that has
/// heard from that life can do; so a frame recorded earlier can't pass for a new one.
///
/// # Examples
///
/// ```
/// use base::Incarnation;
/// use wire::{Secret, Sessions};
///
/// let secret = Secret::derive("sixteen characters");
/// let mut one = Sessions::new(secret.clone(), "a".into(), Incarnation(1));
/// let mut two = Sessions::new(secret, "b".into(), Incarnation(2));
/// let hello = one.seal(&"b".into(), &1u32).unwrap();
/// assert!(!two.open::<u32>(&hello).unwrap().is_fresh);
/// let reply = two.seal(&"a".into(), &2u32).unwrap();
/// assert!(one.open::<u32>(&reply).unwrap().is_fresh);
/// ```
#[derive(Debug)]
pub struct Sessions {
    secret: Secret,
    me: InstanceId,
    life: Incarnation,
    sequence: u64,
    sessions: BTreeMap<InstanceId, Session>,
}

#[derive(Debug, Default)]
struct Session {
    life: Option<Incarnation>,
    candidate: Option<Incarnation>,
    window: ReplayWindow,
    ended: VecDeque<Incarnation>,
}

/// Holds an opened frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenedFrame<T> {
    /// Instance that sent it.
    pub from: InstanceId,
    /// Life of that instance.
    pub incarnation: Incarnation,
    /// Whether it was certainly sent during the receiver's present life.
    pub is_fresh: bool,
    /// The message.
    pub message: T,
}

const MOST_ENDED_LIVES: usize = 16;

impl Sessions {
    /// Returns sessions with nobody.
    pub fn new(secret: Secret, me: InstanceId, life: Incarnation) -> Self {
        Self {
            secret,
            me,
            life,
            sequence: 0,
            sessions: BTreeMap::new(),
        }
    }

    /// Returns a frame with `message` for the instance `to`.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] where the message can't be encoded.
    pub fn seal<T>(&mut self, to: &InstanceId, message: &T) -> Result<Vec<u8>, WireError>
    where
        T: Serialize,
    {
        self.sequence += 1;
        let to_life = self
            .sessions
            .get(to)
            .and_then(|session| session.candidate.or(session.life))
            .unwrap_or(Incarnation(0));
        self.secret.seal(&Frame {
            from: self.me.clone(),
            from_life: self.life,
            to: to.clone(),
            to_life,
            sequence: self.sequence,
            message,
        })
    }

    /// Opens a frame.
    ///
    /// # Errors
    ///
    /// [`WireError`] where the frame must be dropped.
    pub fn open<T>(&mut self, buf: &[u8]) -> Result<OpenedFrame<T>, WireError>
    where
        T: DeserializeOwned,
    {
        let frame: Frame<T> = self.secret.open(buf)?;
        if frame.to != self.me {
            return Err(WireError::Misdirected);
        }
        let session = self.sessions.entry(frame.from.clone()).or_default();
        let is_fresh = frame.to_life == self.life;
        session.receive(frame.from_life, frame.sequence, is_fresh)?;
        Ok(OpenedFrame {
            from: frame.from,
            incarnation: frame.from_life,
            is_fresh,
            message: frame.message,
        })
    }
}

impl Session {
    fn receive(
        &mut self,
        life: Incarnation,
        sequence: u64,
        is_fresh: bool,
    ) -> Result<(), WireError> {
        if self.ended.contains(&life) {
            return Err(WireError::StaleIncarnation);
        }
        if !is_fresh {
            if self.life != Some(life) {
                self.candidate = Some(life);
            }
            return Ok(());
        }
        if self.life != Some(life) {
            self.begin(life);
        }
        self.candidate = None;
        if self.window.accept(sequence) {
            Ok(())
        } else {
            Err(WireError::Replayed)
        }
    }

    fn begin(&mut self, life: Incarnation) {
        if let Some(old) = self.life.replace(life) {
            self.ended.push_back(old);
        }
        if self.ended.len() > MOST_ENDED_LIVES {
            self.ended.pop_front();
        }
        self.window = ReplayWindow::default();
    }
}
