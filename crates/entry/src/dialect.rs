//! The names by which callers, instances and targets tell one another things in heads.

use base::ErrorKind;
use http::{HeaderName, HeaderValue};

/// Tells where a caller shows its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLocation {
    /// `Authorization: Bearer`, `x-api-key` or a query parameter.
    Standard,
    /// A header that holds nothing but the key.
    Header(HeaderName),
}

/// Names what heads carry, towards callers and targets.
///
/// # Examples
///
/// ```
/// use entry::dialect::Dialect;
/// use http::HeaderName;
///
/// let dialect = Dialect::default().attempt_id(HeaderName::from_static("request-id"));
/// assert!(dialect.attempt_id.is_some());
/// ```
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Where a caller shows its key.
    pub key: KeyLocation,
    /// Header in which a caller says how long it waits, in milliseconds.
    pub timeout_ms: HeaderName,
    /// Header that tells a target how long the caller still waits, in milliseconds.
    pub remaining_ms: HeaderName,
    /// Header that names the request's workspace to the target.
    pub workspace: HeaderName,
    /// Header in which a target says that it did not run a request, and its value where only that
    /// one says so.
    pub not_run: (HeaderName, Option<HeaderValue>),
    /// Statuses that say the same without the header.
    pub not_run_statuses: Vec<u16>,
    /// Header that identifies an attempt of a caller and that targets repeat in their answers.
    pub attempt_id: Option<HeaderName>,
    /// Header that names the target a request is meant for.
    pub target: Option<HeaderName>,
    /// Header in which a target tells its load: running, waiting and slots, with commas.
    pub load: Option<HeaderName>,
    /// Header without which a target's success is none.
    pub required_on_success: Option<HeaderName>,
    /// Cookie that names the object a request is about.
    pub affinity_cookie: Option<String>,
    /// Whether the caller's `Host` reaches the target.
    pub preserves_host: bool,
    /// Whether traces are passed on.
    pub propagates_traces: bool,
    /// Whether `Retry-After` may have fractions of a second.
    pub has_fractional_retry_after: bool,
    /// Statuses that differ from the table of errors.
    pub status_overrides: Vec<(ErrorKind, u16)>,
}

impl Default for Dialect {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            key: KeyLocation::Standard,
            timeout_ms: name("request-timeout-ms"),
            remaining_ms: name("request-deadline-ms"),
            workspace: name("request-workspace"),
            not_run: (name("request-ran"), Some(HeaderValue::from_static("no"))),
            not_run_statuses: Vec::new(),
            attempt_id: None,
            target: None,
            load: None,
            required_on_success: None,
            affinity_cookie: None,
            preserves_host: false,
            propagates_traces: true,
            has_fractional_retry_after: false,
            status_overrides: Vec::new(),
        }
    }
}

impl Dialect {
    /// Sets the header that identifies a caller's attempt.
    pub fn attempt_id(mut self, name: HeaderName) -> Self {
        self.attempt_id = Some(name);
        self
    }

    /// Returns the status with which a request is refused for this kind of error.
    pub fn status(&self, kind: ErrorKind) -> u16 {
        let own = self
            .status_overrides
            .iter()
            .find(|(found, _)| *found == kind);
        own.map_or(kind.answer().status, |(_, status)| *status)
    }

    /// Returns whether a header is set by the instance and never passed on from the caller.
    pub fn is_replaced(&self, name: &HeaderName) -> bool {
        *name == self.timeout_ms
            || *name == self.remaining_ms
            || *name == self.workspace
            || self.target.as_ref() == Some(name)
            || matches!(&self.key, KeyLocation::Header(key) if key == name)
    }
}
