//! What is sent when: drawn from a mix of statements, or taken from a capture file. All is decided before the first
//! statement is sent.
use super::arguments::LoadArguments;
use crate::error::Error;
use fastrand::Rng;
use std::path::Path;
use std::time::Duration;

/// A statement with its intended time.
pub(super) struct ScheduledStatement {
    /// When it is to be sent, after the begin of the load.
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

/// Draws statements at random times, with exponentially distributed gaps.
pub(super) fn draw(arguments: &LoadArguments) -> Result<Vec<ScheduledStatement>, Error> {
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
        let template = draw_template(&mut rng, &mix, total_share);
        let session = format!("s{}", rng.u64(0..arguments.sessions.max(1)));
        let number = (schedule.len() + 1).to_string();
        let sql = template.replace("{s}", &session).replace("{n}", &number);
        schedule.push(ScheduledStatement { due: Duration::from_secs_f64(seconds), sql });
    }
}

fn draw_template<'a>(rng: &mut Rng, mix: &[MixEntry<'a>], total_share: f64) -> &'a str {
    let mut draw = rng.f64() * total_share;
    let drawn = mix.iter().find(|entry| {
        draw -= entry.share;
        draw < 0.0
    });
    drawn.or(mix.last()).map_or("", |entry| entry.sql)
}

/// The statements of a capture file, with the gaps that they had.
pub(super) fn from_capture(path: &Path, writes: bool) -> Result<Vec<ScheduledStatement>, Error> {
    let file = std::fs::File::open(path).map_err(|source| Error::Read { path: path.into(), source })?;
    let contents = pcap::conversations::read(file);
    contents.read_result.map_err(|source| Error::Capture { path: path.into(), source })?;
    let mut schedule = Vec::new();
    for request in &contents.requests {
        let sql = String::from_utf8_lossy(request.statement.text()).into_owned();
        // Parameters of executions are not sent: only statements that are whole in their text.
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
