//! `reedring constraint`: what a text says, what it leaves, and why a job has the machines that it has.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use reedring_client::Operator;
use reedring_constraint::{Census, Compiled, Constraint, Fleet, FleetNode, OwnService, Schema};
use reedring_settings::{Health, NodeList, Settings};

use crate::Failure;
use crate::programs::{beside, read};
use crate::submit::Place;

/// Check and explain constraints.
#[derive(Args)]
pub struct ConstraintArgs {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Read a text and print it in its full form, or its first mistake.
    Check(Check),
    /// Say which nodes a text leaves, and what each clause removes.
    Explain(Explain),
    /// Say how a job's constraint stands at a running placer.
    Why(Why),
}

/// Read a text.
#[derive(Args)]
struct Check {
    /// The text.
    text: String,
    /// Settings whose kinds, named constraints and node list it is checked against.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
}

/// Explain a text.
#[derive(Args)]
struct Explain {
    /// The text.
    text: String,
    /// Settings whose node list it is explained against, without a placer.
    #[arg(
        long,
        value_name = "FILE",
        conflicts_with = "contact",
        required_unless_present = "contact"
    )]
    config: Option<PathBuf>,
    /// A running placer's contact.
    #[arg(long, env = "REEDRING_CONTACT", value_name = "CONTACT")]
    contact: Option<String>,
}

/// Explain a job.
#[derive(Args)]
struct Why {
    #[command(flatten)]
    place: Place,
    /// The job's id.
    job: String,
}

/// Settings and the node list that they name.
fn site(config: &Path) -> Result<(Settings, Fleet), Failure> {
    let settings = Settings::parse(&read(config)?, &config.display().to_string())?;
    let nodes = beside(config, &settings.nodes);
    let list = NodeList::parse(&read(&nodes)?, &nodes.display().to_string(), &settings)?;
    let line = |node: &reedring_settings::NodeEntry| {
        let mut line = FleetNode::named(&node.name)
            .hall(&node.hall)
            .rack(&node.rack);
        line.kind = settings
            .kinds
            .get(usize::from(node.kind))
            .map(|kind| kind.name.clone())
            .unwrap_or_default();
        line.attrs = node.attrs.clone();
        (line.ready, line.gone) = (node.health == Health::Ready, node.health == Health::Gone);
        line
    };
    // Control machines take no tasks, and no constraint counts them.
    let fleet = Fleet::new(
        list.nodes
            .iter()
            .filter(|node| !node.control)
            .map(line)
            .collect(),
    );
    Ok((settings, fleet))
}

/// The text read and checked against the site; mistakes are printed.
fn checked(text: &str, site: Option<&(Settings, Fleet)>) -> Option<Constraint> {
    let result = match site {
        None => Constraint::parse(text),
        Some((settings, fleet)) => settings.constraint(text).and_then(|constraint| {
            let kinds = settings
                .kinds
                .iter()
                .map(|kind| kind.name.clone())
                .collect();
            Schema::of(kinds, fleet)
                .check(&constraint, text)
                .map(|()| constraint)
        }),
    };
    result.map_err(|mistake| eprintln!("{mistake}")).ok()
}

impl ConstraintArgs {
    pub fn run(self) -> Result<ExitCode, Failure> {
        match self.command {
            Command::Check(Check { text, config }) => {
                let site = config.as_deref().map(site).transpose()?;
                let Some(constraint) = checked(&text, site.as_ref()) else {
                    return Ok(ExitCode::FAILURE);
                };
                constraint
                    .clauses
                    .iter()
                    .for_each(|clause| println!("{clause}"));
                Ok(ExitCode::SUCCESS)
            }
            Command::Explain(Explain {
                text,
                config: Some(config),
                ..
            }) => {
                let site = site(&config)?;
                let Some(constraint) = checked(&text, Some(&site)) else {
                    return Ok(ExitCode::FAILURE);
                };
                let compiled = Compiled::new(&constraint, &site.1);
                let (census, own) = (Census::default(), OwnService::new("", ""));
                tell(&compiled.explain(&site.1, &census, &own).to_string());
                let open = compiled.open(&site.1, &census, &own, 0).machines;
                let names: Vec<&str> = open
                    .ones()
                    .map(|n| site.1.nodes()[n].name.as_str())
                    .collect();
                println!(
                    "open: {}",
                    if names.is_empty() {
                        "none".to_owned()
                    } else {
                        names.join(", ")
                    }
                );
                Ok(ExitCode::SUCCESS)
            }
            Command::Explain(Explain { text, contact, .. }) => {
                let explained = Operator::connect(&contact.unwrap_or_default())?.explain(&text)?;
                tell(&explained);
                Ok(ExitCode::SUCCESS)
            }
            Command::Why(Why { place, job }) => {
                let job = Operator::connect(&place.contact)?.job(&job)?;
                println!(
                    "{}: {}",
                    job.line.job,
                    job.constraint.as_deref().unwrap_or("has no constraint")
                );
                job.stands.iter().for_each(|line| tell(line));
                job.reason.iter().for_each(|reason| tell(reason));
                Ok(ExitCode::SUCCESS)
            }
        }
    }
}

/// One part of an explanation a line.
fn tell(text: &str) {
    text.split("; ").for_each(|part| println!("  {part}"));
}
