//! Decides which gateway sends the next probe request for a content, so that one is in progress in all.
//!
//! Requests with a quarantined content arrive at all gateways. When its quarantine has ended, the
//! leader grants the next probe request to one gateway that has received such a request lately, for a
//! limited time. No other gateway is granted one before the time within which the first one's report
//! arrives, nor while a probe request may still show its outcome.

use std::time::Duration;

use hollowbarrow_schema::ProbeReport;
use tokio::time::Instant;

use crate::crashes::{time_before, to_ms};

/// Time for which a gateway may use a grant.
const GRANT_TIME: Duration = Duration::from_secs(4);
/// Time after a grant within which the report of a probe request arrives: two messages and a view,
/// several times over.
const REPORT_TIME: Duration = Duration::from_secs(1);
/// Time within which a probe request shows whether it crashes its upstream. A complete answer takes
/// longer at times, and clears the content whenever it comes.
const OUTCOME_TIME: Duration = Duration::from_secs(10);
/// Time for which a request that could serve as a probe request counts as received lately.
const WANTED_TIME: Duration = Duration::from_secs(3);
/// Interval after which a gateway reports again that it receives such requests.
const WANTED_INTERVAL: Duration = Duration::from_secs(1);

/// Probe requests for one content: those that gateways could send, and those that they sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProbeTurns {
    /// Gateway that last received a request that could serve as one, and when.
    wanted: Option<(u64, Instant)>,
    /// Gateway that last sent one, and when.
    sent: Option<(u64, Instant)>,
    /// Gateway that was last granted one, and since when.
    granted: Option<(u64, Instant)>,
}

impl ProbeTurns {
    /// Records a request that could serve as a probe request. Returns whether to report it.
    pub(crate) fn record_wanted(&mut self, gateway: u64, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < WANTED_INTERVAL;
        let known = self.wanted.is_some_and(|(by, at)| by == gateway && recent(at));
        if !known {
            self.wanted = Some((gateway, now));
        }
        !known
    }

    /// Records that a gateway sends a probe request.
    pub(crate) fn record_sent(&mut self, gateway: u64, now: Instant) {
        self.sent = Some((gateway, now));
    }

    /// Forgets the last probe request, which did not run.
    pub(crate) fn withdraw(&mut self) {
        self.sent = None;
    }

    /// Merges a report; returns whether it is newer than what was known.
    pub(crate) fn merge(&mut self, report: &ProbeReport, now: Instant) -> bool {
        let later = |known: &mut Option<(u64, Instant)>, ms: Option<u32>| {
            let Some(at) = ms.and_then(|ms| time_before(ms, now)) else { return false };
            // The same report seems a little later each time that it is relayed.
            let newer = known.is_none_or(|(by, last)| {
                by != report.gateway && at > last || at > last + REPORT_TIME / 2
            });
            if newer {
                *known = Some((report.gateway, at));
            }
            newer
        };
        let wanted = later(&mut self.wanted, report.wanted_ms);
        later(&mut self.sent, report.sent_ms) || wanted
    }

    /// Returns the gateway that may send the next probe request. `last_end` is when the content last
    /// crashed an upstream, which is the outcome of probe requests sent before.
    pub(crate) fn grant(&mut self, last_end: Option<Instant>, now: Instant) -> Option<u64> {
        let within = |at: Instant, time: Duration| now.saturating_duration_since(at) < time;
        let in_progress = |at: Instant| within(at, OUTCOME_TIME) && last_end < Some(at);
        if self.sent.is_some_and(|(_, at)| in_progress(at)) {
            return None;
        }
        if let Some((gateway, since)) = self.granted
            && within(since, GRANT_TIME + REPORT_TIME)
        {
            return within(since, GRANT_TIME).then_some(gateway);
        }
        let (gateway, _) = self.wanted.filter(|(_, at)| within(*at, WANTED_TIME))?;
        self.granted = Some((gateway, now));
        Some(gateway)
    }

    /// Returns what to report to other daemons.
    pub(crate) fn to_report(self, now: Instant) -> Option<ProbeReport> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let wanted = self.wanted.filter(|(_, at)| age(*at) < WANTED_TIME);
        let sent = self.sent.filter(|(_, at)| age(*at) < OUTCOME_TIME);
        let (gateway, _) = sent.or(wanted)?;
        let of_gateway = |one: Option<(u64, Instant)>| {
            one.filter(|(by, _)| *by == gateway).map(|(_, at)| to_ms(age(at)))
        };
        Some(ProbeReport { gateway, wanted_ms: of_gateway(wanted), sent_ms: of_gateway(sent) })
    }

    /// Returns whether anything was reported lately.
    pub(crate) fn is_recent(self, now: Instant) -> bool {
        self.to_report(now).is_some()
    }
}
