//! Small stand-ins for the platform, targets and callers, for tests and the development mode.
