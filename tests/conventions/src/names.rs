//! Collects the names in a crate's sources: files, items, fields, variants, and the words of log lines.

use crate::SourceFile;
use std::collections::BTreeMap;
use syn::visit::{self, Visit};

/// Macros whose first argument is a log line.
const LOG_MACROS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
/// Macros whose lines operators see at the default log level.
const OPERATOR_MACROS: [&str; 3] = ["error", "warn", "info"];

#[derive(Default)]
struct Names {
    found: Vec<String>,
    log_lines: Vec<String>,
}

impl Names {
    fn add(&mut self, name: &syn::Ident) {
        self.found.push(name.to_string());
    }
}

impl<'ast> Visit<'ast> for Names {
    fn visit_item_fn(&mut self, item: &'ast syn::ItemFn) {
        self.add(&item.sig.ident);
        visit::visit_item_fn(self, item);
    }

    fn visit_impl_item_fn(&mut self, item: &'ast syn::ImplItemFn) {
        self.add(&item.sig.ident);
        visit::visit_impl_item_fn(self, item);
    }

    fn visit_trait_item_fn(&mut self, item: &'ast syn::TraitItemFn) {
        self.add(&item.sig.ident);
        visit::visit_trait_item_fn(self, item);
    }

    fn visit_item_struct(&mut self, item: &'ast syn::ItemStruct) {
        self.add(&item.ident);
        visit::visit_item_struct(self, item);
    }

    fn visit_item_enum(&mut self, item: &'ast syn::ItemEnum) {
        self.add(&item.ident);
        visit::visit_item_enum(self, item);
    }

    fn visit_item_trait(&mut self, item: &'ast syn::ItemTrait) {
        self.add(&item.ident);
        visit::visit_item_trait(self, item);
    }

    fn visit_item_type(&mut self, item: &'ast syn::ItemType) {
        self.add(&item.ident);
    }

    fn visit_item_const(&mut self, item: &'ast syn::ItemConst) {
        self.add(&item.ident);
    }

    fn visit_variant(&mut self, variant: &'ast syn::Variant) {
        self.add(&variant.ident);
        visit::visit_variant(self, variant);
    }

    fn visit_field(&mut self, field: &'ast syn::Field) {
        if let Some(name) = &field.ident {
            self.add(name);
        }
        visit::visit_field(self, field);
    }

    fn visit_macro(&mut self, call: &'ast syn::Macro) {
        let last = call.path.segments.last();
        let name = last.map(|last| last.ident.to_string()).unwrap_or_default();
        if !LOG_MACROS.contains(&name.as_str()) {
            return;
        }
        let Some(line) = first_literal(call.tokens.clone()) else {
            return;
        };
        if OPERATOR_MACROS.contains(&name.as_str()) {
            self.log_lines.push(line.clone());
        }
        self.found.push(line);
    }
}

/// Returns the first argument of a macro if it is a string literal.
fn first_literal(tokens: proc_macro2::TokenStream) -> Option<String> {
    let first = tokens.into_iter().next()?;
    let literal: syn::LitStr = syn::parse2(first.into()).ok()?;
    Some(literal.value())
}

/// Returns the log lines of a file at level info and above, with their placeholders.
#[must_use]
pub fn log_lines(file: &SourceFile) -> Vec<String> {
    let mut names = Names::default();
    names.visit_file(&file.syntax);
    names.log_lines
}

/// Returns the names and log lines of a file, including its module name.
#[must_use]
pub fn of_file(file: &SourceFile) -> Vec<String> {
    let mut names = Names::default();
    names.visit_file(&file.syntax);
    names.found.extend(file.module.last().cloned());
    names.found
}

/// Splits a name or a log line into lower-case words, at `CamelCase` and `snake_case` boundaries and at punctuation.
#[must_use]
pub fn words(name: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut was_lower = false;
    for character in name.chars() {
        let starts_word = !character.is_alphanumeric() || (character.is_uppercase() && was_lower);
        if starts_word {
            words.push(String::new());
        }
        if character.is_alphanumeric() {
            let word = words.last_mut();
            word.into_iter()
                .for_each(|word| word.extend(character.to_lowercase()));
        }
        was_lower = character.is_lowercase() || character.is_numeric();
    }
    words.retain(|word| !word.is_empty());
    words
}

/// Parses lines such as `beat = heartbeat` into withdrawn words, each with its replacement.
#[must_use]
pub fn withdrawn(lines: &[String]) -> BTreeMap<String, String> {
    let pairs = lines.iter().filter_map(|line| line.split_once(" = "));
    pairs
        .map(|(word, replacement)| (word.to_string(), replacement.to_string()))
        .collect()
}
