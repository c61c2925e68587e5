//! Divides the retries that all gateways together may make.
//!
//! Gateways cannot share a counter while they are partitioned from each other, so each keeps to a
//! share that is safe whatever the others do.

use hollowbarrow_routing::retry::RetryLimits;

/// Fraction of the allowed retries that requests earn; the rest is slack for the window's edges.
const EARNED_SHARE: f64 = 0.75;
/// Fraction of the slack that is earned in each window, whatever the traffic.
const FLOOR_SHARE: f64 = 0.2;
/// Smallest number of gateways among which the slack is divided, because more may start.
const MIN_GATEWAYS: u32 = 12;
/// Fraction of the gateways by which the slack is divided, if that is more than the smallest number.
/// Requests earn less than is allowed, and the difference covers the other gateways.
const SLACK_DIVISOR_SHARE: f64 = 2.0 / 3.0;

/// Retries that all gateways together may make within a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAllowance {
    /// Retries per thousand requests.
    pub permille: u32,
    /// Additional retries in each window.
    pub slack: u32,
    /// Length of the window, in seconds.
    pub window_s: u32,
}

/// Returns the share of one gateway among this number of gateways.
pub fn share_of(allowance: &RetryAllowance, gateways: u32) -> RetryLimits {
    let users = (f64::from(gateways) * SLACK_DIVISOR_SHARE).max(f64::from(MIN_GATEWAYS));
    // The slack is also the cap of the budget: below one no retry would ever be allowed.
    let slack = (f64::from(allowance.slack) / users).max(1.0);
    RetryLimits {
        ratio: f64::from(allowance.permille) / 1000.0 * EARNED_SHARE,
        floor: slack * FLOOR_SHARE / f64::from(allowance.window_s.max(1)),
        most: slack,
    }
}
