//! Reads JSON.

use std::iter::Peekable;

pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        value(&mut text.chars().peekable())
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(rows) => rows
                .iter()
                .find(|(n, _)| n == name)
                .map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(all) => all,
            _ => &[],
        }
    }

    pub fn text(&self) -> String {
        match self {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn value<I: Iterator<Item = char>>(text: &mut Peekable<I>) -> Json {
    skip(text);
    match text.peek() {
        Some('"') => Json::Text(string(text)),
        Some('[') => {
            text.next();
            let mut all = Vec::new();
            while !ends(text, ']') {
                all.push(value(text));
            }
            Json::List(all)
        }
        Some('{') => {
            text.next();
            let mut rows = Vec::new();
            while !ends(text, '}') {
                let name = string(text);
                skip(text);
                text.next();
                rows.push((name, value(text)));
            }
            Json::Table(rows)
        }
        _ => {
            let mut word = String::new();
            while let Some(c) = text.peek().filter(|c| !",]} \n".contains(**c)) {
                word.push(*c);
                text.next();
            }
            word.parse().map_or(Json::Null, Json::Number)
        }
    }
}

fn skip<I: Iterator<Item = char>>(text: &mut Peekable<I>) {
    while text.peek().is_some_and(|c| c.is_whitespace()) {
        text.next();
    }
}

/// Skips a comma; returns whether the list or table ends.
fn ends<I: Iterator<Item = char>>(text: &mut Peekable<I>, end: char) -> bool {
    skip(text);
    if text.peek() == Some(&',') {
        text.next();
        skip(text);
    }
    match text.peek() {
        Some(c) if *c == end => text.next().is_some(),
        None => true,
        Some(_) => false,
    }
}

fn string<I: Iterator<Item = char>>(text: &mut Peekable<I>) -> String {
    skip(text);
    text.next();
    let mut out = String::new();
    while let Some(c) = text.next() {
        match c {
            '"' => break,
            '\\' => out.extend(text.next()),
            _ => out.push(c),
        }
    }
    out
}
