//! Admission: keys and the rate limit of each workspace.
