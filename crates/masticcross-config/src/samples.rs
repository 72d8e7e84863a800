//! Sample documents for the demo, the tests and the documentation.

/// Configuration of the Guild's deployment.
pub const GUILD: &str = include_str!("../samples/guild.toml");

/// Configuration of Jal Seva's deployment.
pub const JAL_SEVA: &str = include_str!("../samples/jal-seva.toml");
