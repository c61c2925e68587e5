//! The authorities of availability zones that this daemon is a member of.
//!
//! Whatever an authority has to say goes out when it is let go of here, so no
//! caller can forget to send it.

use hollowbarrow_schema::{AuthorityMessage, DaemonId, PeerMessage, ZoneId};
use tokio::time::Instant;

use crate::core::DaemonCore;

/// Lets time pass for all of them.
pub(crate) fn tick_authorities(core: &DaemonCore) {
    let now = Instant::now();
    let zones: Vec<ZoneId> = core.authorities().keys().cloned().collect();
    for zone in zones {
        with_authority(core, &zone, |member| member.tick(now));
    }
}

/// Takes a message between the members of a zone.
pub(crate) fn handle_authority_message(
    core: &DaemonCore,
    from: &DaemonId,
    zone: &ZoneId,
    message: AuthorityMessage,
) {
    let now = Instant::now();
    with_authority(core, zone, |member| member.step(from, message, now));
}

/// Acts on a member, sends what it wants sent, and shows its table to the routes.
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
