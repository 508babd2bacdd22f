//! Command-line options shared by the programs that start a rig.

use std::path::PathBuf;

use bpaf::{Parser, construct, long};

/// The addresses and directories that a rig uses.
#[derive(Debug)]
pub struct RigOptions {
    /// The second byte of the rig's loopback addresses, 1 to 250: rigs with different numbers can
    /// run at the same time.
    pub number: u8,
    /// The directory of the built programs; the stand-ins are in its folder `examples`.
    pub programs: PathBuf,
    /// The directory for settings, logs and traces; it is emptied at the start.
    pub directory: PathBuf,
}

impl RigOptions {
    /// Returns a parser of `--rig`, `--programs` and `--directory`, with `number` and `directory`
    /// as defaults.
    pub fn parser(number: u8, directory: &'static str) -> impl Parser<Self> {
        let number = long("rig")
            .help("second byte of the loopback addresses, 1 to 250")
            .argument::<u8>("N")
            .fallback(number);
        let programs = long("programs")
            .help("directory of the built programs")
            .argument::<PathBuf>("DIR")
            .fallback(PathBuf::from("target/release"));
        let directory = long("directory")
            .help("directory for settings, logs and traces; it is emptied")
            .argument::<PathBuf>("DIR")
            .fallback(PathBuf::from(directory));
        construct!(Self {
            number,
            programs,
            directory
        })
    }
}
