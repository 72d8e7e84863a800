//! Announcements of backend servers.

use std::time::Duration;

use http::Uri;
use masticcross_basics::Name;
use masticcross_basics::name::check_name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Shortest accepted time to live, in milliseconds.
const MIN_TTL_MS: u64 = 100;

/// Longest accepted time to live, in milliseconds.
const MAX_TTL_MS: u64 = 600_000;

/// Prefix of an accepted URL.
const SCHEME: &str = "http://";

/// Port of a URL without an explicit port.
const HTTP_PORT: u16 = 80;

/// Largest accepted number of slots or connections of one backend server.
const MAX_SLOTS: u16 = 4_096;

/// Error in a field of an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("field {field:?} {reason}")]
pub struct AnnouncementError {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it, and which values are accepted.
    pub reason: String,
}

/// Result of checking an announcement.
pub type Result<T> = std::result::Result<T, AnnouncementError>;

/// The unchecked body of an announcement.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnouncementBody {
    /// Service that the backend server serves.
    pub service: String,
    /// URL at which it accepts tasks.
    pub url: String,
    /// Number of tasks that it can run at once.
    pub slots: u16,
    /// Number of connections that it accepts at once.
    pub connections: u16,
    /// Time until the announcement expires unless renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// A checked announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the backend server.
    pub name: Name,
    /// Service that it serves.
    pub service: Name,
    /// URL at which it accepts tasks, without a trailing slash.
    pub url: Name,
    /// Number of tasks that it can run at once.
    pub slots: u16,
    /// Number of connections that it accepts at once.
    pub connections: u16,
    /// Time until the announcement expires unless renewed.
    pub ttl: Duration,
}

impl Announcement {
    /// Checks a name and a body.
    ///
    /// # Errors
    /// Returns the first invalid field and the reason.
    pub fn check(name: &str, body: &AnnouncementBody) -> Result<Self> {
        Ok(Self {
            name: checked_name("name", name)?,
            service: checked_name("service", &body.service)?,
            url: checked_url(&body.url)?,
            slots: checked_count("slots", body.slots)?,
            connections: checked_count("connections", body.connections)?,
            ttl: checked_ttl(body.ttl_ms)?,
        })
    }

    /// Returns the host and port of the URL; the port defaults to 80.
    #[must_use]
    pub fn authority(&self) -> String {
        let authority = self.split_url().0;
        if authority
            .rsplit(']')
            .next()
            .is_some_and(|end| end.contains(':'))
        {
            return authority.to_owned();
        }
        format!("{authority}:{HTTP_PORT}")
    }

    /// Returns the path of the URL, which is empty or has a leading slash.
    #[must_use]
    pub fn base_path(&self) -> &str {
        self.split_url().1
    }

    fn split_url(&self) -> (&str, &str) {
        let rest = self.url.strip_prefix(SCHEME).unwrap_or(&self.url);
        rest.split_at(rest.find('/').unwrap_or(rest.len()))
    }
}

fn checked_name(field: &'static str, text: &str) -> Result<Name> {
    check_name(text).map_err(|error| AnnouncementError {
        field,
        reason: error.to_string(),
    })
}

fn checked_url(text: &str) -> Result<Name> {
    let fail = |reason: &str| AnnouncementError {
        field: "url",
        reason: reason.to_owned(),
    };
    let uri: Uri = text.parse().map_err(|_| fail("is no URL"))?;
    if uri.scheme_str() != Some("http") || !text.starts_with(SCHEME) {
        return Err(fail("must begin with http://"));
    }
    if uri.authority().is_none() {
        return Err(fail("must name a host"));
    }
    if uri.query().is_some() {
        return Err(fail("must not have a query"));
    }
    Ok(Name::from(text.trim_end_matches('/')))
}

fn checked_count(field: &'static str, count: u16) -> Result<u16> {
    if (1..=MAX_SLOTS).contains(&count) {
        return Ok(count);
    }
    Err(AnnouncementError {
        field,
        reason: format!("is {count}; accepted are 1 to {MAX_SLOTS}"),
    })
}

fn checked_ttl(ms: u64) -> Result<Duration> {
    if (MIN_TTL_MS..=MAX_TTL_MS).contains(&ms) {
        return Ok(Duration::from_millis(ms));
    }
    Err(AnnouncementError {
        field: "ttl_ms",
        reason: format!("is {ms}; accepted are {MIN_TTL_MS} to {MAX_TTL_MS} milliseconds"),
    })
}
