//! Sessions with other instances, by their incarnations and sequence numbers.

use std::collections::{BTreeMap, VecDeque};

use base::{Incarnation, InstanceId};
use serde::{Serialize, de::DeserializeOwned};

use crate::{ReplayWindow, Secret, WireError, frame::FrameHead};

/// Seals frames for other instances and opens theirs.
///
/// A frame is fresh if it names the receiver's current incarnation, which only a sender that has
/// received a frame from that incarnation can do. A frame recorded before the incarnation started
/// is therefore never fresh. Repeated fresh frames are dropped by their sequence numbers; frames
/// that are not fresh are not checked for repetition.
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
    incarnation: Incarnation,
    sequence: u64,
    sessions: BTreeMap<InstanceId, Session>,
}

#[derive(Debug, Default)]
struct Session {
    incarnation: Option<Incarnation>,
    /// Incarnation of which only frames that are not fresh have been received.
    candidate: Option<Incarnation>,
    window: ReplayWindow,
    ended: VecDeque<Incarnation>,
}

/// Carries the message of a verified frame, and who sent it in which incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenedFrame<T> {
    /// Instance that sent it.
    pub from: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Whether it was certainly sent during the receiver's current incarnation.
    pub is_fresh: bool,
    /// Message that it carries.
    pub message: T,
}

/// Maximum number of ended incarnations of an instance whose late frames are recognized.
const MAX_ENDED_INCARNATIONS: usize = 16;

impl Sessions {
    /// Returns sessions of the instance `me`, which has not received any frames yet.
    pub fn new(secret: Secret, me: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            secret,
            me,
            incarnation,
            sequence: 0,
            sessions: BTreeMap::new(),
        }
    }

    /// Encodes and authenticates a message for the instance `to`.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] if the message can't be encoded.
    pub fn seal<T>(&mut self, to: &InstanceId, message: &T) -> Result<Vec<u8>, WireError>
    where
        T: Serialize,
    {
        let message = postcard::to_stdvec(message).map_err(|_| WireError::Malformed)?;
        self.seal_encoded(to, &message)
    }

    /// Authenticates a message that is encoded already.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] if the frame can't be encoded.
    pub fn seal_encoded(&mut self, to: &InstanceId, message: &[u8]) -> Result<Vec<u8>, WireError> {
        self.sequence += 1;
        let to_incarnation = self.receiver_incarnation(to).unwrap_or(Incarnation(0));
        let head = FrameHead {
            from: self.me.clone(),
            from_incarnation: self.incarnation,
            to: to.clone(),
            to_incarnation,
            sequence: self.sequence,
        };
        self.secret.seal(&head, message)
    }

    /// Returns the incarnation that frames for the instance `to` name, if a frame of it has been received.
    pub fn receiver_incarnation(&self, to: &InstanceId) -> Option<Incarnation> {
        let session = self.sessions.get(to)?;
        session.candidate.or(session.incarnation)
    }

    /// Verifies and decodes a frame.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the frame must be dropped.
    pub fn open<T>(&mut self, buf: &[u8]) -> Result<OpenedFrame<T>, WireError>
    where
        T: DeserializeOwned,
    {
        let opened = self.open_encoded(buf)?;
        let message = postcard::from_bytes(opened.message).map_err(|_| WireError::Malformed)?;
        Ok(OpenedFrame {
            from: opened.from,
            incarnation: opened.incarnation,
            is_fresh: opened.is_fresh,
            message,
        })
    }

    /// Verifies a frame and leaves its message encoded, so that it can be decoded by what is known of
    /// its sender.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the frame must be dropped.
    pub fn open_encoded<'a>(&mut self, buf: &'a [u8]) -> Result<OpenedFrame<&'a [u8]>, WireError> {
        let (head, message) = self.secret.open(buf)?;
        if head.to != self.me {
            return Err(WireError::Misdirected);
        }
        let session = self.sessions.entry(head.from.clone()).or_default();
        let is_fresh = head.to_incarnation == self.incarnation;
        session.receive(head.from_incarnation, head.sequence, is_fresh)?;
        Ok(OpenedFrame {
            from: head.from,
            incarnation: head.from_incarnation,
            is_fresh,
            message,
        })
    }
}

impl Session {
    fn receive(
        &mut self,
        incarnation: Incarnation,
        sequence: u64,
        is_fresh: bool,
    ) -> Result<(), WireError> {
        if self.ended.contains(&incarnation) {
            return Err(WireError::StaleIncarnation);
        }
        if !is_fresh {
            if self.incarnation != Some(incarnation) {
                self.candidate = Some(incarnation);
            }
            return Ok(());
        }
        if self.incarnation != Some(incarnation) {
            self.begin(incarnation);
        }
        self.candidate = None;
        if self.window.accept(sequence) {
            Ok(())
        } else {
            Err(WireError::Replayed)
        }
    }

    fn begin(&mut self, incarnation: Incarnation) {
        if let Some(old) = self.incarnation.replace(incarnation) {
            self.ended.push_back(old);
        }
        if self.ended.len() > MAX_ENDED_INCARNATIONS {
            self.ended.pop_front();
        }
        self.window = ReplayWindow::default();
    }
}
