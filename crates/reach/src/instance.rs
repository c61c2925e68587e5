//! Finds out whether an instance of an upstream still runs after a connection to it has ended.
//!
//! A connection ends in order both where a process closes it and where the process terminates. Only an
//! answer to a call that was sent later shows that the instance still runs: the kernel may accept a
//! connection for a process that has just terminated, and another instance may have the address.
//!
//! A process that stands still answers nothing, but the kernel keeps its connections open. It counts as
//! running if a connection on which it has answered before stays open beside a new one.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_upstream::{ConnectionLease, SendRequestError, UpstreamCall};
use hyper::StatusCode;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::connect::{NoDirect, NotConnected, bypass, open_direct, open_tunnel};
use crate::paths::UpstreamPath;
use crate::reach::{Reach, UpstreamTarget};
use crate::shared_checks::CheckResult;

/// Time without an answer after which a connection counts as silent if there is another one to tell
/// by.
const SHORT_SILENCE: Duration = Duration::from_millis(30);
/// Time for the answer on a new connection if there is no other one to tell by.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time in which the end of a connection is noticed that has already arrived.
const EVENT_TIME: Duration = Duration::from_millis(1);
/// Longest time for which an answer on a connection from before is waited for.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the head of an answer until the first check of its instance. Most answers have ended by
/// then.
const WATCH_DELAY: Duration = Duration::from_millis(50);
/// Time between two checks of an instance that may yet be found running.
const CHECK_PAUSE: Duration = Duration::from_millis(50);
/// Number of idle connections from which on that of a check is closed.
const MAX_IDLE: usize = 1;

/// Which instance answered a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceReply {
    /// The one that the call was meant for.
    Same,
    /// Another one.
    Other,
    /// The answer does not tell.
    Unclear,
}

/// Recognises one instance of an upstream by its answer to a call.
pub trait InstanceProbe: Send + Sync + 'static {
    /// Returns the name of the instance, unique among the instances of the upstream.
    fn instance(&self) -> String;

    /// Returns the call, which runs nothing at the upstream.
    fn call(&self) -> UpstreamCall;

    /// Returns which instance gave an answer.
    fn read_answer(&self, status: StatusCode, body: &[u8]) -> InstanceReply;
}

/// What is known of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// It runs.
    Running,
    /// A process accepts connections at its address, but has not answered.
    Silent,
    /// Another instance answers at its address.
    Replaced,
    /// No process listens at its address.
    Refused,
    /// Connections to its address cannot be opened, or are closed without an answer.
    Unreached,
}

impl InstanceState {
    /// Returns its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Silent => "silent",
            Self::Replaced => "replaced",
            Self::Refused => "refused",
            Self::Unreached => "unreached",
        }
    }

    /// Returns whether a later check may find the instance running.
    fn may_change(self) -> bool {
        matches!(self, Self::Silent | Self::Unreached)
    }
}

impl CheckResult for InstanceState {
    /// An instance that is replaced does not run again.
    fn is_final(&self) -> bool {
        *self == Self::Replaced
    }
}

/// Checks an instance later, unless it is dropped before.
#[derive(Debug)]
pub struct InstanceWatch(AbortHandle);

impl Drop for InstanceWatch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why a call was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoReply {
    /// The connection stays open.
    Silent,
    /// The connection has ended, or carried something else.
    Closed,
}

impl Reach {
    /// Finds out whether an instance still runs. All evidence is from after this was called.
    pub async fn check_instance(
        self: &Arc<Self>,
        target: &UpstreamTarget,
        probe: &Arc<dyn InstanceProbe>,
    ) -> InstanceState {
        let name = format!("{}#{}", target.full_name(), probe.instance());
        let (reach, target, probe) = (Arc::clone(self), target.clone(), Arc::clone(probe));
        let check = async move { find_state(&reach, &target, &*probe).await };
        self.instance_checks.share(name, check).await.unwrap_or(InstanceState::Unreached)
    }

    /// Checks an instance once while it sends an answer. The connection of the check is kept, so that a
    /// later check need not open one: by then the instance may accept none any more, or stand still.
    pub fn watch_instance(
        self: &Arc<Self>,
        target: &UpstreamTarget,
        probe: &Arc<dyn InstanceProbe>,
    ) -> InstanceWatch {
        let (reach, target, probe) = (Arc::clone(self), target.clone(), Arc::clone(probe));
        let watching = tokio::spawn(async move {
            tokio::time::sleep(WATCH_DELAY).await;
            reach.check_instance(&target, &probe).await;
        });
        InstanceWatch(watching.abort_handle())
    }

    /// Finds out whether an instance still runs. As long as that is not known, it is checked again, at
    /// most until the limit.
    pub async fn confirm_instance(
        self: &Arc<Self>,
        target: &UpstreamTarget,
        probe: &Arc<dyn InstanceProbe>,
        until: Instant,
    ) -> InstanceState {
        let mut state = InstanceState::Unreached;
        while state.may_change() {
            let checking = self.check_instance(target, probe);
            match tokio::time::timeout_at(until, checking).await {
                Ok(checked) => state = checked,
                Err(_) => break,
            }
            if state.may_change() {
                tokio::time::sleep(CHECK_PAUSE).await;
            }
        }
        state
    }
}

async fn find_state(
    reach: &Reach,
    target: &UpstreamTarget,
    probe: &dyn InstanceProbe,
) -> InstanceState {
    let Some(lease) = reach.take_idle(target) else {
        return ask_anew(reach, target, probe, ANSWER_TIMEOUT).await;
    };
    let has_answered = lease.has_answered();
    let kept = ask(reach, lease, probe);
    tokio::pin!(kept);
    match tokio::time::timeout(SHORT_SILENCE, kept.as_mut()).await {
        Ok(Ok(InstanceReply::Same)) => return InstanceState::Running,
        // Another instance may have accepted the connection while both ran.
        Ok(_) => return ask_anew(reach, target, probe, ANSWER_TIMEOUT).await,
        Err(_) => {}
    }
    let anew = ask_anew(reach, target, probe, SHORT_SILENCE);
    tokio::pin!(anew);
    let state = tokio::select! {
        biased;
        reply = kept.as_mut() => {
            return if reply == Ok(InstanceReply::Same) { InstanceState::Running } else { anew.await };
        }
        state = anew.as_mut() => state,
    };
    let stays_open = tokio::time::timeout(EVENT_TIME, kept).await.is_err();
    if state == InstanceState::Silent && has_answered && stays_open {
        return InstanceState::Running;
    }
    state
}

/// Asks on a new connection, over either path.
async fn ask_anew(
    reach: &Reach,
    target: &UpstreamTarget,
    probe: &dyn InstanceProbe,
    timeout: Duration,
) -> InstanceState {
    let mut refused = false;
    let tunnel = if reach.path(target) == UpstreamPath::Peer {
        open_tunnel(reach, target).await
    } else {
        match open_direct(reach, target).await {
            Ok(lease) => match ask_within(reach, lease, probe, timeout).await {
                // Something on the path may accept connections and close them.
                Err(NoReply::Closed) => open_tunnel(reach, target).await,
                reply => return to_state(reply),
            },
            Err(failure) => {
                refused = failure == NoDirect::Refused;
                bypass(reach, target).await
            }
        }
    };
    match tunnel {
        Ok(lease) => to_state(ask_within(reach, lease, probe, timeout).await),
        Err(NotConnected) if refused => InstanceState::Refused,
        Err(NotConnected) => InstanceState::Unreached,
    }
}

fn to_state(reply: Result<InstanceReply, NoReply>) -> InstanceState {
    match reply {
        Ok(InstanceReply::Same) => InstanceState::Running,
        Ok(InstanceReply::Other) => InstanceState::Replaced,
        Ok(InstanceReply::Unclear) | Err(NoReply::Silent) => InstanceState::Silent,
        Err(NoReply::Closed) => InstanceState::Unreached,
    }
}

async fn ask_within(
    reach: &Reach,
    lease: ConnectionLease,
    probe: &dyn InstanceProbe,
    timeout: Duration,
) -> Result<InstanceReply, NoReply> {
    let asking = ask(reach, lease.with_max_idle(MAX_IDLE), probe);
    let reply = tokio::time::timeout(timeout, asking).await;
    reply.unwrap_or(Err(SendRequestError::Timeout)).map_err(|error| match error {
        SendRequestError::Timeout => NoReply::Silent,
        _ => NoReply::Closed,
    })
}

async fn ask(
    reach: &Reach,
    lease: ConnectionLease,
    probe: &dyn InstanceProbe,
) -> Result<InstanceReply, SendRequestError> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let answer = reach.client.call(lease, &probe.call(), deadline).await?;
    Ok(probe.read_answer(answer.status, &answer.body))
}
