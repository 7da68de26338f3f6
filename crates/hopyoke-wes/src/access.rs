//! Who a request is from, by its bearer token.

use crate::config::Client;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

type TokenDigest = [u8; 32];

/// Clients by the digests of their tokens. A look-up compares digests, so its time tells nothing
/// about a token.
pub struct Authenticator(BTreeMap<TokenDigest, Client>);

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AuthError {
    #[error("a bearer token is needed")]
    MissingToken,
    #[error("the token is not known")]
    UnknownToken,
}

impl Authenticator {
    pub fn new(clients: &[Client]) -> Authenticator {
        let entry = |c: &Client| Some((Authenticator::parse_digest(&c.token_sha256)?, c.clone()));
        Authenticator(clients.iter().filter_map(entry).collect())
    }

    /// Reads a digest as the file has it.
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

    /// A token's digest as the file has it.
    pub fn token_digest(token: &str) -> String {
        Sha256::digest(token.as_bytes())
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect()
    }

    /// The client of an `Authorization` header.
    ///
    /// # Errors
    /// That there is no token, or that nobody has it.
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
    fn tokens_are_told_apart() {
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
