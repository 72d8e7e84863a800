//! Checks of keys, types and bounds against the tables of the schema.

use masticcross_basics::name::check_name;
use toml_edit::{Document as Tree, Item, TableLike};

use super::{Finding, Severity};
use crate::document::{MAX_DOCUMENT_BYTES, SCHEMA_VERSION};
use crate::schema::{Field, SECTIONS, Section, ValueType};

/// Checks a text and collects the findings with their lines.
struct Checker<'a> {
    text: &'a str,
    findings: Vec<Finding>,
}

/// Returns all violations of the schema; empty if there are none.
pub fn check(text: &str) -> Vec<Finding> {
    let mut checker = Checker {
        text,
        findings: Vec::new(),
    };
    checker.check_text();
    checker.findings.sort_by_key(|finding| finding.line);
    checker.findings
}

impl Checker<'_> {
    fn check_text(&mut self) {
        if self.text.len() > MAX_DOCUMENT_BYTES {
            let reason = format!("has {} bytes", self.text.len());
            self.add(
                "document",
                None,
                reason,
                format!("at most {MAX_DOCUMENT_BYTES} bytes"),
            );
            return;
        }
        let tree = match Tree::parse(self.text) {
            Ok(tree) => tree,
            Err(error) => {
                let line = error.span().map(|span| line_of(self.text, span.start));
                self.add("document", line, error.message().to_owned(), String::new());
                return;
            }
        };
        let root = tree.as_table();
        for (key, item) in root {
            let known = key == "schema" || SECTIONS.iter().any(|section| section.name == key);
            if !known {
                let names: Vec<&str> = SECTIONS.iter().map(|section| section.name).collect();
                let accepted = format!("schema, {}", names.join(", "));
                self.add(key, self.line(item), "unknown key".to_owned(), accepted);
            }
        }
        self.check_schema(root.get("schema"));
        for section in SECTIONS {
            self.check_section(section, root.get(section.name));
        }
    }

    fn check_schema(&mut self, item: Option<&Item>) {
        if item.and_then(Item::as_integer) != Some(i64::from(SCHEMA_VERSION)) {
            let line = item.and_then(|item| self.line(item));
            let reason = if item.is_some() {
                "is not supported"
            } else {
                "is missing"
            };
            self.add(
                "schema",
                line,
                reason.to_owned(),
                SCHEMA_VERSION.to_string(),
            );
        }
    }

    fn check_section(&mut self, section: &Section, item: Option<&Item>) {
        let Some(item) = item else {
            if section.required {
                let accepted = format!("at least one [{}.NAME]", section.name);
                self.add(section.name, None, "is missing".to_owned(), accepted);
            }
            return;
        };
        let Some(table) = item.as_table_like() else {
            let reason = "is not a table".to_owned();
            self.add(section.name, self.line(item), reason, "a table".to_owned());
            return;
        };
        match section.max_tables {
            None => self.check_fields(section.name, table, section.fields),
            Some(max) => self.check_tables(section, table, max),
        }
    }

    fn check_tables(&mut self, section: &Section, table: &dyn TableLike, max: usize) {
        let count = table.len();
        if count == 0 || count > max {
            let reason = format!("has {count} tables");
            self.add(section.name, None, reason, format!("1 to {max}"));
        }
        for (name, item) in table.iter() {
            let path = format!("{}.{name}", section.name);
            if let Err(error) = check_name(name) {
                self.add(
                    &path,
                    self.line(item),
                    format!("the name {error}"),
                    String::new(),
                );
            }
            if let Some(table) = item.as_table_like() {
                self.check_fields(&path, table, section.fields);
            } else {
                let reason = "is not a table".to_owned();
                self.add(&path, self.line(item), reason, "a table".to_owned());
            }
        }
    }

    fn check_fields(&mut self, path: &str, table: &dyn TableLike, fields: &[Field]) {
        for (key, item) in table.iter() {
            let path = format!("{path}.{key}");
            if let Some(field) = fields.iter().find(|field| field.name == key) {
                self.check_value(&path, item, field.value_type);
            } else {
                let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
                let reason = "unknown key".to_owned();
                self.add(&path, self.line(item), reason, names.join(", "));
            }
        }
    }

    fn check_value(&mut self, path: &str, item: &Item, value_type: ValueType) {
        let mismatch = match value_type {
            ValueType::Boolean => item
                .as_bool()
                .is_none()
                .then(|| "has the wrong type".to_owned()),
            ValueType::Integer { min, max } => match item.as_integer() {
                None => Some("has the wrong type".to_owned()),
                Some(value) if (min..=max).contains(&value) => None,
                Some(value) => Some(format!("{value} is out of bounds")),
            },
        };
        if let Some(reason) = mismatch {
            self.add(path, self.line(item), reason, value_type.describe());
        }
    }

    fn line(&self, item: &Item) -> Option<usize> {
        item.span().map(|span| line_of(self.text, span.start))
    }

    fn add(&mut self, path: &str, line: Option<usize>, reason: String, accepted: String) {
        self.findings.push(Finding {
            severity: Severity::Error,
            path: path.to_owned(),
            line,
            reason,
            accepted,
        });
    }
}

/// Returns the line number, starting at 1, of a byte position.
fn line_of(text: &str, position: usize) -> usize {
    let before = text.as_bytes().iter().take(position);
    before.filter(|byte| **byte == b'\n').count() + 1
}
