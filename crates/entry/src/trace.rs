//! Request tracing with W3C Trace Context; spans are written to the log.

use base::Time;
use http::{HeaderMap, HeaderValue};

use crate::{head::TRACEPARENT, view::Clock};

/// Identifies the trace of one request (W3C Trace Context).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trace {
    trace_id: u128,
    parent_id: u64,
    is_sampled: bool,
}

/// Measures one step of a request and logs it on drop if its trace is sampled.
#[derive(Debug)]
pub struct Span {
    trace: Trace,
    id: u64,
    name: &'static str,
    clock: Clock,
    start: Time,
    note: String,
}

impl Trace {
    /// Returns the caller's trace context, or a new one that is sampled with probability
    /// `sample_ratio`.
    pub fn accept(headers: &HeaderMap, sample_ratio: f64) -> Self {
        headers
            .get(TRACEPARENT)
            .and_then(|value| parse_traceparent(value.to_str().ok()?))
            .unwrap_or_else(|| Self {
                trace_id: rand::random(),
                parent_id: 0,
                is_sampled: rand::random::<f64>() < sample_ratio,
            })
    }

    /// Returns the trace ID in hexadecimal.
    pub fn id(&self) -> String {
        format!("{:032x}", self.trace_id)
    }

    /// Starts a span whose parent is the caller's span.
    pub fn span(&self, name: &'static str, clock: Clock) -> Span {
        Span {
            trace: *self,
            id: rand::random(),
            name,
            clock,
            start: clock.now(),
            note: String::new(),
        }
    }
}

impl Span {
    /// Starts a child span of this one.
    pub fn child(&self, name: &'static str) -> Self {
        let trace = Trace {
            parent_id: self.id,
            ..self.trace
        };
        trace.span(name, self.clock)
    }

    /// Sets a note that is logged with the span; it must not contain an API key.
    pub fn note(&mut self, note: &str) {
        if self.trace.is_sampled {
            note.clone_into(&mut self.note);
        }
    }

    /// Returns the `traceparent` header for requests sent within this span.
    pub fn header(&self) -> Option<HeaderValue> {
        let flags = u8::from(self.trace.is_sampled);
        let text = format!(
            "00-{:032x}-{:016x}-{flags:02x}",
            self.trace.trace_id, self.id
        );
        HeaderValue::from_str(&text).ok()
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        if !self.trace.is_sampled {
            return;
        }
        tracing::info!(
            target: "span",
            trace_id = %self.trace.id(),
            span_id = %format_args!("{:016x}", self.id),
            parent_id = %format_args!("{:016x}", self.trace.parent_id),
            name = self.name,
            duration_us = (self.clock.now() - self.start).as_micros() as u64,
            note = %self.note,
            "span"
        );
    }
}

fn parse_traceparent(text: &str) -> Option<Trace> {
    let mut parts = text.split('-');
    let (version, trace, parent, flags) =
        (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
    let has_valid_lengths =
        version.len() == 2 && trace.len() == 32 && parent.len() == 16 && flags.len() == 2;
    if !has_valid_lengths || version == "ff" {
        return None;
    }
    let trace_id = u128::from_str_radix(trace, 16).ok()?;
    let parent_id = u64::from_str_radix(parent, 16).ok()?;
    let flags = u8::from_str_radix(flags, 16).ok()?;
    (trace_id != 0 && parent_id != 0).then_some(Trace {
        trace_id,
        parent_id,
        is_sampled: flags & 1 == 1,
    })
}
