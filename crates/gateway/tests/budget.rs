//! The retry budgets of all gateways together while every request fails.

use std::time::Duration;

use hollowbarrow_gateway::budget::{RetryAllowance, share_of};
use hollowbarrow_routing::retry::RetryBudget;
use rstest::rstest;
use tokio::time::Instant;

const WINDOW_S: u32 = 10;

/// Every gateway first fills its budget with successful requests. Then each request fails and is
/// retried if its gateway's budget allows that. The sum of all retries must stay within the
/// allowance of the window.
#[rstest]
#[case::one(1, 600.0)]
#[case::few(9, 170.0)]
#[case::twelve(12, 170.0)]
#[case::many(82, 570.0)]
#[case::target(410, 20_000.0)]
fn share_of_bounds_all_gateways(#[case] gateways: u32, #[case] requests_per_s: f64) {
    let allowance = RetryAllowance { permille: 200, slack: 273, window_s: WINDOW_S };
    let start = Instant::now();
    let each_per_s = requests_per_s / f64::from(gateways);
    let mut sent_again = 0;
    for _ in 0..gateways {
        let budget = RetryBudget::with_limits(share_of(&allowance, gateways), start);
        for _ in 0..10_000 {
            budget.record_request();
        }
        let count = (each_per_s * f64::from(WINDOW_S)).round() as u32;
        for number in 0..count {
            budget.record_request();
            let at = Duration::from_secs_f64(f64::from(number) / each_per_s);
            sent_again += u32::from(budget.take(start + at));
        }
    }
    let requests = requests_per_s * f64::from(WINDOW_S);
    let allowed = requests * 0.2 + 273.0;
    assert!(f64::from(sent_again) <= allowed, "{sent_again} of {allowed:.0}");
    assert!(f64::from(sent_again) >= allowed * 0.5, "{sent_again} of {allowed:.0}");
}
