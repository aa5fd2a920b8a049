//! The files and functions of the decision logic must stay short enough to be read at once, and the deployment file
//! must list all of them.
use std::collections::BTreeMap;
use std::path::Path;

/// Maximum number of non-blank lines of one file.
const MAX_FILE_LINES: usize = 250;
/// Maximum number of lines of one function, including its signature and closing brace.
const MAX_FUNCTION_LINES: usize = 50;
const MAX_LINE_LENGTH: usize = 110;

/// The files with decisions and state, by path from the repository root: all except the public interface.
fn decision_files() -> BTreeMap<String, String> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = BTreeMap::new();
    let mut folders = vec![package.join("src")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).expect("the folder is readable") {
            let path = entry.expect("a readable folder entry").path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let relative_path = path.strip_prefix(package).expect("a file of the package");
            let name = relative_path.to_str().expect("a UTF-8 path");
            if !["src/lib.rs", "src/interface.rs"].contains(&name) {
                let text = std::fs::read_to_string(&path).expect("the file is readable");
                files.insert(format!("decision/{name}"), text);
            }
        }
    }
    files
}

#[test]
fn decision_logic_stays_within_line_length() {
    let files = decision_files();
    assert!(!files.is_empty());
    for (name, text) in &files {
        for (i, line) in text.lines().enumerate() {
            let length = line.chars().count();
            assert!(length <= MAX_LINE_LENGTH, "line {} of {name} has {length} characters", i + 1);
        }
    }
}

/// The lengths of a file's functions, by the first line of each. In formatted code, the closing brace of a
/// function has the indentation of its first line.
fn function_lengths(text: &str) -> Vec<(&str, usize)> {
    let lines: Vec<&str> = text.lines().collect();
    let is_function = |line: &str| line.trim_start().starts_with("fn ") || line.contains(" fn ");
    let starts =
        lines.iter().enumerate().filter(|(_, line)| !line.trim().starts_with("//") && is_function(line));
    let lengths = starts.map(|(start, line)| {
        let indentation = line.len() - line.trim_start().len();
        let closing = format!("{}}}", " ".repeat(indentation));
        let length =
            lines[start..].iter().position(|l| *l == closing).expect("a closing brace of the function") + 1;
        (*line, length)
    });
    lengths.collect()
}

#[test]
fn decision_files_and_functions_stay_short() {
    for (name, text) in decision_files() {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_FILE_LINES, "{name} has {lines} non-blank lines");
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
    let policy =
        deployment.lines().find(|line| line.starts_with("policy = [")).expect("a line with the policy files");
    let listed: Vec<&str> = policy.split('"').skip(1).step_by(2).collect();
    assert_eq!(listed, decision_files().keys().collect::<Vec<_>>());
}
