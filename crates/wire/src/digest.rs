use sha2::{Digest, Sha256};

/// SHA-256 in hexadecimal, as digests are written in rows, frames and calls.
pub fn sha256(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}
