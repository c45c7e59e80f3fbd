//! `reedring check`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use reedring_settings::{NodeList, Settings, table_owners};

use crate::Failure;
use crate::programs::{beside, read};

/// Check settings, and the node list that they name.
#[derive(Args)]
pub struct Check {
    /// The settings.
    file: PathBuf,
}

impl Check {
    pub fn run(self) -> Result<ExitCode, Failure> {
        let text = read(&self.file)?;
        let settings = match Settings::parse(&text, &self.file.display().to_string()) {
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
        match settings.plan() {
            Ok(Some(plan)) => println!("plan {}, of {} bytes", plan.version(), plan.text().len()),
            Ok(None) => println!("no [plan]: nodes are told nothing of what this placer acts by"),
            Err(problems) => {
                eprintln!("{problems}");
                return Ok(ExitCode::FAILURE);
            }
        }
        for whose in ["the plan", "the placer's own"] {
            let tables = table_owners(&text)
                .into_iter()
                .filter(|(_, of)| *of == whose);
            let names: Vec<String> = tables.map(|(name, _)| name).collect();
            println!(
                "{whose}: {}",
                if names.is_empty() {
                    "nothing".to_owned()
                } else {
                    names.join(", ")
                }
            );
        }
        let nodes = beside(&self.file, &settings.nodes);
        match NodeList::parse(&read(&nodes)?, &nodes.display().to_string(), &settings) {
            Ok(list) => {
                println!("{}: {} nodes", nodes.display(), list.nodes.len());
                tell_voters(&list);
                Ok(ExitCode::SUCCESS)
            }
            Err(problems) => {
                eprintln!("{problems}");
                Ok(ExitCode::FAILURE)
            }
        }
    }
}

/// Which nodes vote on plans, and what is better than an even number of them.
fn tell_voters(list: &NodeList) {
    let names: Vec<&str> = list.control().map(|node| node.name.as_str()).collect();
    if names.is_empty() {
        return println!("voters: every node");
    }
    println!("voters: {}; no tasks are placed there", names.join(", "));
    if names.len().is_multiple_of(2) {
        let lost = (names.len() - 1) / 2;
        println!(
            "advice: {} voters bear the loss of {lost}, as {} do; mark an odd number",
            names.len(),
            names.len() - 1
        );
    }
}
