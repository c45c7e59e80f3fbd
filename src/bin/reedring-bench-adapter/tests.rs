//! Tests of catching and reporting panics.

use crate::panics::catch_panic;
use crate::wire::Reply;

#[test]
fn a_panic_is_reported_as_a_fault_with_its_message() {
    let text = catch_panic(|| panic!("column {} is odd", 3)).unwrap_err().0;
    assert_eq!(text, "column 3 is odd");
    let mut reply = Reply::default();
    reply.fault(&text);
    let frame = reply.finish();
    // The code of the first action, after the header of 8 bytes.
    assert_eq!(frame[8], 80);
    assert!(frame.ends_with(text.as_bytes()));
}
