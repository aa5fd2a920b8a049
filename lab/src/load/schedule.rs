//! The schedule of a load: statements chosen at random from a mix, or read from a capture file. The complete
//! schedule is computed before the first statement is sent.
use super::arguments::LoadArguments;
use crate::error::Error;
use fastrand::Rng;
use std::path::Path;
use std::time::Duration;

/// A statement with its scheduled time.
pub(super) struct ScheduledStatement {
    /// Scheduled time, relative to the start of the load.
    pub(super) due: Duration,
    pub(super) sql: String,
}

/// A statement of the mix, with its share of the load.
struct MixEntry<'a> {
    share: f64,
    sql: &'a str,
}

impl MixEntry<'_> {
    /// Parses a statement of the form `SHARE:STATEMENT`.
    fn parse(text: &str) -> Result<MixEntry<'_>, Error> {
        let invalid = || Error::InvalidStatement(text.into());
        let (share, sql) = text.split_once(':').ok_or_else(invalid)?;
        let share = share.trim().parse().map_err(|_| invalid())?;
        Ok(MixEntry { share, sql: sql.trim() })
    }
}

/// Generates statements at random times with exponentially distributed intervals.
pub(super) fn generate(arguments: &LoadArguments) -> Result<Vec<ScheduledStatement>, Error> {
    let mix: Vec<MixEntry<'_>> =
        arguments.statements.iter().map(|text| MixEntry::parse(text)).collect::<Result<_, _>>()?;
    let total_share: f64 = mix.iter().map(|entry| entry.share).sum();
    if !(total_share > 0.0 && arguments.rate > 0.0 && arguments.seconds > 0.0) {
        return Err(Error::NoLoad);
    }
    let mut rng = Rng::with_seed(arguments.seed);
    let mut schedule = Vec::new();
    let mut seconds = 0.0;
    loop {
        seconds -= (1.0 - rng.f64()).ln() / arguments.rate;
        if seconds >= arguments.seconds {
            return Ok(schedule);
        }
        let template = choose_template(&mut rng, &mix, total_share);
        let session = format!("s{}", rng.u64(0..arguments.sessions.max(1)));
        let number = (schedule.len() + 1).to_string();
        let sql = template.replace("{s}", &session).replace("{n}", &number);
        schedule.push(ScheduledStatement { due: Duration::from_secs_f64(seconds), sql });
    }
}

fn choose_template<'a>(rng: &mut Rng, mix: &[MixEntry<'a>], total_share: f64) -> &'a str {
    let mut remaining = rng.f64() * total_share;
    let chosen = mix.iter().find(|entry| {
        remaining -= entry.share;
        remaining < 0.0
    });
    chosen.or(mix.last()).map_or("", |entry| entry.sql)
}

/// Returns the statements of a capture file, with their original intervals.
pub(super) fn from_capture(path: &Path, writes: bool) -> Result<Vec<ScheduledStatement>, Error> {
    let file = std::fs::File::open(path).map_err(|source| Error::Read { path: path.into(), source })?;
    let contents = pcap::conversations::read(file);
    contents.read_result.map_err(|source| Error::Capture { path: path.into(), source })?;
    let mut schedule = Vec::new();
    for request in &contents.requests {
        let sql = String::from_utf8_lossy(request.statement.text()).into_owned();
        // Parameters of prepared statements can't be sent, so only statements without placeholders are used.
        if (writes || is_select(&sql)) && !sql.contains('?') {
            schedule.push(ScheduledStatement { due: request.captured_at, sql });
        }
    }
    schedule.sort_by_key(|statement| statement.due);
    let first = schedule.first().map_or(Duration::ZERO, |statement| statement.due);
    schedule.iter_mut().for_each(|statement| statement.due -= first);
    Ok(schedule)
}

fn is_select(sql: &str) -> bool {
    sql.trim_start().get(..6).is_some_and(|word| word.eq_ignore_ascii_case("select"))
}
