//! How much of a process's memory and descriptors its clients may use.

use nix::sys::resource::{Resource, getrlimit};

/// Descriptors that are assumed where the operating system tells no limit.
const DEFAULT_DESCRIPTORS: u32 = 1024;
/// Part of the memory that clients may use, in eighths.
const CLIENT_EIGHTHS: usize = 3;
/// Part of the memory for answers of upstreams that are being read, in eighths.
const ANSWER_EIGHTHS: usize = 1;

/// Memory of a process's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineMemory(u32);

impl MachineMemory {
    /// Creates the memory from a number of megabytes.
    pub fn new(megabytes: u32) -> Self {
        Self(megabytes)
    }

    /// Returns the bytes that clients may make the process hold: what they have sent and what they
    /// have not read yet.
    pub fn client_bytes(self) -> usize {
        self.eighths(CLIENT_EIGHTHS)
    }

    /// Returns the bytes of upstreams' answers that may be held while they are being read.
    pub fn answer_bytes(self) -> usize {
        self.eighths(ANSWER_EIGHTHS)
    }

    fn eighths(self, eighths: usize) -> usize {
        ((self.0 as usize) << 20) / 8 * eighths
    }
}

/// Descriptors of a process, and how many of them each of its listeners may use. The rest stays free for
/// connections to upstreams and other daemons, and for files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget(u32);

impl DescriptorBudget {
    /// Creates a budget of so many descriptors.
    pub fn new(descriptors: u32) -> Self {
        Self(descriptors)
    }

    /// Creates the budget of this process: the limit of the operating system, or what the settings state
    /// if that is less.
    pub fn of_process(setting: Option<u32>) -> Self {
        let limit = getrlimit(Resource::RLIMIT_NOFILE)
            .map_or(DEFAULT_DESCRIPTORS, |(soft, _)| u32::try_from(soft).unwrap_or(u32::MAX));
        Self(setting.map_or(limit, |setting| setting.min(limit)))
    }

    /// Returns the connections that the clients whom the process serves may have. Each request in
    /// progress may need as many descriptors again for its upstream.
    pub fn clients(self) -> u32 {
        self.0 / 8 * 3
    }

    /// Returns the connections of other daemons that may be in their handshake.
    pub fn handshakes(self) -> u32 {
        self.0 / 8
    }

    /// Returns the connections at an address for checks and metrics.
    pub fn checks(self) -> u32 {
        self.0 / 16
    }
}
