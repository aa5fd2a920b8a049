//! Compares what the commands print and write with recorded texts.
use parquet::file::reader::{FileReader, SerializedFileReader};
use std::path::Path;
use std::process::Command;
use tempfile::TempDir;

const PLAN: &str = "name = 'small'\nseconds = 4\nwarmup_s = 1\nrate = 300\nsessions = 30\nship_ms = 200\n\
                    [[trouble]]\nkind = 'crash_replica'\nat_s = 1.5\nfor_s = 0.5\n";

const LOG: &str = "\
0.10 decision event received event=RequestArrived { id: RequestId(7), class: 2, .. }
0.20 decision event received event=RequestArrived { id: RequestId(8), class: 1, .. }
0.25 decision event received event=RequestArrived { id: RequestId(9), class: 0, .. }
0.30 decision action requested action=Send { request: RequestId(7), member: MemberId(3) }
0.40 backend connection opened member=3
0.45 backend connection failed member=4 outcome=\"connect_failed\"
1.20 decision event received event=AttemptEnded { request: RequestId(7), member: MemberId(3), outcome: Reset, .. }
1.50 decision action requested action=Reject { request: RequestId(7) }
1.60 decision action requested action=Reject { request: RequestId(8) }
1.65 decision action requested action=Fail { request: RequestId(9) }
1.70 decision event received event=ProbeEnded { member: MemberId(3), outcome: Reset, report: MemberReport { primary: None } }
1.80 decision event received event=ProbeEnded { member: MemberId(4), outcome: Ok, report: MemberReport { primary: Some(true) } }
2.00 decision action requested action=Probe { member: MemberId(3) }
2.10 decision action requested action=Probe { member: MemberId(4) }
2.20 decision action requested action=Probe { member: MemberId(5) }
a line of something else
";

/// Runs the program and returns its exit code and output; the folder's path is replaced by `FOLDER`.
fn run_lab(folder: &TempDir, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_damsonvale-lab"))
        .current_dir(folder)
        .env("COLUMNS", "100")
        .args(arguments)
        .output()
        .unwrap();
    let (stdout, stderr) =
        (String::from_utf8(output.stdout).unwrap(), String::from_utf8(output.stderr).unwrap());
    let folder_path = folder.path().display().to_string();
    format!("$ {}\n{stdout}{stderr}exit {:?}\n\n", arguments.join(" "), output.status.code())
        .replace(&folder_path, "FOLDER")
}

/// Compares a text with a recorded one; with `DAMSONVALE_RECORD` set, records the text first.
fn assert_recorded(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    if std::env::var_os("DAMSONVALE_RECORD").is_some() {
        std::fs::write(&path, text).unwrap();
    }
    assert_eq!(text, std::fs::read_to_string(&path).unwrap(), "{name}");
}

fn folder_with(files: &[(&str, &str)]) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    for (name, text) in files {
        std::fs::write(folder.path().join(name), text).unwrap();
    }
    folder
}

fn read_file(folder: &TempDir, name: &str) -> String {
    std::fs::read_to_string(folder.path().join(name)).unwrap()
}

#[test]
fn output_of_run_sweep_and_compare_matches_recording() {
    let folder = folder_with(&[("plan.toml", PLAN)]);
    let text = [
        run_lab(&folder, &["run", "plan.toml"]),
        run_lab(&folder, &["run", "plan.toml", "--seeds", "3", "--threads", "2", "--out", "before"]),
        run_lab(
            &folder,
            &["sweep", "plan.toml", "--key", "trouble.0.count", "--values", "1,4", "--out", "sweep"],
        ),
        run_lab(
            &folder,
            &["sweep", "plan.toml", "--key", "name", "--values", "small", "--seeds", "2", "--out", "named"],
        ),
        run_lab(&folder, &["compare", "before", "sweep"]),
        run_lab(&folder, &["run", "plan.toml", "--seeds", "2", "--out", "after"]),
        run_lab(&folder, &["compare", "before", "after", "--spread", "spread.svg"]),
    ]
    .concat();
    assert_recorded("runs.txt", &text);
    assert_recorded("results.json", &read_file(&folder, "after/results.json"));
    assert_recorded("seconds.svg", &read_file(&folder, "after/seconds.svg"));
    assert_recorded("spread.svg", &read_file(&folder, "spread.svg"));
    let file = std::fs::File::open(folder.path().join("after/seconds.parquet")).unwrap();
    let reader = SerializedFileReader::new(file).unwrap();
    let rows: Vec<String> = reader.get_row_iter(None).unwrap().map(|row| row.unwrap().to_string()).collect();
    assert_recorded("seconds.txt", &(rows.join("\n") + "\n"));
}

#[test]
fn output_for_violated_rules_matches_recording() {
    let plan = format!("plant = 'forget_sessions'\n{PLAN}");
    let folder = folder_with(&[("plan.toml", &plan)]);
    let text = [
        run_lab(&folder, &["run", "plan.toml", "--out", "broken"]),
        run_lab(&folder, &["compare", "broken", "broken"]),
    ];
    assert_recorded("broken.txt", &text.concat());
}

#[test]
fn output_of_count_matches_recording() {
    let folder = folder_with(&[("a.log", LOG), ("b.log", LOG), ("c.txt", LOG)]);
    assert_recorded("counts.txt", &run_lab(&folder, &["count", "."]));
}

#[test]
fn help_texts_and_default_plan_match_recording() {
    let folder = folder_with(&[]);
    let commands = ["run", "sweep", "load", "processes", "compare", "plan", "soak", "life", "count"];
    let mut text = run_lab(&folder, &["--help"]);
    commands.iter().for_each(|command| text += &run_lab(&folder, &[command, "--help"]));
    assert_recorded("help.txt", &text);
    assert_recorded("plan.txt", &run_lab(&folder, &["plan"]));
}

#[test]
fn errors_for_invalid_arguments_and_files_match_recording() {
    let folder = folder_with(&[
        ("plan.toml", PLAN),
        ("no.toml", "= ="),
        ("bad.toml", "rates = 1\n"),
        ("no.pcap", "none"),
    ]);
    std::fs::create_dir(folder.path().join("empty")).unwrap();
    std::fs::write(folder.path().join("empty/results.json"), "{}").unwrap();
    std::fs::write(folder.path().join("empty/log"), "nothing\n").unwrap();
    let load = ["load", "127.0.0.1:1", "--user", "u", "--database", "d"];
    let with = |more: &[&str]| run_lab(&folder, &[&load[..], more].concat());
    let text = [
        run_lab(&folder, &["run", "none.toml"]),
        run_lab(&folder, &["run", "no.toml"]),
        run_lab(&folder, &["run", "bad.toml"]),
        run_lab(&folder, &["run", "plan.toml", "--out", "plan.toml/x"]),
        run_lab(&folder, &["sweep", "plan.toml", "--key", "trouble.7.count", "--values", "1"]),
        run_lab(&folder, &["sweep", "plan.toml", "--key", "rate", "--values", "a'b"]),
        run_lab(&folder, &["compare", "none", "none"]),
        run_lab(&folder, &["compare", "empty", "empty"]),
        run_lab(&folder, &["count", "none"]),
        run_lab(&folder, &["life", "empty/log", "--request", "2"]),
        run_lab(&folder, &["processes", "bad.toml"]),
        with(&["--statement", "x"]),
        with(&[]),
        with(&["--pcap", "no.pcap"]),
    ];
    assert_recorded("errors.txt", &text.concat());
}
