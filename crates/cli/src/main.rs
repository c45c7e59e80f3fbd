//! The program `reedring`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    reedring_cli::main()
}
