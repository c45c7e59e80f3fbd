//! `reedring check`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use reedring_settings::{NodeList, Settings};

use crate::Failure;
use crate::run::{beside, read};

/// Check settings, and the node list that they name.
#[derive(Args)]
pub struct Check {
    /// The settings.
    file: PathBuf,
}

impl Check {
    pub fn run(self) -> Result<ExitCode, Failure> {
        let settings = match Settings::parse(&read(&self.file)?, &self.file.display().to_string()) {
            Ok(settings) => settings,
            Err(problems) => {
                eprintln!("{problems}");
                return Ok(ExitCode::FAILURE);
            }
        };
        let count = |n: usize, what: &str| format!("{n} {what}{}", if n == 1 { "" } else { "es" });
        println!(
            "{}: placer {}, {}, {} kinds, {} tenants, {} categories",
            self.file.display(),
            settings.name,
            count(settings.classes.len(), "class"),
            settings.kinds.len(),
            settings.tenants.len(),
            settings.categories.len()
        );
        let nodes = beside(&self.file, &settings.nodes);
        match NodeList::parse(&read(&nodes)?, &nodes.display().to_string(), &settings) {
            Ok(list) => {
                println!("{}: {} nodes", nodes.display(), list.nodes.len());
                Ok(ExitCode::SUCCESS)
            }
            Err(problems) => {
                eprintln!("{problems}");
                Ok(ExitCode::FAILURE)
            }
        }
    }
}
