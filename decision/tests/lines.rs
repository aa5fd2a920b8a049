//! The decision logic must stay small enough to be read in an hour, and the deployment file must name all of it.
use std::collections::BTreeMap;
use std::path::Path;

/// Lines that are not blank, comments too, in all files together: the bench's bound for a decision module.
const MAX_LINES: usize = 1200;
/// Lines of one file that are not blank.
const MAX_FILE_LINES: usize = 250;
/// Lines of one function, its signature and closing brace included.
const MAX_FUNCTION_LINES: usize = 50;
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

/// The lengths of a file's functions, by the first line of each. Formatted code closes a function at its own indentation.
fn function_lengths(text: &str) -> Vec<(&str, usize)> {
    let lines: Vec<&str> = text.lines().collect();
    let is_function = |line: &str| line.trim_start().starts_with("fn ") || line.contains(" fn ");
    let starts =
        lines.iter().enumerate().filter(|(_, line)| !line.trim().starts_with("//") && is_function(line));
    let lengths = starts.map(|(start, line)| {
        let indentation = line.len() - line.trim_start().len();
        let closing = format!("{}}}", " ".repeat(indentation));
        let length = lines[start..].iter().position(|l| *l == closing).expect("a closing brace") + 1;
        (*line, length)
    });
    lengths.collect()
}

#[test]
fn decision_files_and_functions_stay_short() {
    for (name, text) in decision_files() {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_FILE_LINES, "{name} has {lines} lines that are not blank");
        let functions = function_lengths(&text);
        assert!(!functions.is_empty(), "no function found in {name}");
        for (function, length) in functions {
            assert!(length <= MAX_FUNCTION_LINES, "{function} in {name} has {length} lines");
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
