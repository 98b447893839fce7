//! Command line of the program: a subcommand, its positional arguments (paths),
//! and options with one value each; only `--vary` has none.

use std::collections::HashMap;

/// Parsed command line.
pub struct Options {
    /// Name of the subcommand; empty if none was given.
    pub command: String,
    /// Positional arguments after the subcommand: paths of files.
    pub files: Vec<String>,
    /// Values of the options by name, without the leading dashes.
    values: HashMap<String, String>,
    /// Whether `--vary` is passed on to the bench, which then varies the times and
    /// amounts of each day.
    pub vary: bool,
}

impl Options {
    /// Parses the command-line arguments; `--bench`, which cargo adds, is ignored.
    pub fn parse(words: impl Iterator<Item = String>) -> Result<Options, String> {
        let mut options = Options {
            command: String::new(),
            files: Vec::new(),
            values: HashMap::new(),
            vary: false,
        };
        let mut words = words.filter(|word| word != "--bench");
        while let Some(word) = words.next() {
            if word == "--vary" {
                options.vary = true;
            } else if let Some(name) = word.strip_prefix("--") {
                let value = words.next();
                let value = value.ok_or(format!("--{name} requires a value"))?;
                options.values.insert(name.to_owned(), value);
            } else if options.command.is_empty() {
                options.command = word;
            } else {
                options.files.push(word);
            }
        }
        Ok(options)
    }

    /// Value of an option; none if it was not given.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// Parses an option as a comma-separated list of numbers, or `default` if the
    /// option was not given.
    pub fn numbers<T: std::str::FromStr>(
        &self,
        name: &str,
        default: &str,
    ) -> Result<Vec<T>, String> {
        let text = self.text(name).unwrap_or(default);
        let items = text.split(',').filter(|word| !word.is_empty());
        items.map(|word| {
            let number = word.parse();
            number.map_err(|_| format!("--{name}: invalid number {word:?}; expected a comma-separated list of numbers"))
        })
        .collect()
    }

    /// Comma-separated names of an option; `None` if it was not given.
    pub fn names(&self, name: &str) -> Option<Vec<&str>> {
        self.text(name).map(|text| text.split(',').collect())
    }

    /// Positional argument at an index from 0; `label` names it in the error
    /// message.
    pub fn file(&self, index: usize, label: &str) -> Result<&str, String> {
        let file = self.files.get(index).map(String::as_str);
        file.ok_or(format!("missing argument {label}: expected a path"))
    }
}
