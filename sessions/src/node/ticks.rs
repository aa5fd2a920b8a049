//! Sends periodic ticks to the state machine, and logs whether peers are up to date.
use super::sessions::Sessions;
use super::state::State;
use crate::machine::Event;

/// Number of ticks per lease duration.
const TICKS_PER_LEASE: u32 = 10;

impl Sessions {
    /// Sends ticks to the state machine until this instance stops.
    pub(super) fn run_ticks(&self) {
        let interval = self.settings.lease / TICKS_PER_LEASE;
        while !self.is_stopping() {
            std::thread::sleep(interval);
            let mut state = self.lock();
            self.handle_locked(&mut state, Event::Tick);
            self.log_peers_up_to_date(&mut state);
        }
    }

    /// Logs when all peers become up to date, or stop being so.
    fn log_peers_up_to_date(&self, state: &mut State) {
        let now = self.clock.now();
        let up_to_date = state.machine.peers_up_to_date(now) && !state.machine.floor_pending();
        if std::mem::replace(&mut state.peers_up_to_date, up_to_date) == up_to_date {
            return;
        }
        if up_to_date {
            tracing::info!("session peers up to date");
            return;
        }
        let lagging: Vec<String> = (state.machine.peer_statuses(now).iter())
            .filter(|peer| !peer.up_to_date)
            .map(|peer| peer.instance.to_string())
            .collect();
        let peers = lagging.join(", ");
        tracing::warn!(%peers, "session peers not up to date, reads of named sessions must reflect all commits");
    }
}
