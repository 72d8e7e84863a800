//! Changes of a document's text that keep its comments and order.

use toml_edit::{DocumentMut, value};

use crate::document::{Document, DocumentError, Result};

/// Takes an availability zone out of service or brings it back.
///
/// # Errors
/// Fails if the text is no valid document or does not name the zone.
pub fn set_zone_in_service(text: &str, zone: &str, in_service: bool) -> Result<String> {
    let doc = Document::parse(text)?;
    if !doc.zones.contains_key(zone) {
        let known: Vec<&str> = doc.zones.keys().map(AsRef::as_ref).collect();
        return Err(DocumentError(format!(
            "zone {zone:?} is not configured; configured are {}",
            known.join(", ")
        )));
    }
    let mut edited: DocumentMut = text
        .parse()
        .map_err(|e: toml_edit::TomlError| DocumentError(e.to_string()))?;
    edited["zones"][zone]["in_service"] = value(in_service);
    Ok(edited.to_string())
}
