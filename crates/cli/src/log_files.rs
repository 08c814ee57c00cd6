//! The files of log lines that a command was given.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::PathBuf,
};

use clap::ArgMatches;

use crate::error::CliError;

/// Passes each file that `args` hold to `read`, with its name; standard input where there is none.
///
/// # Errors
///
/// [`CliError::File`] if a file can't be read.
pub(crate) fn read_each<F>(args: &ArgMatches, mut read: F) -> Result<(), CliError>
where
    F: FnMut(&str, &mut dyn BufRead) -> io::Result<()>,
{
    let files: Vec<&PathBuf> = args.get_many("files").into_iter().flatten().collect();
    if files.is_empty() {
        let name = "stdin";
        read(name, &mut io::stdin().lock()).map_err(CliError::for_file(name))?;
    }
    for path in files {
        let name = path.display().to_string();
        File::open(path)
            .and_then(|file| read(&name, &mut BufReader::new(file)))
            .map_err(CliError::for_file(&name))?;
    }
    Ok(())
}
