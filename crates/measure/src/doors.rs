//! pending
pub(crate) fn command() -> clap::Command {
    clap::Command::new("doors")
}
pub(crate) fn run() -> anyhow::Result<()> {
    Ok(())
}
