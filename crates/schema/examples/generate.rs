//! Generates the Rust types in `src/generated` from the JSON Schema files in `schema/`.
//!
//! ```text
//! cargo run -p dunlinrock-schema --example generate             # writes the files
//! cargo run -p dunlinrock-schema --example generate -- --check  # fails if they differ
//! ```

use std::{
    env, fs,
    path::{Path, PathBuf},
};

use anyhow::{Context, bail, ensure};
use schemars::schema::{InstanceType, RootSchema, SchemaObject};
use typify::{TypeSpace, TypeSpaceImpl, TypeSpaceSettings};

const HEADER: &str =
    "// Generated from schema/{name}.json by the example `generate`. Do not edit.\n\n";

fn main() -> anyhow::Result<()> {
    let check = env::args().any(|arg| arg == "--check");
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut stale = Vec::new();
    for path in schema_files(&root.join("../../schema"))? {
        let name = path
            .file_stem()
            .and_then(|s| s.to_str())
            .context("a file without a name")?;
        let target = root.join("src/generated").join(format!("{name}.rs"));
        let code = HEADER.replace("{name}", name) + &generate(&path)?;
        if !check {
            fs::write(&target, code).with_context(|| format!("writing {}", target.display()))?;
        } else if fs::read_to_string(&target).unwrap_or_default() != code {
            stale.push(target);
        }
    }
    ensure!(
        stale.is_empty(),
        "generated code differs from the schema: {stale:?}; run the example"
    );
    Ok(())
}

/// Replaces the `String` keys of all maps by shared strings.
fn shared_keys(code: &str) -> String {
    const MAP: &str = "BTreeMap<";
    const KEY: &str = "::std::string::String,";
    let mut out = String::with_capacity(code.len());
    let mut rest = code;
    while let Some(at) = rest.find(MAP) {
        let (head, tail) = rest.split_at(at + MAP.len());
        out.push_str(head);
        let key = tail.trim_start();
        rest = match key.strip_prefix(KEY) {
            Some(after) => {
                out.push_str(&tail[..tail.len() - key.len()]);
                out.push_str("::std::sync::Arc<str>,");
                after
            }
            None => tail,
        };
    }
    out + rest
}

/// Lists the schema files in a fixed order.
fn schema_files(dir: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir).with_context(|| format!("reading {}", dir.display()))? {
        let path = entry?.path();
        if path.extension().is_some_and(|ext| ext == "json") {
            files.push(path);
        }
    }
    if files.is_empty() {
        bail!("no schema in {}", dir.display());
    }
    files.sort();
    Ok(files)
}

fn generate(path: &Path) -> anyhow::Result<String> {
    let text = fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    let schema: RootSchema =
        serde_json::from_str(&text).with_context(|| format!("parsing {}", path.display()))?;
    let mut settings = TypeSpaceSettings::default();
    settings.with_map_type("::std::collections::BTreeMap");
    settings.with_derive("PartialEq".to_owned());
    // Names are shared immutable strings: cloned into every snapshot, never changed.
    let string = SchemaObject {
        instance_type: Some(InstanceType::String.into()),
        ..Default::default()
    };
    settings.with_conversion(
        string,
        "::std::sync::Arc<str>",
        std::iter::empty::<TypeSpaceImpl>(),
    );
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(schema)?;
    let file = syn::parse2::<syn::File>(space.to_stream())?;
    Ok(restyle(&prettyplease::unparse(&file)))
}

/// Adapts the generator's output to the style of this workspace: shared strings as map keys, serde's
/// derives on a separate line, a space after the slashes of a doc comment.
fn restyle(code: &str) -> String {
    let code = shared_keys(code)
        .replace(
            "#[derive(::serde::Deserialize, ::serde::Serialize, ",
            "#[derive(::serde::Deserialize, ::serde::Serialize)]\n#[derive(",
        )
        .replace(
            "#[derive(\n    ::serde::Deserialize,\n    ::serde::Serialize,\n",
            "#[derive(::serde::Deserialize, ::serde::Serialize)]\n#[derive(\n",
        );
    let mut out = String::with_capacity(code.len());
    for line in code.lines() {
        let body = line.trim_start();
        let indent = &line[..line.len() - body.len()];
        match body.strip_prefix("///") {
            Some(text) if !text.is_empty() && !text.starts_with(' ') => {
                out.push_str(indent);
                out.push_str("/// ");
                out.push_str(text);
            }
            _ => out.push_str(line),
        }
        out.push('\n');
    }
    out
}
