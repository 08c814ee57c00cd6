//! Dispatch of admitted requests: concurrency limits, fair queueing, retries and at-most-once execution.
