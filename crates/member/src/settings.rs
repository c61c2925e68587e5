//! Reads and checks the settings of a gateway or a controller.

use std::net::{IpAddr, SocketAddr};

use hollowbarrow_schema::settings::{ReadSettingsError, read_document};
use hollowbarrow_schema::{DaemonId, FieldFault, MemberSettings};

/// Reads settings from JSON with comments.
///
/// # Errors
///
/// Returns all faults of syntax and schema or, if there are none, all invalid values.
pub fn read_member_settings(origin: &str, text: &str) -> Result<MemberSettings, ReadSettingsError> {
    let settings: MemberSettings = read_document(origin, text, "MemberSettings")?;
    let faults = check_settings(&settings);
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(ReadSettingsError { origin: origin.to_owned(), faults })
    }
}

/// Returns the id of the daemon at an IP address and the mesh port.
pub fn member_id(ip: &str, mesh_port: u16) -> DaemonId {
    DaemonId(format!("{ip}:{mesh_port}"))
}

/// Returns the ids of the daemons that the seeds name; a port in a seed is ignored.
pub fn seed_ids(settings: &MemberSettings) -> Vec<DaemonId> {
    let ip = |seed: &String| seed.split(':').next().unwrap_or_default().to_owned();
    settings.seeds.iter().map(|seed| member_id(&ip(seed), settings.mesh_port)).collect()
}

fn check_settings(settings: &MemberSettings) -> Vec<FieldFault> {
    let mut faults = Vec::new();
    let mut fault = |field: &str, found: &str, allowed: &str| {
        faults.push(FieldFault {
            field: field.to_owned(),
            line: None,
            found: format!("{found:?}"),
            allowed: allowed.to_owned(),
        });
    };
    if settings.ip.parse::<IpAddr>().is_err() {
        fault("ip", &settings.ip, "an IP number");
    }
    if let Some(ip) = settings.bind_ip.as_ref().filter(|ip| ip.parse::<IpAddr>().is_err()) {
        fault("bind_ip", ip, "an IP number");
    }
    let addresses = [
        ("callers", &settings.callers),
        ("readiness", &settings.readiness),
        ("control", &settings.control),
        ("metrics", &settings.metrics),
    ];
    for (field, address) in addresses {
        if let Some(address) = address
            && address.parse::<SocketAddr>().is_err()
        {
            fault(field, address, "an IP number and a port");
        }
    }
    for (index, seed) in settings.seeds.iter().enumerate() {
        let ip = seed.split(':').next().unwrap_or_default();
        if ip.parse::<IpAddr>().is_err() {
            fault(&format!("seeds[{index}]"), seed, "an IP number, and maybe a port");
        }
    }
    if settings.cluster_keys.iter().all(String::is_empty) {
        fault("cluster_keys", "no key", "at least one key");
    }
    faults
}
