//! How much of the retries that all gateways together are allowed each one may use.
//!
//! Gateways cannot count together while they are cut off from each other, so each keeps to a part
//! that holds whatever the others do.

use hollowbarrow_routing::retry::RetryLimits;

/// Part of the allowed repeats that is earned by requests; the rest is slack for the window's ends.
const EARNED_SHARE: f64 = 0.75;
/// Part of the slack that is earned anew in each window whatever the traffic.
const FLOOR_SHARE: f64 = 0.2;
/// Gateways among which the slack is divided at least, since more may come.
const MIN_GATEWAYS: u32 = 12;
/// Part of the gateways by which the slack is divided, once there are more: what requests earn is
/// below what is allowed, which covers the rest.
const SLACK_DIVISOR_SHARE: f64 = 2.0 / 3.0;

/// What all gateways together may send again within a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAllowance {
    /// Retries for a thousand requests.
    pub permille: u32,
    /// Retries beyond those.
    pub slack: u32,
    /// Length of the window, in seconds.
    pub window_s: u32,
}

/// The part of one of so many gateways.
pub fn share_of(allowance: &RetryAllowance, gateways: u32) -> RetryLimits {
    let users = (f64::from(gateways) * SLACK_DIVISOR_SHARE).max(f64::from(MIN_GATEWAYS));
    // Less than one would allow none, however much requests earn.
    let slack = (f64::from(allowance.slack) / users).max(1.0);
    RetryLimits {
        ratio: f64::from(allowance.permille) / 1000.0 * EARNED_SHARE,
        floor: slack * FLOOR_SHARE / f64::from(allowance.window_s.max(1)),
        most: slack,
    }
}
