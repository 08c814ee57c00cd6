//! HTTP listeners for callers and operators, and forwarding to targets.
