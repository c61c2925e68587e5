//! Integration tests by theme; they drive the real binary.

mod command_line;
mod configuration;
mod groups;
mod requests;
mod support;
