//! Catches panics of the decision module, which are reported as faults in the reply.

use std::any::Any;
use std::panic::{self, AssertUnwindSafe};

/// The message of a panic.
#[derive(Debug)]
pub struct PanicMessage(pub String);

/// Calls `step`; returns the message of a panic in it as an error.
pub fn catch_panic(step: impl FnOnce()) -> Result<(), PanicMessage> {
    panic::catch_unwind(AssertUnwindSafe(step)).map_err(|payload| message(payload.as_ref()))
}

/// The message of a panic from its payload, which is a `String` or a `&str` unless the panic has another
/// payload.
fn message(payload: &(dyn Any + Send)) -> PanicMessage {
    let formatted = payload.downcast_ref::<String>().cloned();
    let literal = payload
        .downcast_ref::<&str>()
        .map(|text| (*text).to_owned());
    let unknown = "the decisions broke without a text";
    PanicMessage(formatted.or(literal).unwrap_or_else(|| unknown.to_owned()))
}
