//! Follows changes of the seeds in a settings file while the daemon runs.
//!
//! The platform may rewrite the file at any time, with or without a signal. All other settings are
//! read at the start only.

use std::path::PathBuf;
use std::time::Duration;

use hollowbarrow_schema::DaemonId;

use crate::settings::{read_member_settings, seed_ids};

/// Interval at which the file is read.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Passes on the seeds whenever the settings file at `path` names others than before, at first than
/// `seeds`, until the process ends. A file that cannot be read or is not valid changes nothing and is
/// logged once.
pub async fn follow_seeds(path: PathBuf, seeds: Vec<DaemonId>, replace: impl Fn(Vec<DaemonId>)) {
    let mut reader = SeedReader { path, text: None, seeds, reported: String::new() };
    loop {
        if let Some(seeds) = reader.read_changed() {
            let names: Vec<&str> = seeds.iter().map(|seed| seed.as_str()).collect();
            log::info!("event=seeds_changed seeds={}", names.join(","));
            replace(seeds);
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

/// Reads the seeds of a settings file.
struct SeedReader {
    path: PathBuf,
    /// Contents of the file when it was last read.
    text: Option<String>,
    /// Seeds of the last valid contents.
    seeds: Vec<DaemonId>,
    /// Fault that was last logged.
    reported: String,
}

impl SeedReader {
    /// Returns the seeds if they differ from those of the last valid contents.
    fn read_changed(&mut self) -> Option<Vec<DaemonId>> {
        let origin = self.path.display().to_string();
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                self.report(&error.to_string());
                return None;
            }
        };
        if self.text.as_ref() == Some(&text) {
            return None;
        }
        let settings = read_member_settings(&origin, &text);
        self.text = Some(text);
        match settings {
            Ok(settings) => {
                self.reported.clear();
                let seeds = seed_ids(&settings);
                let former = std::mem::replace(&mut self.seeds, seeds.clone());
                (former != seeds).then_some(seeds)
            }
            Err(error) => {
                self.report(&error.to_string());
                None
            }
        }
    }

    fn report(&mut self, fault: &str) {
        if self.reported != fault {
            log::warn!("event=settings_unreadable path={:?} reason={fault:?}", self.path);
            self.reported = fault.to_owned();
        }
    }
}
