//! The JSON Schemas that documents are validated against, embedded as text.

/// JSON Schema of a host's settings.
pub const SETTINGS: &str = include_str!("../../../../schema/settings.json");
/// JSON Schema of an edge host's settings.
pub const EDGE: &str = include_str!("../../../../schema/edge.json");
/// JSON Schema of an operator's configuration.
pub const CONFIG: &str = include_str!("../../../../schema/config.json");
