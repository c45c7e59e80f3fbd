//! A constraint's text: read or refused, and what is read prints to the same tree.
#![no_main]

use libfuzzer_sys::fuzz_target;
use reedring_constraint::Constraint;
use reedring_drmaa::native::Native;

fuzz_target!(|text: &str| {
    match Constraint::parse(text) {
        Ok(read) => assert_eq!(Constraint::parse(&read.to_string()).as_ref(), Ok(&read)),
        Err(mistake) => assert!(!mistake.to_string().is_empty()),
    }
    let _ = Native::parse(text);
});
