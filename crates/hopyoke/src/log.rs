//! Logs of our programs.

use tracing::level_filters::LevelFilter;

/// Logs go to standard error at the level that `LOG_LEVEL` gives; `info` by default.
///
/// # Errors
/// If that is no level.
pub fn start() -> Result<(), String> {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("warn") => LevelFilter::WARN,
        Ok("info") | Ok("") | Err(_) => LevelFilter::INFO,
        Ok("debug") => LevelFilter::DEBUG,
        Ok("trace") => LevelFilter::TRACE,
        Ok(other) => {
            return Err(format!(
                "LOG_LEVEL: '{other}' is not error, warn, info, debug or trace"
            ));
        }
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
