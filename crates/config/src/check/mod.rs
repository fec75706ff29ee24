//! Validates a TOML document against a JSON Schema.
//!
//! For a file with syntax errors, only these are reported: findings in the recovered parts of the
//! document could disappear when the syntax error is fixed.

mod near;
mod rules;
mod walk;

use serde::de::DeserializeOwned;
use serde_json::Value;
use toml::de::DeTable;

use crate::{
    Findings, Location,
    source::{Locations, Source},
};

pub(crate) use near::suggest;

/// Validates `text`, read from the file `name`, against a JSON Schema and deserializes it.
///
/// The supported JSON Schema keywords are `$ref` into `definitions`, `type`, `properties`, `required`,
/// `additionalProperties`, `items`, `enum`, `minimum`, `maximum` and the `format` `socket-address`.
///
/// # Errors
///
/// Returns all findings, each with its location and a fix.
pub fn check<T: DeserializeOwned>(name: &str, text: &str, schema: &str) -> Result<T, Findings> {
    let mut findings = Findings::default();
    let mut document = Document::read(name, text, schema, &mut findings);
    let value = document.typed(&mut findings);
    match value {
        Some(value) if !findings.has_errors() => Ok(value),
        _ => Err(findings),
    }
}

/// A document validated against its schema.
pub(crate) struct Document {
    /// The valid parts of the document: invalid map entries and tables that lack a required key are
    /// left out.
    value: Option<Value>,
    /// Locations of its keys and values, invalid ones included.
    pub(crate) locations: Locations,
    /// Whether the text is valid TOML.
    pub(crate) parsed: bool,
}

impl Document {
    /// Parses and validates a document and adds the findings to `findings`.
    pub(crate) fn read(name: &str, text: &str, schema: &str, findings: &mut Findings) -> Self {
        let mut locations = Locations::open(Source::open(name, text));
        let (table, errors) = DeTable::parse_recoverable(text);
        for error in &errors {
            let offset = error.span().map_or(0, |span| span.start);
            let message = error.message().lines().collect::<Vec<_>>().join(", ");
            findings.error(
                locations.source().location(offset),
                format!("syntax: {message}"),
            );
        }
        let parsed = errors.is_empty();
        let value = match serde_json::from_str(schema) {
            Ok(schema) if parsed => walk::walk(&schema, &table, &mut locations, findings),
            Ok(_) => None,
            Err(error) => {
                findings.error(
                    Location::file(name),
                    format!("the schema is invalid: {error}"),
                );
                None
            }
        };
        Self {
            value,
            locations,
            parsed,
        }
    }

    /// Deserializes the valid parts of the document. Returns `None` on any further call.
    pub(crate) fn typed<T: DeserializeOwned>(&mut self, findings: &mut Findings) -> Option<T> {
        let value = self.value.take()?;
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(error) => {
                // Reached only if the schema is less strict than the type.
                findings.error(self.locations.key(&[]), format!("cannot be used: {error}"));
                None
            }
        }
    }
}
