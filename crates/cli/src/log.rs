//! Structured logging on standard error.

use clap::ValueEnum;
use tracing_subscriber::EnvFilter;

/// The form of log lines.
#[derive(Clone, Copy, ValueEnum)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

pub fn start(filter: &str, format: Format) -> Result<(), tracing_subscriber::filter::ParseError> {
    let filter: EnvFilter = filter.parse()?;
    let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        Format::Text => lines.init(),
        Format::Json => lines.json().init(),
    }
    Ok(())
}
