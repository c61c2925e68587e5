//! pending
pub(crate) fn command() -> clap::Command {
    clap::Command::new("requests")
}
pub(crate) fn run(_: &clap::ArgMatches) -> anyhow::Result<()> {
    Ok(())
}
