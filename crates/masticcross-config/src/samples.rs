//! Documents for the demo, the tests and the pages.

/// The Guild's deployment.
pub const GUILD: &str = include_str!("../samples/guild.toml");

/// Jal Seva's deployment.
pub const JAL_SEVA: &str = include_str!("../samples/jal-seva.toml");
