//! What a process finds out about upstreams to which its connections have ended, without peers.

mod fate;
mod instance;
mod support;
