//! Authenticates clients by bearer token.

use crate::config::Client;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

type TokenDigest = [u8; 32];

/// Maps the SHA-256 digests of bearer tokens to clients. Lookups compare digests rather than tokens, so
/// their timing reveals nothing about a token.
pub struct Authenticator(BTreeMap<TokenDigest, Client>);

/// The reason why a request is not authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AuthError {
    #[error("missing bearer token")]
    MissingToken,
    #[error("unknown bearer token")]
    UnknownToken,
}

impl Authenticator {
    /// Indexes the clients by token digest, skipping those whose digest is malformed.
    pub fn new(clients: &[Client]) -> Authenticator {
        let entry = |c: &Client| Some((Authenticator::parse_digest(&c.token_sha256)?, c.clone()));
        Authenticator(clients.iter().filter_map(entry).collect())
    }

    /// Parses a digest as written in the configuration file; `None` unless it has 64 hexadecimal digits.
    pub fn parse_digest(hex: &str) -> Option<TokenDigest> {
        let mut digest = [0; 32];
        if hex.len() != 64 || !hex.is_ascii() {
            return None;
        }
        for (i, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).ok()?;
        }
        Some(digest)
    }

    /// Returns the SHA-256 digest of a token as written in the configuration file.
    pub fn token_digest(token: &str) -> String {
        Sha256::digest(token.as_bytes())
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect()
    }

    /// Returns the client that an `Authorization` header identifies.
    ///
    /// # Errors
    /// Returns [`AuthError`] if the header holds no bearer token or the token belongs to no client.
    pub fn authenticate(&self, authorization: Option<&str>) -> Result<&Client, AuthError> {
        let (scheme, token) = authorization
            .and_then(|a| a.split_once(' '))
            .ok_or(AuthError::MissingToken)?;
        if !scheme.eq_ignore_ascii_case("bearer") || token.trim().is_empty() {
            return Err(AuthError::MissingToken);
        }
        let digest: TokenDigest = Sha256::digest(token.trim().as_bytes()).into();
        self.0.get(&digest).ok_or(AuthError::UnknownToken)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn clients_are_identified_by_token() {
        let client = Client {
            name: "ledger".into(),
            token_sha256: Authenticator::token_digest("secret"),
            teams: vec!["crew".into()],
        };
        let authenticator = Authenticator::new(&[client]);
        assert_eq!(
            authenticator
                .authenticate(Some("Bearer secret"))
                .map(|c| c.name.as_str()),
            Ok("ledger")
        );
        assert_eq!(
            authenticator
                .authenticate(Some("bearer secret "))
                .map(|c| c.name.as_str()),
            Ok("ledger")
        );
        assert_eq!(
            authenticator.authenticate(None).map(|c| c.name.as_str()),
            Err(AuthError::MissingToken)
        );
        assert_eq!(
            authenticator
                .authenticate(Some("Basic secret"))
                .map(|c| c.name.as_str()),
            Err(AuthError::MissingToken)
        );
        assert_eq!(
            authenticator
                .authenticate(Some("Bearer Secret"))
                .map(|c| c.name.as_str()),
            Err(AuthError::UnknownToken)
        );
    }
}
