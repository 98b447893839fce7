//! `clovermount check`: validates settings files.

use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use cell::CellSettings;
use daemon::Settings;

use crate::exit::SUCCESS;
use crate::exit::USAGE;

/// check settings files without starting a process
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// settings files (YAML)
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// the files are settings for `clovermountd --cell`
    #[argh(switch)]
    cell: bool,
}

impl Check {
    pub(crate) fn run(self) -> u8 {
        let mut code = SUCCESS;
        for file in &self.files {
            match load_name(file, self.cell) {
                Ok(name) => println!("{}: ok ({name})", file.display()),
                Err(error) => {
                    eprintln!("{error}");
                    code = USAGE;
                }
            }
        }
        code
    }
}

/// Loads a settings file; returns the name of its process, or the reason why
/// the file is invalid.
fn load_name(file: &Path, cell: bool) -> Result<String, String> {
    if cell {
        let settings = CellSettings::load(file).map_err(|error| error.to_string())?;
        return Ok(settings.node);
    }
    let settings = Settings::load(file).map_err(|error| error.to_string())?;
    Ok(settings.name)
}
