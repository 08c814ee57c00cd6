//! The names by which callers, instances and targets tell one another things in heads.

use base::ErrorKind;
use http::{HeaderName, HeaderValue};

/// Tells where a caller shows its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyPlace {
    /// `Authorization: Bearer`, `x-api-key` or a query parameter.
    Usual,
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
/// let dialect = Dialect::default().tag(HeaderName::from_static("request-id"));
/// assert!(dialect.tag.is_some());
/// ```
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Where a caller shows its key.
    pub key: KeyPlace,
    /// Header in which a caller says how long it waits, in milliseconds.
    pub timeout_ms: HeaderName,
    /// Header that tells a target how long the caller still waits, in milliseconds.
    pub left_ms: HeaderName,
    /// Header that names the request's workspace to the target.
    pub workspace: HeaderName,
    /// Header in which a target says that it did not run a request, and its value where only that
    /// one says so.
    pub not_run: (HeaderName, Option<HeaderValue>),
    /// Statuses that say the same without the header.
    pub not_run_statuses: Vec<u16>,
    /// Header that identifies an attempt of a caller and that targets repeat in their answers.
    pub tag: Option<HeaderName>,
    /// Header that names the target a request is meant for.
    pub target: Option<HeaderName>,
    /// Header in which a target tells its load: running, waiting and slots, with commas.
    pub load: Option<HeaderName>,
    /// Header without which a target's success is none.
    pub proof: Option<HeaderName>,
    /// Cookie that names the object a request is about.
    pub affinity_cookie: Option<String>,
    /// Whether the caller's `Host` reaches the target.
    pub keeps_host: bool,
    /// Whether traces are passed on.
    pub passes_traces: bool,
    /// Whether `Retry-After` may have fractions of a second.
    pub has_fractions: bool,
    /// Statuses that differ from the table of errors.
    pub statuses: Vec<(ErrorKind, u16)>,
}

impl Default for Dialect {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            key: KeyPlace::Usual,
            timeout_ms: name("request-timeout-ms"),
            left_ms: name("request-deadline-ms"),
            workspace: name("request-workspace"),
            not_run: (name("request-ran"), Some(HeaderValue::from_static("no"))),
            not_run_statuses: Vec::new(),
            tag: None,
            target: None,
            load: None,
            proof: None,
            affinity_cookie: None,
            keeps_host: false,
            passes_traces: true,
            has_fractions: false,
            statuses: Vec::new(),
        }
    }
}

impl Dialect {
    /// Sets the header that identifies a caller's attempt.
    pub fn tag(mut self, name: HeaderName) -> Self {
        self.tag = Some(name);
        self
    }

    /// Returns the status with which a request is refused for this kind of error.
    pub fn status(&self, kind: ErrorKind) -> u16 {
        let own = self.statuses.iter().find(|(found, _)| *found == kind);
        own.map_or(kind.response().status, |(_, status)| *status)
    }

    /// Returns whether a header is set by the instance and never passed on from the caller.
    pub fn is_replaced(&self, name: &HeaderName) -> bool {
        *name == self.timeout_ms
            || *name == self.left_ms
            || *name == self.workspace
            || self.target.as_ref() == Some(name)
            || matches!(&self.key, KeyPlace::Header(key) if key == name)
    }
}
