use sha2::{Digest, Sha256};

/// Returns the SHA-256 of `bytes` in lower-case hexadecimal, the form in which
/// rows, frames and calls hold digests.
pub fn sha256(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}
