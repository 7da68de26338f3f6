//! Configuration of the service, read from a TOML file.

use crate::access::Authenticator;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Settings of the service. `deploy/wes.toml` is an annotated example.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    pub listen: SocketAddr,
    /// Mesh addresses of controllers.
    pub controllers: Vec<SocketAddr>,
    /// Directory in which workers find task descriptions. `None`: they are not written.
    #[serde(default, rename = "descriptions")]
    pub descriptions_dir: Option<PathBuf>,
    /// Image of tools that name none.
    #[serde(default = "default_image", rename = "image")]
    pub default_image: String,
    /// Maximum number of documents compiled concurrently.
    #[serde(default = "default_compile_threads", rename = "readers")]
    pub compile_threads: usize,
    #[serde(default = "default_connections", rename = "connections")]
    /// Maximum number of open client connections.
    pub max_connections: usize,
    #[serde(default, rename = "client")]
    pub clients: Vec<Client>,
}

/// A client that may submit runs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Client {
    pub name: String,
    /// SHA-256 digest of the bearer token in hexadecimal. The token itself is not stored.
    pub token_sha256: String,
    /// Teams for which it may submit; the first is the default.
    pub teams: Vec<String>,
}

fn default_image() -> String {
    "default".into()
}

fn default_compile_threads() -> usize {
    2
}

/// Bounds memory use: each connection may buffer a submission of 8 MiB before it is authenticated.
fn default_connections() -> usize {
    64
}

impl Config {
    /// Reads and validates a configuration file.
    ///
    /// # Errors
    /// Returns a message with the file name and either the syntax error or all invalid values.
    pub fn load(path: &Path) -> Result<Config, String> {
        let name = path.display();
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot read file: {e}"))?;
        Config::parse(&text).map_err(|e| format!("{name}: {e}"))
    }

    /// Parses and validates the text of a configuration file.
    ///
    /// # Errors
    /// As [`Config::load`], without the file name.
    pub fn parse(text: &str) -> Result<Config, String> {
        let config: Config = toml::from_str(text).map_err(|e| e.to_string())?;
        let mut errors = Vec::new();
        if config.controllers.is_empty() {
            errors.push("controllers: at least one mesh address is required".to_owned());
        }
        for (field, value, max) in [
            ("readers", config.compile_threads, 64),
            ("connections", config.max_connections, 10_000),
        ] {
            if value == 0 || value > max {
                errors.push(format!("{field}: must be between 1 and {max}"));
            }
        }
        for c in &config.clients {
            if c.teams.is_empty() {
                errors.push(format!(
                    "client {}: teams: at least one is required",
                    c.name
                ));
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
                errors.push(format!("client {}: duplicate name or token", c.name));
            }
        }
        if errors.is_empty() {
            Ok(config)
        } else {
            Err(errors.join("\n"))
        }
    }
}
