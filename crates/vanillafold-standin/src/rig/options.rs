//! Where a rig runs, as the programs that start one take it.

use std::path::PathBuf;

use bpaf::{Parser, construct, long};

/// Where a rig runs.
#[derive(Debug)]
pub struct RigOptions {
    /// The second byte of its loopback addresses.
    pub number: u8,
    /// The directory of the built programs.
    pub programs: PathBuf,
    /// The directory for settings, logs and traces; it is emptied.
    pub directory: PathBuf,
}

impl RigOptions {
    /// The options of a program that starts a rig, with their defaults.
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
