//! Paths of the daemons' executables and of the data folders of a run.

use std::path::PathBuf;

/// Environment variable with a folder of daemon executables to run instead of those built along with this one, for example those
/// of another version.
const PROGRAMS_VARIABLE: &str = "HALLKEEL_PROGRAMS";

/// Folder of the executables that cargo built along with the current one, which may be a test.
fn programs() -> PathBuf {
    let own = std::env::current_exe().expect("the running program has a path");
    let mut folder = own
        .parent()
        .expect("a program is in a folder")
        .to_path_buf();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder
}

/// Path of an executable of the workspace. Panics if it is not built; cargo builds a package's binaries before its tests.
pub fn program(name: &str) -> PathBuf {
    let folder = std::env::var_os(PROGRAMS_VARIABLE).map_or_else(programs, PathBuf::from);
    let path = folder.join(name);
    assert!(
        path.exists(),
        "{} is not built: cargo build -p platform",
        path.display()
    );
    path
}

/// Folder for the data and logs of test runs.
pub fn scratch() -> PathBuf {
    let programs = programs();
    let target = programs.parent().unwrap_or(&programs);
    target.join("tmp")
}
