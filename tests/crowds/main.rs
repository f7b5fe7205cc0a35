//! Crowds of clients that do not keep to the limits, against the built binary, one module per feature.
//!
//! Each test starts a process with lowered limits, has a crowd of connections send and hold what the test names, and
//! then checks that the process lives, its memory, its open descriptors and that one ordinary request is answered.
//! The memory of a process is only meaningful while nothing else loads the machine, so the tests take turns.

mod crowd;
mod datagrams;
mod descriptors;
mod endless_heads;
mod endless_lines;
mod framing;
mod gateway;
mod http2;
mod links;
mod mixed;
mod own_face;
mod own_streams;
mod process;
mod read_ahead;
mod resets;
mod running_requests;
mod stalled_bodies;
mod stalled_heads;
mod states;
mod status_faces;
mod trickled_heads;
mod unread_responses;

/// Path of the built binary.
const BINARY: &str = env!("CARGO_BIN_EXE_bramleyspring");
