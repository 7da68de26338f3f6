//! Who a request is from, by its bearer token.

use crate::config::Client;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

type Hash = [u8; 32];

/// Clients by the digests of their tokens. A look-up compares digests, so its time tells nothing
/// about a token.
pub struct Access(BTreeMap<Hash, Client>);

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    #[error("a bearer token is needed")]
    NoToken,
    #[error("the token is not known")]
    Unknown,
}

impl Access {
    pub fn new(clients: &[Client]) -> Access {
        let entry = |c: &Client| Some((Access::digest_of(&c.token_sha256)?, c.clone()));
        Access(clients.iter().filter_map(entry).collect())
    }

    /// Reads a digest as the file has it.
    pub fn digest_of(hex: &str) -> Option<Hash> {
        let mut out = [0; 32];
        if hex.len() != 64 || !hex.is_ascii() {
            return None;
        }
        for (i, byte) in out.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).ok()?;
        }
        Some(out)
    }

    /// A token's digest as the file has it.
    pub fn digest_text(token: &str) -> String {
        Sha256::digest(token.as_bytes())
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect()
    }

    /// The client of an `Authorization` header.
    ///
    /// # Errors
    /// That there is no token, or that nobody has it.
    pub fn client(&self, authorization: Option<&str>) -> Result<&Client, Denied> {
        let (scheme, token) = authorization
            .and_then(|a| a.split_once(' '))
            .ok_or(Denied::NoToken)?;
        if !scheme.eq_ignore_ascii_case("bearer") || token.trim().is_empty() {
            return Err(Denied::NoToken);
        }
        let digest: Hash = Sha256::digest(token.trim().as_bytes()).into();
        self.0.get(&digest).ok_or(Denied::Unknown)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn tokens_are_told_apart() {
        let client = Client {
            name: "ledger".into(),
            token_sha256: Access::digest_text("secret"),
            teams: vec!["crew".into()],
        };
        let access = Access::new(&[client]);
        assert_eq!(
            access
                .client(Some("Bearer secret"))
                .map(|c| c.name.as_str()),
            Ok("ledger")
        );
        assert_eq!(
            access
                .client(Some("bearer secret "))
                .map(|c| c.name.as_str()),
            Ok("ledger")
        );
        assert_eq!(
            access.client(None).map(|c| c.name.as_str()),
            Err(Denied::NoToken)
        );
        assert_eq!(
            access.client(Some("Basic secret")).map(|c| c.name.as_str()),
            Err(Denied::NoToken)
        );
        assert_eq!(
            access
                .client(Some("Bearer Secret"))
                .map(|c| c.name.as_str()),
            Err(Denied::Unknown)
        );
    }
}
