//! Traces with a span for each hop, as JSON lines.

use base::Time;
use http::{HeaderMap, HeaderValue};

use crate::{head::TRACEPARENT, view::Clock};

/// Holds the identity of one request's trace (W3C Trace Context).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trace {
    trace_id: u128,
    parent_id: u64,
    is_sampled: bool,
}

/// Measures one hop and logs it when it ends.
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
    /// Returns the trace that the caller named, or a new one of which a `share` is logged.
    pub fn accept(headers: &HeaderMap, share: f64) -> Self {
        headers
            .get(TRACEPARENT)
            .and_then(|value| parse(value.to_str().ok()?))
            .unwrap_or_else(|| Self {
                trace_id: rand::random(),
                parent_id: 0,
                is_sampled: rand::random::<f64>() < share,
            })
    }

    /// Returns the trace's identifier in hexadecimal.
    pub fn id(&self) -> String {
        format!("{:032x}", self.trace_id)
    }

    /// Begins a span below the caller's.
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
    /// Begins a span below this one.
    pub fn child(&self, name: &'static str) -> Self {
        let trace = Trace {
            parent_id: self.id,
            ..self.trace
        };
        trace.span(name, self.clock)
    }

    /// Adds a remark that is logged with the span; it must not contain a key.
    pub fn note(&mut self, note: &str) {
        if self.trace.is_sampled {
            note.clone_into(&mut self.note);
        }
    }

    /// Returns the header that passes the trace on below this span.
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

fn parse(text: &str) -> Option<Trace> {
    let mut parts = text.split('-');
    let (version, trace, parent, flags) =
        (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
    let is_shaped =
        version.len() == 2 && trace.len() == 32 && parent.len() == 16 && flags.len() == 2;
    if !is_shaped || version == "ff" {
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
