//! The decision logic must stay small enough to be read in an hour, and the deployment file must name all of it.
use std::collections::BTreeMap;
use std::path::Path;

/// Lines that are not blank, comments too, in all files together.
const MAX_LINES: usize = 950;
const MAX_LINE_LENGTH: usize = 110;

/// The files that hold decisions and state, by their path from the repository's root: all but the public face.
fn decision_files() -> BTreeMap<String, String> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = BTreeMap::new();
    let mut folders = vec![package.join("src")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).expect("the folder can be listed") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let inside = path.strip_prefix(package).expect("a file of the package");
            let name = inside.to_str().expect("a plain name");
            if !["src/lib.rs", "src/interface.rs"].contains(&name) {
                let text = std::fs::read_to_string(&path).expect("the file can be read");
                files.insert(format!("decision/{name}"), text);
            }
        }
    }
    files
}

#[test]
fn decision_logic_stays_within_line_limits() {
    let files = decision_files();
    let lines = files.values().flat_map(|text| text.lines()).filter(|line| !line.trim().is_empty()).count();
    assert!(lines > 0 && lines <= MAX_LINES, "{lines} lines that are not blank");
    for (name, text) in &files {
        for (i, line) in text.lines().enumerate() {
            let length = line.chars().count();
            assert!(length <= MAX_LINE_LENGTH, "line {} of {name} has {length} characters", i + 1);
        }
    }
}

#[test]
fn router_file_names_interface_in_its_first_lines() {
    let text = &decision_files()["decision/src/router.rs"];
    assert!(text.lines().take(5).any(|line| line.contains("src/interface.rs")));
}

#[test]
fn deployment_lists_every_file_of_decision_logic_as_policy() {
    let deployment = include_str!("../../deploy/balancer.toml");
    let policy = deployment.lines().find(|line| line.starts_with("policy = [")).expect("a line for policy");
    let listed: Vec<&str> = policy.split('"').skip(1).step_by(2).collect();
    assert_eq!(listed, decision_files().keys().collect::<Vec<_>>());
}
