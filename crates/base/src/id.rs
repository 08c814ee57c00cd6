//! Typed identifiers.

use std::{fmt, sync::Arc};

use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, AsRef, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        #[as_ref(str)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        // Lets ordered maps be searched by a borrowed `str`.
        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

text_id!(
    /// Identifies an instance: a machine that runs the daemon.
    InstanceId
);
text_id!(
    /// Identifies a failure domain.
    DomainId
);
text_id!(
    /// Identifies a region: a set of failure domains.
    RegionId
);
text_id!(
    /// Identifies a workspace: the unit that owns API keys and a rate limit.
    WorkspaceId
);
text_id!(
    /// Identifies a service; without routes, it is the first segment of a request's path.
    ServiceId
);
text_id!(
    /// Identifies a target: a server of a service.
    TargetId
);
text_id!(
    /// Identifies an API key without revealing it.
    KeyId
);

impl RegionId {
    /// Returns the region of what runs in a failure domain that the configuration doesn't know.
    pub fn unknown() -> Self {
        Self::from("")
    }

    /// Returns whether this is a region of the configuration.
    pub fn is_known(&self) -> bool {
        !self.as_str().is_empty()
    }
}

/// Identifies one run of the process on an instance; a restarted process draws a new random value.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifies an API key by its BLAKE3 digest; the key itself is never stored.
///
/// # Examples
///
/// ```
/// use base::KeyDigest;
///
/// assert_eq!(KeyDigest::of("k1"), KeyDigest::of("k1"));
/// assert_ne!(KeyDigest::of("k1"), KeyDigest::of("k2"));
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        blake3::Hash::from_bytes(digest.0).to_hex().to_string()
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        blake3::Hash::from_hex(text.as_bytes())
            .map(|hash| Self(*hash.as_bytes()))
            .map_err(|_| "a key digest is 64 hexadecimal digits")
    }
}
