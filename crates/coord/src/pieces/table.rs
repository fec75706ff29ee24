//! Named rows of one type, stored by column.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

/// Rows by name, stored by column; a column with equal values is stored once.
///
/// Twenty-two targets take 2,435 bytes as rows and 1,004 as columns, and a change of one target
/// transfers the whole piece. Columns keep the field names, so that a field can be added without a
/// new encoding.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Table {
    /// Names of the rows, sorted.
    pub names: Vec<Arc<str>>,
    /// Values by field; a field that a row lacks is null.
    pub columns: BTreeMap<String, Column>,
}

/// Values of one field.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Column {
    /// The same value in each row.
    Same(Value),
    /// One value for each row, in the order of the names.
    Each(Vec<Value>),
}

impl Table {
    /// Packs rows; each must be a struct.
    pub fn pack<T: Serialize>(rows: &BTreeMap<Arc<str>, T>) -> Self {
        let objects: Vec<_> = rows.values().map(object).collect();
        let fields: std::collections::BTreeSet<_> =
            objects.iter().flat_map(|row| row.keys().cloned()).collect();
        let columns = fields.into_iter().map(|field| {
            let values = objects
                .iter()
                .map(|row| row.get(&field).cloned().unwrap_or(Value::Null))
                .collect();
            (field, column(values))
        });
        Self {
            names: rows.keys().cloned().collect(),
            columns: columns.collect(),
        }
    }

    /// Unpacks the rows; returns an error if a value does not match the type.
    pub fn unpack<T: DeserializeOwned>(&self) -> Result<BTreeMap<Arc<str>, T>, serde_json::Error> {
        self.names
            .iter()
            .enumerate()
            .map(|(index, name)| Ok((name.clone(), serde_json::from_value(self.row(index))?)))
            .collect()
    }

    fn row(&self, index: usize) -> Value {
        let mut row = Map::new();
        for (field, column) in &self.columns {
            let value = match column {
                Column::Same(value) => Some(value),
                Column::Each(values) => values.get(index),
            };
            if let Some(value) = value.filter(|value| !value.is_null()) {
                row.insert(field.clone(), value.clone());
            }
        }
        Value::Object(row)
    }
}

fn object<T: Serialize>(row: &T) -> Map<String, Value> {
    match serde_json::to_value(row) {
        Ok(Value::Object(map)) => map,
        _ => Map::new(),
    }
}

fn column(mut values: Vec<Value>) -> Column {
    match values.first() {
        Some(first) if values.iter().all(|value| value == first) => {
            Column::Same(values.swap_remove(0))
        }
        _ => Column::Each(values),
    }
}
