//! Walks a TOML document together with its schema.

use std::{borrow::Cow, sync::Arc};

use serde_json::{Map, Number, Value};
use toml::{
    Spanned,
    de::{DeInteger, DeTable, DeValue},
};

use super::{
    near::{list, suggest},
    rules::SchemaNode,
};
use crate::{
    Findings, Location,
    settings::parse_address,
    source::{Locations, Path},
};

/// Returns the valid parts of `table` as JSON and adds all errors to `findings`.
pub(super) fn walk(
    schema: &Value,
    table: &Spanned<DeTable<'_>>,
    locations: &mut Locations,
    findings: &mut Findings,
) -> Option<Value> {
    let mut walk = Walk {
        locations,
        findings,
        path: Path::new(),
    };
    walk.table(SchemaNode::open(schema), table.get_ref(), 0)
}

struct Walk<'w> {
    locations: &'w mut Locations,
    findings: &'w mut Findings,
    /// Keys from the root down to the current value.
    path: Path,
}

impl Walk<'_> {
    fn error(&mut self, offset: usize, message: String) {
        let location = self.location(offset);
        self.findings.error(location, message);
    }

    fn location(&self, offset: usize) -> Location {
        self.locations.source().location(offset)
    }

    /// Validates a table. `start` is the offset of the table's own key.
    fn table(
        &mut self,
        schema: SchemaNode<'_>,
        table: &DeTable<'_>,
        start: usize,
    ) -> Option<Value> {
        let mut out = Map::new();
        let mut complete = true;
        for (key, value) in table {
            let name = key.get_ref().as_ref();
            let at = key.span().start;
            if let Some(inner) = schema.property(name) {
                match self.entry(inner, name, at, value) {
                    Some(value) => drop(out.insert(name.to_owned(), value)),
                    None => complete = false,
                }
            } else if let Some(inner) = schema.map_values() {
                // An invalid map entry is left out, so that the other entries can still be checked.
                if let Some(value) = self.entry(inner, name, at, value) {
                    out.insert(name.to_owned(), value);
                }
            } else if schema.denies_unknown() {
                let fix = suggest(name, schema.keys(), "keys here");
                self.error(at, format!("unknown key `{name}`; {fix}"));
            }
        }
        for name in schema.required() {
            if !table.contains_key(name) {
                complete = false;
                self.missing(schema, name, start);
            }
        }
        complete.then_some(Value::Object(out))
    }

    fn missing(&mut self, schema: SchemaNode<'_>, name: &str, start: usize) {
        let schema = schema.property(name);
        let sample = schema.map_or("VALUE", sample);
        let meaning = schema.map_or("", SchemaNode::description);
        let owner = match self.path.join(".") {
            path if path.is_empty() => "the file".to_owned(),
            path => format!("`{path}`"),
        };
        let meaning = meaning.trim_end_matches('.');
        self.error(
            start,
            format!("{owner} lacks the key `{name}`; add `{name} = {sample}` ({meaning})"),
        );
    }

    fn entry(
        &mut self,
        schema: SchemaNode<'_>,
        name: &str,
        at: usize,
        value: &Spanned<DeValue<'_>>,
    ) -> Option<Value> {
        self.path.push(Arc::from(name));
        self.locations
            .add(self.path.clone(), at, value.span().start);
        let value = self.value(schema, name, at, value);
        self.path.pop();
        value
    }

    /// Validates a value. `key` is the offset of the value's own key.
    fn value(
        &mut self,
        schema: SchemaNode<'_>,
        name: &str,
        key: usize,
        value: &Spanned<DeValue<'_>>,
    ) -> Option<Value> {
        let at = value.span().start;
        match (schema.kind(), value.get_ref()) {
            ("object", DeValue::Table(table)) => self.table(schema, table, key),
            ("array", DeValue::Array(items)) => {
                let inner = schema.items()?;
                let mut out = Some(Vec::new());
                for item in items.iter() {
                    match (self.value(inner, name, key, item), &mut out) {
                        (Some(item), Some(out)) => out.push(item),
                        _ => out = None,
                    }
                }
                out.map(Value::Array)
            }
            ("string", DeValue::String(text)) => self.text(schema, name, at, text),
            ("boolean", DeValue::Boolean(flag)) => Some(Value::Bool(*flag)),
            ("integer", DeValue::Integer(integer)) => {
                self.integer(schema, name, integer, value.span())
            }
            ("number", DeValue::Integer(integer)) => {
                let number = integer_value(integer).map(|n| n as f64);
                self.number(schema, name, number, value.span())
            }
            ("number", DeValue::Float(float)) => {
                let number = float.as_str().parse().ok();
                self.number(schema, name, number, value.span())
            }
            (_, found) => {
                let found = kind_of(found);
                let wanted = wanted(schema);
                self.error(at, format!("`{name}` is {found}; give {wanted}"));
                None
            }
        }
    }

    fn text(&mut self, schema: SchemaNode<'_>, name: &str, at: usize, text: &str) -> Option<Value> {
        if schema.is_address()
            && let Err(fault) = parse_address(text)
        {
            // The value is still a string, so the checks that need the complete document go on.
            self.error(at, fault);
        }
        let choices = schema.choices();
        if choices.is_empty() || choices.contains(&text) {
            return Some(Value::String(text.to_owned()));
        }
        let all = list(choices);
        self.error(at, format!("`{name}` is {text:?}; give one of {all}"));
        None
    }

    fn integer(
        &mut self,
        schema: SchemaNode<'_>,
        name: &str,
        integer: &DeInteger<'_>,
        span: std::ops::Range<usize>,
    ) -> Option<Value> {
        let min = schema.minimum().unwrap_or(0.0);
        let max = schema.maximum().unwrap_or(i64::MAX as f64);
        let number = integer_value(integer).and_then(|n| u64::try_from(n).ok());
        match number {
            Some(n) if n as f64 >= min && n as f64 <= max => Some(Value::Number(n.into())),
            _ => {
                self.outside(schema, name, span);
                None
            }
        }
    }

    fn number(
        &mut self,
        schema: SchemaNode<'_>,
        name: &str,
        number: Option<f64>,
        span: std::ops::Range<usize>,
    ) -> Option<Value> {
        let min = schema.minimum().unwrap_or(f64::MIN);
        let max = schema.maximum().unwrap_or(f64::MAX);
        let inside = number.filter(|n| *n >= min && *n <= max);
        let value = inside.and_then(Number::from_f64).map(Value::Number);
        if value.is_none() {
            self.outside(schema, name, span);
        }
        value
    }

    fn outside(&mut self, schema: SchemaNode<'_>, name: &str, span: std::ops::Range<usize>) {
        let at = span.start;
        let written = self.locations.source().slice(span).to_owned();
        let wanted = wanted(schema);
        self.error(at, format!("`{name}` is {written}; give {wanted}"));
    }
}

/// Returns the value if it fits 128 bits.
fn integer_value(integer: &DeInteger<'_>) -> Option<i128> {
    i128::from_str_radix(integer.as_str(), integer.radix()).ok()
}

fn kind_of(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number with a fraction",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date or time",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}

/// Describes the values that the schema permits.
fn wanted(schema: SchemaNode<'_>) -> Cow<'static, str> {
    let number = match schema.kind() {
        "integer" => "a whole number",
        "number" => "a number",
        "string" => return Cow::Borrowed("a text in quotes"),
        "boolean" => return Cow::Borrowed("true or false"),
        "array" => return Cow::Borrowed("a list"),
        _ => return Cow::Borrowed("a table"),
    };
    match (schema.minimum(), schema.maximum()) {
        (Some(min), Some(max)) => format!("{number} from {min} to {max}").into(),
        (Some(min), None) => format!("{number} of at least {min}").into(),
        (None, Some(max)) => format!("{number} of at most {max}").into(),
        (None, None) => number.into(),
    }
}

/// Returns a placeholder for the value of a missing key.
fn sample(schema: SchemaNode<'_>) -> &'static str {
    match schema.kind() {
        "integer" | "number" => "NUMBER",
        "string" => "\"TEXT\"",
        "boolean" => "true",
        "array" => "[...]",
        _ => "{ ... }",
    }
}
