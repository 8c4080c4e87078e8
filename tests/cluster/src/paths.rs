//! Where the daemons' programs and the folders of a run are.

use std::path::PathBuf;

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
    let path = programs().join(name);
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
