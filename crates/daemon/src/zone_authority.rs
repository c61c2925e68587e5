//! The authorities of availability zones that this daemon is a member of.
//!
//! Actions that produce messages go through [`with_authority`], which sends the
//! outgoing messages after each action, so no caller can omit that.

use hollowbarrow_schema::{AuthorityMessage, DaemonId, PeerMessage, ZoneId};
use tokio::time::Instant;

use crate::core::DaemonCore;

/// Advances the time of all authorities.
pub(crate) fn tick_authorities(core: &DaemonCore) {
    let now = Instant::now();
    let zones: Vec<ZoneId> = core.authorities().keys().cloned().collect();
    for zone in zones {
        with_authority(core, &zone, |member| member.tick(now));
    }
}

/// Handles a message from another member of a zone's authority.
pub(crate) fn handle_authority_message(
    core: &DaemonCore,
    from: &DaemonId,
    zone: &ZoneId,
    message: AuthorityMessage,
) {
    let now = Instant::now();
    with_authority(core, zone, |member| member.step(from, message, now));
}

/// Runs an action on a member, sends its outgoing messages, and updates the routes from its table.
pub(crate) fn with_authority<T>(
    core: &DaemonCore,
    zone: &ZoneId,
    action: impl FnOnce(&mut hollowbarrow_zone::AuthorityMember) -> T,
) -> Option<T> {
    let (result, outgoing, table) = {
        let mut authorities = core.authorities();
        let member = authorities.get_mut(zone)?;
        let result = action(member);
        (result, member.take_outgoing(), member.table().cloned())
    };
    for (to, message) in outgoing {
        core.send(&to, PeerMessage::Authority { zone: zone.clone(), message });
    }
    if let Some(table) = table {
        let known = core.fleet().table_precedence(zone);
        if known < (*table.term, table.version) && core.fleet_mut().record_table(table) {
            core.rebuild_routes();
        }
    }
    Some(result)
}
