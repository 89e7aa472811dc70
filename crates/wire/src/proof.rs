//! Mutual authentication by an HMAC over fresh nonces.
//!
//! Each side sends a nonce and proves that it has the fleet key by an
//! HMAC-SHA-256 over its side of the handshake, both nonces and its hello. The
//! key itself is never sent, and a recorded proof is invalid for new nonces.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The fleet key, which all processes of the system share.
#[derive(Clone)]
pub struct Key(Vec<u8>);

/// The side of the handshake that made a proof. It is part of the digest, so that
/// a proof cannot be reflected to the process that made it.
#[derive(Clone, Copy)]
pub(crate) enum Side {
    Dialer,
    Acceptor,
}

impl Key {
    /// Creates a key from its secret bytes.
    pub fn new(secret: &[u8]) -> Key {
        Key(secret.to_vec())
    }

    pub(crate) fn prove(&self, side: Side, nonces: [&[u8]; 2], hello: &[u8]) -> Vec<u8> {
        self.mac(side, nonces, hello).finalize().into_bytes().to_vec()
    }

    /// Returns whether `proof` is valid, in constant time.
    pub(crate) fn check(&self, side: Side, nonces: [&[u8]; 2], hello: &[u8], proof: &[u8]) -> bool {
        self.mac(side, nonces, hello).verify_slice(proof).is_ok()
    }

    fn mac(&self, side: Side, nonces: [&[u8]; 2], hello: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
        mac.update(match side {
            Side::Dialer => b"dialer",
            Side::Acceptor => b"accept",
        });
        mac.update(nonces[0]);
        mac.update(nonces[1]);
        mac.update(hello);
        mac
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(masked)")
    }
}
