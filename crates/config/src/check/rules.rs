//! Access to the keywords of a JSON Schema.

use serde_json::{Map, Value};

/// A node of a schema: the rules for one value.
#[derive(Clone, Copy)]
pub(super) struct SchemaNode<'s> {
    root: &'s Value,
    node: &'s Value,
}

impl<'s> SchemaNode<'s> {
    pub(super) fn open(root: &'s Value) -> Self {
        Self { root, node: root }.resolved()
    }

    fn at(self, node: &'s Value) -> Self {
        Self { node, ..self }.resolved()
    }

    /// Follows references. An unresolved reference permits any value.
    fn resolved(mut self) -> Self {
        while let Some(reference) = self.node.get("$ref").and_then(Value::as_str) {
            let pointer = reference.trim_start_matches('#');
            self.node = self.root.pointer(pointer).unwrap_or(&Value::Null);
        }
        self
    }

    pub(super) fn kind(self) -> &'s str {
        self.text("type")
    }

    pub(super) fn description(self) -> &'s str {
        self.text("description")
    }

    fn text(self, keyword: &str) -> &'s str {
        self.node
            .get(keyword)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn properties(self) -> Option<&'s Map<String, Value>> {
        self.node.get("properties").and_then(Value::as_object)
    }

    /// Returns the names of the fixed keys, in the schema's order.
    pub(super) fn keys(self) -> Vec<&'s str> {
        let keys = self.properties().into_iter().flat_map(Map::keys);
        keys.map(String::as_str).collect()
    }

    pub(super) fn required(self) -> impl Iterator<Item = &'s str> {
        let list = self.node.get("required").and_then(Value::as_array);
        list.into_iter().flatten().filter_map(Value::as_str)
    }

    /// Returns the schema of the fixed key `name`.
    pub(super) fn property(self, name: &str) -> Option<Self> {
        self.properties()?.get(name).map(|node| self.at(node))
    }

    /// Returns the schema of the values of a map, whose keys are free.
    pub(super) fn map_values(self) -> Option<Self> {
        let node = self.node.get("additionalProperties")?;
        node.is_object().then(|| self.at(node))
    }

    /// Returns whether unlisted keys are errors.
    pub(super) fn denies_unknown(self) -> bool {
        self.node.get("additionalProperties") == Some(&Value::Bool(false))
    }

    pub(super) fn items(self) -> Option<Self> {
        self.node.get("items").map(|node| self.at(node))
    }

    /// Returns the strings that an enumeration allows; empty if any string is valid.
    pub(super) fn choices(self) -> Vec<&'s str> {
        let list = self.node.get("enum").and_then(Value::as_array);
        list.into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect()
    }

    /// Returns whether the string is an address that a process can listen on or connect to.
    pub(super) fn is_address(self) -> bool {
        self.node.get("format").and_then(Value::as_str) == Some("socket-address")
    }

    pub(super) fn minimum(self) -> Option<f64> {
        self.node.get("minimum").and_then(Value::as_f64)
    }

    pub(super) fn maximum(self) -> Option<f64> {
        self.node.get("maximum").and_then(Value::as_f64)
    }
}
