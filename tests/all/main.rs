//! Integration tests that run the `hollowbarrow` binary.

mod backoff;
mod command_line;
mod configuration;
mod crashing_request;
mod crashing_while_waiting;
mod endless;
mod groups;
mod heads;
mod ingress;
mod isolation;
mod limit;
mod raw_nodes;
mod reference;
mod requests;
mod slow_caller;
mod support;
mod unconfirmed;
mod unframed;
mod voter_replacement;
