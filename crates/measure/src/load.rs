//! pending
