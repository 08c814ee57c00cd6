//! What makes two requests the same one, sent again.

use crate::forward::RequestTemplate;

/// Digests what makes it the same request when its caller sends it again: the caller's key, method,
/// path, idempotency key and body.
///
/// A request that ends its targets is barred by this digest, and no other caller's with it.
pub fn fingerprint(template: &RequestTemplate, action: Option<&str>, key: Option<&str>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in [
        key.unwrap_or_default(),
        template.method.as_str(),
        template.path.as_str(),
        action.unwrap_or_default(),
    ] {
        hasher.update(part.as_bytes());
        hasher.update(b"\n");
    }
    hasher.update(&template.body);
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
