//! pending
pub(crate) fn command() -> clap::Command {
    clap::Command::new("capacity")
}
pub(crate) fn run(_: &clap::ArgMatches) -> anyhow::Result<()> {
    Ok(())
}
