//! Structured logging on standard error.

use std::io::IsTerminal;

use clap::ValueEnum;
use tracing_subscriber::EnvFilter;

/// The form of log lines.
#[derive(Clone, Copy, ValueEnum)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
    /// The words alone, for a collector that stamps lines itself.
    Brief,
}

pub fn start(filter: &str, format: Format) -> Result<(), tracing_subscriber::filter::ParseError> {
    let filter: EnvFilter = filter.parse()?;
    // Colours are for terminals; a file or a collector gets none.
    let colours = std::io::stderr().is_terminal();
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(colours);
    match format {
        Format::Text => lines.init(),
        Format::Json => lines.json().init(),
        Format::Brief => lines
            .without_time()
            .with_level(false)
            .with_target(false)
            .init(),
    }
    Ok(())
}
