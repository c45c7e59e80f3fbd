//! The DRMAA 1.0 C binding (GFD.133) over the client library: `libdrmaa.so`.
//!
//! Each function does what the specification says of its name; `include/drmaa.h` declares them. Every
//! function catches panics at the boundary and answers `DRMAA_ERRNO_INTERNAL_ERROR` for one. Pointers
//! are trusted as far as C has to be: each block says which promise of the caller it rests on.

mod buffers;
mod calls;
mod iterators;
mod session;
mod templates;

pub use calls::*;
pub use iterators::*;
pub use templates::*;

/// `DRMAA_ERRNO_SUCCESS`.
pub const SUCCESS: i32 = 0;
