//! The validator supports every keyword that the schemas use: an ignored keyword would check nothing.

use dunlinrock_config::schema;
use serde_json::Value;

/// Keywords that the validator supports, and those that need no validation.
const KNOWN: [&str; 14] = [
    "$schema",
    "$ref",
    "additionalProperties",
    "default",
    "definitions",
    "description",
    "enum",
    "format",
    "items",
    "maximum",
    "minimum",
    "properties",
    "required",
    "type",
];

fn unknown(schema: &Value, found: &mut Vec<String>) {
    let Some(table) = schema.as_object() else {
        return;
    };
    for (keyword, value) in table {
        match keyword.as_str() {
            "properties" | "definitions" => {
                let inner = value.as_object().into_iter().flat_map(|map| map.values());
                inner.for_each(|schema| unknown(schema, found));
            }
            "items" | "additionalProperties" => unknown(value, found),
            "title" => {}
            keyword if KNOWN.contains(&keyword) => {}
            keyword => found.push(keyword.to_owned()),
        }
    }
}

#[test]
fn no_keyword_is_ignored() {
    for text in [schema::SETTINGS, schema::CONFIG] {
        let mut found = Vec::new();
        unknown(&serde_json::from_str(text).unwrap(), &mut found);
        assert!(found.is_empty(), "{found:?}");
    }
    let mut found = Vec::new();
    unknown(&serde_json::json!({"items": {"pattern": "a"}}), &mut found);
    assert_eq!(found, ["pattern"]);
}
