//! Integration tests by theme; they drive the real binary.

mod backoff;
mod command_line;
mod configuration;
mod crashing_request;
mod door;
mod groups;
mod limit;
mod reference;
mod requests;
mod support;
