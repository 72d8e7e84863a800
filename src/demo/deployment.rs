//! The users' deployments that the demo can show.

use std::str::FromStr;

use masticcross_config::samples;

/// A deployment that the demo can show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// The Guild's quoting service.
    Guild,
    /// Jal Seva's dependency bot.
    JalSeva,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "guild" => Ok(Self::Guild),
            "jal-seva" => Ok(Self::JalSeva),
            other => Err(format!(
                "{other:?} is not a deployment; accepted are guild and jal-seva"
            )),
        }
    }
}

impl Deployment {
    /// Returns the configuration document.
    pub fn document(self) -> &'static str {
        match self {
            Self::Guild => samples::GUILD,
            Self::JalSeva => samples::JAL_SEVA,
        }
    }

    /// Returns the region.
    pub fn region(self) -> &'static str {
        match self {
            Self::Guild => "perth",
            Self::JalSeva => "gj-west",
        }
    }

    /// Returns the three availability zones that the demo uses.
    pub fn zones(self) -> [&'static str; 3] {
        match self {
            Self::Guild => ["perth-north", "perth-south", "perth-east"],
            Self::JalSeva => ["ahd-a", "gnr-b", "vdr-c"],
        }
    }

    /// Returns the service.
    pub fn service(self) -> &'static str {
        match self {
            Self::Guild => "quote-desk",
            Self::JalSeva => "patchbot",
        }
    }

    /// Returns the team of the sample job.
    pub fn team(self) -> &'static str {
        match self {
            Self::Guild => "desk",
            Self::JalSeva => "engineers",
        }
    }
}
