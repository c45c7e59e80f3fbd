//! A placer on the platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;

use crate::Failure;

/// Run one placer on the platform.
#[derive(Args)]
pub struct Platform {
    /// Its configuration, in the platform's form.
    #[arg(long, env = "PROXY_CONFIG", value_name = "FILE")]
    config: PathBuf,
    /// Where clients connect, in place of `listen` in the configuration.
    #[arg(long, env = "PROXY_LISTEN", value_name = "ADDRESS")]
    listen: Option<SocketAddr>,
}

impl Platform {
    pub fn run(self) -> Result<ExitCode, Failure> {
        reedring_platform::run(&self.config, self.listen)?;
        Ok(ExitCode::SUCCESS)
    }
}
