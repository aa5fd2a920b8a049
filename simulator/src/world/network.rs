//! The network: what a way takes, who is apart, and what routers tell each other.
use super::*;

impl World<'_> {
    pub(super) fn apart(&self, a: usize, b: usize) -> bool {
        self.cut.is_some_and(|hall| a != b && (a == hall || b == hall))
    }

    pub(super) fn way(&mut self, a: usize, b: usize) -> i64 {
        let ms = if a == b { self.plan.near_ms } else { self.plan.far_ms };
        (ms * 1000.0 * (0.9 + 0.2 * self.rng.f64())) as i64
    }

    /// One router tells another something, in order: the way between two takes the same time always.
    pub(super) fn tell(&mut self, from: usize, to: usize, message: Peer) {
        let (a, b) = (self.routers[from].hall, self.routers[to].hall);
        let ms = if a == b { self.plan.near_ms } else { self.plan.far_ms };
        let epochs = (self.routers[from].epoch, self.routers[to].epoch);
        self.after(us(ms), Ev::Peer { from, to, epochs, message });
    }

    pub(super) fn peer(&mut self, from: usize, to: usize, epochs: (u32, u32), message: Peer) {
        let (there, back) = (self.linked.contains(&(from, to)), self.linked.contains(&(to, from)));
        if !self.lives(to, epochs.1) || self.routers[from].epoch != epochs.0 {
            return;
        }
        let peer = from as Instance;
        match message {
            Peer::Hello(incarnation) if there => {
                self.session(to, SessionEvent::Introduced(peer, incarnation))
            }
            Peer::Push(push) if there => self.session(to, SessionEvent::Pushed(peer, push)),
            Peer::Welcome(incarnation, holds) if back => {
                self.session(to, SessionEvent::Accepted { peer, incarnation, holds });
            }
            Peer::Confirm(seq) if back => self.session(to, SessionEvent::Confirmed(peer, seq)),
            Peer::Ask(at) if back => self.session(to, SessionEvent::Asked(peer, at)),
            _ => {}
        }
    }

    pub(super) fn unlink(&mut self, from: usize, to: usize) {
        if self.linked.remove(&(from, to)) {
            if self.routers[to].up {
                self.session(to, SessionEvent::Left(from as Instance));
            }
            if self.routers[from].up {
                self.session(from, SessionEvent::Unlinked(to as Instance));
            }
        }
    }
}
