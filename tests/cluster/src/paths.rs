//! Where the daemons' programs and the folders of a run are.

use std::path::PathBuf;

/// Variable that names a folder of programs to run in place of those built together with the running one: those of another version.
const PROGRAMS_VARIABLE: &str = "HALLKEEL_PROGRAMS";

/// Folder of the programs that cargo built together with the running one, which may be a test.
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

/// A program of the workspace. It must have been built: cargo builds those of a package before its tests.
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

/// Folder for the data and logs of runs.
pub fn scratch() -> PathBuf {
    let programs = programs();
    let target = programs.parent().unwrap_or(&programs);
    target.join("tmp")
}
