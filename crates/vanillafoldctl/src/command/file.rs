//! Reading of the catalogue file.

use std::fs;
use std::path::{Path, PathBuf};

use bpaf::{Parser, positional};
use vanillafold::types::{CatalogueFile, Document, Problem};

/// Why a catalogue file is not valid: a line for each error in it.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct InvalidFileError(String);

impl From<Vec<Problem>> for InvalidFileError {
    fn from(problems: Vec<Problem>) -> Self {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        Self(lines.join("\n"))
    }
}

/// Returns the parser of the argument that names the catalogue file.
pub(crate) fn file() -> impl Parser<PathBuf> {
    positional("CATALOGUE").help("The catalogue file (INI)")
}

/// Reads and checks a catalogue file; the document has the lines of its entries.
///
/// # Errors
///
/// Returns an [`InvalidFileError`] if the file can't be read or has errors.
pub(crate) fn read_catalogue(file: &Path) -> Result<(Document, CatalogueFile), InvalidFileError> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file)
        .map_err(|error| InvalidFileError(format!("can't read {name}: {error}")))?;
    let document = Document::parse(&name, &text).map_err(|problem| vec![problem])?;
    let catalogue = CatalogueFile::from_document(&document)?;
    Ok((document, catalogue))
}
