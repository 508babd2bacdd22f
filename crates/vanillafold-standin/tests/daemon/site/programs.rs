//! The workspace's programs, built once for each test process.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The path of a shipped program.
pub(crate) fn program(name: &str) -> PathBuf {
    programs().join(name)
}

/// The path of a stand-in.
pub(crate) fn standin(name: &str) -> PathBuf {
    programs().join("examples").join(name)
}

/// The folder beside the test's own, in which the programs are. Built first, since cargo builds
/// for a test only the programs of the test's own package.
fn programs() -> &'static Path {
    static PROGRAMS: OnceLock<PathBuf> = OnceLock::new();
    PROGRAMS.get_or_init(build)
}

fn build() -> PathBuf {
    let own = std::env::current_exe().expect("the test's own path");
    let folder = own.ancestors().nth(2).expect("a target folder").to_owned();
    let profile = match folder.file_name().and_then(|name| name.to_str()) {
        Some("debug") => "dev",
        Some(name) => name,
        None => panic!("{} names no profile", folder.display()),
    };
    // The whole workspace, so that features are those of the build that made this test.
    let status = Command::new(env!("CARGO"))
        .args(["build", "--quiet", "--offline", "--workspace", "--bins"])
        .args(["--examples", "--profile", profile, "--target-dir"])
        .arg(folder.parent().expect("a target folder"))
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status()
        .expect("cargo");
    assert!(status.success(), "the programs do not build");
    folder
}
