//! etcd's watch: a streaming response with one JSON message per line.
use super::Etcd;
use super::wire::{change, elements, encoded, number, prefix_end};
use crate::RequestError;
use crate::http::LineStream;
use crate::machine::{Change, Revision};
use serde_json::{Value, json};
use std::io;
use std::time::Duration;

/// Lower bound for the timeout of the response head, even if `max_silence` is shorter.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// An event of a watch.
pub enum WatchEvent {
    /// Changes of keys, in order.
    Changes(Vec<Change>),
    /// All changes up to this revision have been delivered.
    Progress(Revision),
    /// Nothing was received for `max_silence`.
    Silence,
}

impl Etcd {
    /// Watches a prefix from a revision on, until the watch fails or `handle` returns `false`. If nothing is
    /// received for `max_silence`, `handle` is called with [`WatchEvent::Silence`], and the watch continues.
    ///
    /// # Errors
    /// If the watch failed, was cancelled or rejected, or the revision has been compacted.
    pub fn watch(
        &mut self,
        prefix: &str,
        from: Revision,
        max_silence: Duration,
        mut handle: impl FnMut(WatchEvent) -> bool,
    ) -> Result<(), RequestError> {
        let mut lines = self.open_watch(prefix, from, max_silence)?;
        let mut line = Vec::new();
        loop {
            let event = match lines.read_line(&mut line) {
                Ok(true) => parse(&line)?,
                Ok(false) => return Err(RequestError::WatchEnded),
                // The stream buffers the part of a line that was received before the timeout.
                Err(e) if is_timeout(&e) => Some(WatchEvent::Silence),
                Err(e) => return Err(e.into()),
            };
            if event.is_some_and(|event| !handle(event)) {
                return Ok(());
            }
        }
    }

    fn open_watch(
        &mut self,
        prefix: &str,
        from: Revision,
        max_silence: Duration,
    ) -> Result<LineStream, RequestError> {
        self.log_in_if_needed()?;
        let create = json!({"create_request": {
            "key": encoded(prefix),
            "range_end": encoded(prefix_end(prefix)),
            "start_revision": from.to_string(),
            "progress_notify": true,
        }});
        let head_timeout = max_silence.max(MIN_HEAD_TIMEOUT);
        let body = create.to_string();
        let lines = self.http_client.stream_lines("/v3/watch", body.as_bytes(), head_timeout, max_silence)?;
        if lines.code != 200 {
            // The token may have expired: the next request logs in again.
            self.http_client.auth_header = None;
            return Err(RequestError::Rejected { status: lines.code, message: "watch not opened".into() });
        }
        Ok(lines)
    }
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Parses a line; `None` for empty lines and the confirmation that the watch was created.
fn parse(line: &[u8]) -> Result<Option<WatchEvent>, RequestError> {
    if line.trim_ascii().is_empty() {
        return Ok(None);
    }
    let message: Value = serde_json::from_slice(line)
        .map_err(|e| RequestError::InvalidResponse { reason: format!("watch message is not JSON: {e}") })?;
    let result = &message["result"];
    if number(result, "compact_revision") > 0 {
        return Err(RequestError::Compacted);
    }
    if result["canceled"] == true || message.get("error").is_some() {
        let reason = result["cancel_reason"].as_str().unwrap_or("the watch was cancelled");
        return Err(if reason.contains("compacted") {
            RequestError::Compacted
        } else {
            RequestError::InvalidResponse { reason: reason.into() }
        });
    }
    let events = elements(result, "events");
    if !events.is_empty() {
        let changes = events.iter().map(change).collect::<Result<_, RequestError>>()?;
        return Ok(Some(WatchEvent::Changes(changes)));
    }
    let is_confirmation = result["created"] == true;
    Ok((!is_confirmation).then(|| WatchEvent::Progress(number(&result["header"], "revision"))))
}
