//! Panics become faults.

use crate::panics::catch_panic;
use crate::wire::Reply;

#[test]
fn a_panic_becomes_a_fault_with_its_text() {
    let text = catch_panic(|| panic!("column {} is odd", 3)).unwrap_err().0;
    assert_eq!(text, "column 3 is odd");
    let mut reply = Reply::default();
    reply.fault(&text);
    let frame = reply.finish();
    assert_eq!(frame[8], 80);
    assert!(frame.ends_with(text.as_bytes()));
}
