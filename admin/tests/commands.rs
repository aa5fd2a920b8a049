//! Property tests of the command parser with random lines.
use admin::{Command, ParseError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    // The fixed seed gives the same lines in every run.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn parse_error_of_any_line_is_printable(line: Vec<u8>, verb in "(suspend|RESTORE|PAUSE|) ?") {
        for line in [&line[..], &[verb.as_bytes(), &line].concat()] {
            if let Err(error) = Command::parse(line) {
                prop_assert!(error.to_string().bytes().all(|b| (b' '..=b'~').contains(&b)));
            }
        }
    }

    #[test]
    fn displayed_command_parses_to_the_same_command(
        id in "[!-~]{1,256}",
        variant in 0..6,
        lowercase: bool,
        line_end in prop::sample::select(vec!["", "\n", "\r\n"])
    ) {
        let command = match variant {
            0 => Command::Status,
            1 => Command::Metrics,
            2 => Command::Suspend(id.clone()),
            3 => Command::Restore(id.clone()),
            4 => Command::Pause,
            _ => Command::Resume,
        };
        let mut line = command.to_string();
        if lowercase && variant != 2 && variant != 3 {
            line.make_ascii_lowercase();
        }
        prop_assert_eq!(Command::parse(format!("{line}{line_end}").as_bytes()), Ok(command));
        let invalid = Command::parse(format!("SUSPEND {id}\u{7f}").as_bytes());
        prop_assert_eq!(invalid, Err(ParseError::InvalidId("SUSPEND")));
    }
}
