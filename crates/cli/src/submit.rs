//! `reedring submit`.

use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use reedring_client::Session;
use reedring_drmaa::rpc::Range;
use reedring_drmaa::{End, ErrorCode, JobInfo, JobTemplate};

use crate::Failure;

/// Where the placer is.
#[derive(Args)]
pub struct Place {
    /// The placer's contact.
    #[arg(long, env = "REEDRING_CONTACT", value_name = "CONTACT")]
    pub contact: String,
}

/// Submit a job, wait for it, and exit with its status.
#[derive(Args)]
pub struct Submit {
    #[command(flatten)]
    place: Place,
    /// The native specification, such as `class=play cores=0.5 life=20s`.
    #[arg(long, default_value = "")]
    native: String,
    /// The job category, as the settings name it.
    #[arg(long, default_value = "")]
    category: String,
    /// So many jobs in one bulk submission.
    #[arg(long)]
    count: Option<u64>,
    /// Print the job ids and do not wait.
    #[arg(long)]
    detach: bool,
    /// Seconds to wait; without a bound unless told.
    #[arg(long, value_name = "SECONDS")]
    timeout: Option<u64>,
    /// The command, and its arguments after `--`.
    #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
    command: Vec<String>,
}

impl Submit {
    pub fn run(self) -> Result<ExitCode, Failure> {
        let session = Session::open(&self.place.contact)?;
        let mut template = JobTemplate::new();
        template.set("drmaa_remote_command", &self.command[0])?;
        template.set_vector("drmaa_v_argv", self.command[1..].to_vec())?;
        template.set("drmaa_native_specification", &self.native)?;
        template.set("drmaa_job_category", &self.category)?;
        let jobs = match self.count {
            Some(last) => session.run_bulk_jobs(
                &template,
                Range {
                    first: 1,
                    last,
                    step: 1,
                },
            )?,
            None => vec![session.run_job(&template)?],
        };
        if let Some(warning) = session.warning() {
            eprintln!("reedring: {warning}");
        }
        if self.detach {
            jobs.iter().for_each(|job| println!("{job}"));
            println!("session: {}", session.contact());
            return Ok(ExitCode::SUCCESS);
        }
        let mut worst = 0;
        for job in jobs {
            let timeout = self.timeout.map(Duration::from_secs);
            match session.wait(Some(&job), timeout) {
                Ok(info) => worst = worst.max(tell(&info)),
                Err(error) if error.code == ErrorCode::ExitTimeout => {
                    println!("{job}: not over yet; take it up with {}", session.contact());
                    worst = worst.max(124);
                }
                Err(error) => return Err(error.into()),
            }
        }
        session.exit()?;
        Ok(ExitCode::from(worst))
    }
}

/// Prints how a job ended; the exit status that stands for it, as shells have it.
fn tell(info: &JobInfo) -> u8 {
    let node = info.usage("reedring.node").unwrap_or("no node");
    let reason = info
        .usage("reedring.reason")
        .map(|reason| format!(": {reason}"))
        .unwrap_or_default();
    match &info.end {
        End::Exited { status } => {
            println!("{}: exited with status {status} at {node}", info.job);
            *status
        }
        End::Signaled { signal, .. } => {
            println!("{}: ended by {signal} at {node}{reason}", info.job);
            137
        }
        End::Aborted => {
            // The reason of a refusal or failure begins with that word.
            let outcome = info
                .usage("reedring.reason")
                .or(info.usage("reedring.outcome"));
            println!("{}: aborted, {}", info.job, outcome.unwrap_or("failed"));
            125
        }
    }
}
