//! Logging of the programs.

use tracing::level_filters::LevelFilter;

/// Error of initializing the logging.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The environment variable `LOG_LEVEL` does not name a level.
    #[error("LOG_LEVEL: must be error, warn, info, debug or trace, not '{0}'")]
    UnknownLevel(String),
}

/// Initializes logging to standard error, at the level named by the environment variable `LOG_LEVEL`, or `info` by
/// default.
///
/// # Errors
/// [`LogError::UnknownLevel`] if the variable does not name a level.
pub fn init() -> Result<(), LogError> {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("warn") => LevelFilter::WARN,
        Ok("info") | Ok("") | Err(_) => LevelFilter::INFO,
        Ok("debug") => LevelFilter::DEBUG,
        Ok("trace") => LevelFilter::TRACE,
        Ok(other) => return Err(LogError::UnknownLevel(other.to_owned())),
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .init();
    Ok(())
}
