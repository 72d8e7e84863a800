//! Edits to a document's text that preserve its comments and the order of its keys.

use toml_edit::{DocumentMut, value};

use crate::document::{Document, DocumentError, Result};

/// Takes an availability zone out of service or brings it back.
///
/// # Errors
/// Fails if the text is not a valid document or the zone is not configured.
pub fn set_zone_in_service(text: &str, zone: &str, in_service: bool) -> Result<String> {
    let doc = Document::parse(text)?;
    if !doc.zones.contains_key(zone) {
        let configured: Vec<&str> = doc.zones.keys().map(AsRef::as_ref).collect();
        return Err(DocumentError(format!(
            "zone {zone:?} is not configured; configured zones are {}",
            configured.join(", ")
        )));
    }
    let mut edited: DocumentMut = text
        .parse()
        .map_err(|e: toml_edit::TomlError| DocumentError(e.to_string()))?;
    edited["zones"][zone]["in_service"] = value(in_service);
    Ok(edited.to_string())
}
