//! The service's own file (TOML): where it listens, whom it asks, and who its clients are.

use crate::access::Authenticator;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// See `deploy/wes.toml`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    pub listen: SocketAddr,
    /// Mesh addresses of controllers.
    pub controllers: Vec<SocketAddr>,
    /// Where tasks' descriptions are left for workers.
    #[serde(default, rename = "descriptions")]
    pub descriptions_dir: Option<PathBuf>,
    /// The image of tools that name none.
    #[serde(default = "default_image", rename = "image")]
    pub default_image: String,
    /// Documents that are read at once.
    #[serde(default = "default_compile_threads", rename = "readers")]
    pub compile_threads: usize,
    #[serde(default = "default_connections", rename = "connections")]
    pub max_connections: usize,
    #[serde(default, rename = "client")]
    pub clients: Vec<Client>,
}

/// Who may submit.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Client {
    pub name: String,
    /// The token's SHA-256 in hexadecimal digits; the token itself is nowhere.
    pub token_sha256: String,
    /// Teams that it may submit for; the first is the one of runs that name none.
    pub teams: Vec<String>,
}

fn default_image() -> String {
    "default".into()
}

fn default_compile_threads() -> usize {
    2
}

/// Each may hold a submission of 8 MiB before its token is looked at.
fn default_connections() -> usize {
    64
}

impl Config {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The place and what is wrong; all faults of values at once.
    pub fn load(path: &Path) -> Result<Config, String> {
        let name = path.display();
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot be read: {e}"))?;
        Config::parse(&text).map_err(|e| format!("{name}: {e}"))
    }

    /// # Errors
    /// As [`Config::load`], without the file's name.
    pub fn parse(text: &str) -> Result<Config, String> {
        let config: Config = toml::from_str(text).map_err(|e| e.to_string())?;
        let mut errors = Vec::new();
        if config.controllers.is_empty() {
            errors.push("controllers: at least one mesh address is needed".to_owned());
        }
        for (field, value, max) in [
            ("readers", config.compile_threads, 64),
            ("connections", config.max_connections, 10_000),
        ] {
            if value == 0 || value > max {
                errors.push(format!("{field}: must be 1 to {max}"));
            }
        }
        for c in &config.clients {
            if c.teams.is_empty() {
                errors.push(format!("client {}: teams: at least one is needed", c.name));
            }
            if Authenticator::parse_digest(&c.token_sha256).is_none() {
                errors.push(format!(
                    "client {}: token_sha256: must have 64 hexadecimal digits",
                    c.name
                ));
            }
            if c.name.is_empty() || c.name.len() > 100 {
                errors.push(format!("client {}: name: must have 1 to 100 bytes", c.name));
            }
        }
        for (i, c) in config.clients.iter().enumerate() {
            if config.clients[..i]
                .iter()
                .any(|d| d.name == c.name || d.token_sha256 == c.token_sha256)
            {
                errors.push(format!("client {}: name or token stands twice", c.name));
            }
        }
        if errors.is_empty() {
            Ok(config)
        } else {
            Err(errors.join("\n"))
        }
    }
}
