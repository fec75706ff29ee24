//! Holds a TOML document against a JSON Schema.
//!
//! A file with a syntax error gives its syntax errors alone: what the parser recovers of it would
//! give findings that vanish with the syntax error.

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

/// Checks `text`, read from the file `name`, against a JSON Schema and gives it as a `T`.
///
/// Of JSON Schema, the keywords `$ref` into `definitions`, `type`, `properties`, `required`,
/// `additionalProperties`, `items`, `enum`, `minimum`, `maximum` and the `format` `socket-address` are
/// held.
///
/// # Errors
///
/// All mistakes found, each with its place and its fix.
pub fn check<T: DeserializeOwned>(name: &str, text: &str, schema: &str) -> Result<T, Findings> {
    let mut findings = Findings::default();
    let mut document = Document::read(name, text, schema, &mut findings);
    let value = document.typed(&mut findings);
    match value {
        Some(value) if !findings.has_errors() => Ok(value),
        _ => Err(findings),
    }
}

/// A document held against its schema.
pub(crate) struct Document {
    /// What is well-formed of the document: entries of a map that have mistakes are left out, and
    /// so is any table that lacks a key.
    value: Option<Value>,
    /// Where things stand in it, those with mistakes included.
    pub(crate) locations: Locations,
    /// Whether the text is TOML at all.
    pub(crate) parsed: bool,
}

impl Document {
    /// Reads a document; mistakes are added to `findings`.
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
                    format!("the schema is broken: {error}"),
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

    /// What is well-formed of the document, as a `T`; it can be taken once.
    pub(crate) fn typed<T: DeserializeOwned>(&mut self, findings: &mut Findings) -> Option<T> {
        let value = self.value.take()?;
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(error) => {
                // Only a schema that says less than the type behind it leads here.
                findings.error(self.locations.key(&[]), format!("cannot be used: {error}"));
                None
            }
        }
    }
}
