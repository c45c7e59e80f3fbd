//! The memory of clients' inputs on their way to the event loop. A client's task reserves its share before it reads, so
//! that what clients send beyond that waits in the sockets.

use std::ops::Deref;
use std::sync::Arc;

use reedring_platform_protocol::client::{FromClient, PlacementRequest};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::READ_BUFFER_BYTES;
use super::client::{MAX_READS, MAX_REPORTED_MESSAGES};
use crate::io::Input;

/// Waiting inputs may use the configured memory divided by this, but at least [`MIN_BYTES`].
const MEMORY_DIVISOR: usize = 16;
/// Enough for a few clients to be read while inputs of others wait.
pub(super) const MIN_BYTES: usize = 4 * RESERVATION_BYTES;
/// An upper bound of the memory of one input, besides its texts.
pub(super) const INPUT_BYTES: usize = size_of::<Input>() + size_of::<PlacementRequest>() + 64;
/// An upper bound of the memory of what one read of a client yields.
const RESERVATION_BYTES: usize =
    (MAX_READS + 1) * READ_BUFFER_BYTES + (MAX_REPORTED_MESSAGES + 2) * INPUT_BYTES;

/// Limits the memory of all clients' inputs that were read and not handled yet.
#[derive(Clone, Debug)]
pub(crate) struct InputBudget(Arc<Semaphore>);

impl InputBudget {
    /// A budget for a placer whose memory is limited to `memory_bytes`.
    pub fn new(memory_bytes: usize) -> Self {
        let bytes = (memory_bytes / MEMORY_DIVISOR).max(MIN_BYTES);
        Self(Arc::new(Semaphore::new(bytes)))
    }

    /// Waits until the inputs of one read may use memory; `None` if the budget was closed.
    pub(super) async fn reserve(&self) -> Option<Reservation> {
        let bytes = u32::try_from(RESERVATION_BYTES).unwrap_or(u32::MAX);
        let permit = Arc::clone(&self.0).acquire_many_owned(bytes).await;
        permit.ok().map(Reservation)
    }
}

/// Memory for the inputs of one read of a client.
pub(super) struct Reservation(OwnedSemaphorePermit);

impl Reservation {
    /// Assigns the memory that the inputs may use, and gives the rest back.
    pub fn assign(mut self, inputs: Vec<Input>) -> ClientInputs {
        let bytes: usize = inputs.iter().map(input_bytes).sum();
        let permit = self.0.split(bytes.min(RESERVATION_BYTES));
        ClientInputs {
            inputs,
            _permit: permit,
        }
    }
}

/// An upper bound of the memory of an input.
fn input_bytes(input: &Input) -> usize {
    let texts = match input {
        Input::ClientMessage(_, Ok(FromClient::PlacementRequest(request))) => request.text_bytes(),
        // The error quotes a part of the message.
        Input::ClientMessage(_, Err(_)) => READ_BUFFER_BYTES,
        _ => 0,
    };
    INPUT_BYTES + texts
}

/// Inputs of a client that were read together. Their memory counts against the budget until they are dropped.
#[derive(Debug)]
pub(crate) struct ClientInputs {
    inputs: Vec<Input>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl ClientInputs {
    /// Passes each input to `handle`, and returns their number.
    pub fn handle_all(self, handle: impl FnMut(Input)) -> usize {
        let count = self.inputs.len();
        self.inputs.into_iter().for_each(handle);
        count
    }
}

impl Deref for ClientInputs {
    type Target = [Input];

    fn deref(&self) -> &[Input] {
        &self.inputs
    }
}
