//! Where a rig runs, as the programs that start one take it.

use std::path::PathBuf;

use bpaf::{Parser, construct, long};

/// Where a rig runs.
#[derive(Debug)]
pub struct RigSite {
    /// The second byte of its loopback addresses.
    pub rig: u8,
    /// The directory of the built programs.
    pub programs: PathBuf,
    /// The directory for settings, logs and traces; it is emptied.
    pub directory: PathBuf,
}

impl RigSite {
    /// The options of a program that starts a rig, with their defaults.
    pub fn options(rig: u8, directory: &'static str) -> impl Parser<Self> {
        let rig = long("rig")
            .help("second byte of the loopback addresses, 1 to 250")
            .argument::<u8>("N")
            .fallback(rig);
        let programs = long("programs")
            .help("directory of the built programs")
            .argument::<PathBuf>("DIR")
            .fallback(PathBuf::from("target/release"));
        let directory = long("directory")
            .help("directory for settings, logs and traces; it is emptied")
            .argument::<PathBuf>("DIR")
            .fallback(PathBuf::from(directory));
        construct!(Self {
            rig,
            programs,
            directory
        })
    }
}
