//! Fingerprints that identify repeats of a request.

use crate::forward::RequestTemplate;

/// Returns a digest that is equal when a caller repeats a request: of its API key, method, path,
/// idempotency key and body.
///
/// Requests that crash their targets are quarantined by this digest. It includes the API key so
/// that other callers' requests are not affected.
pub fn fingerprint(
    template: &RequestTemplate,
    idempotency_key: Option<&str>,
    api_key: Option<&str>,
) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in [
        api_key.unwrap_or_default(),
        template.method.as_str(),
        template.path.as_str(),
        idempotency_key.unwrap_or_default(),
    ] {
        hasher.update(part.as_bytes());
        hasher.update(b"\n");
    }
    hasher.update(&template.body);
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}
