//! The module's part of keeping data in its place: requests go by the view of their tenant, and those under way are
//! looked at again when views change. Nothing here is met where no places are kept.
use super::{Due, Known, Module};
use crate::messages::{Final, Incoming};
use crate::views::{Change, Probing};
use crate::wire::Wire;
use decision::{Event, GroupId, MemberId, Outcome, Report, Request, RequestId};
use placement::Refusal;
use std::cmp::Reverse;
use std::sync::Arc;

/// What is kept of a request that goes by a view.
pub(super) struct Placed {
    tenant: Option<Arc<str>>,
    /// As it came, in its own group.
    request: Request,
    /// Where it is asked for.
    asked: GroupId,
    /// An attempt of it may have run.
    ran: bool,
    /// Nothing further goes out, since its place has changed; why, where it has none.
    stopped: Option<Option<Refusal>>,
}

impl<W: Wire> Module<W> {
    /// Where a request is asked for; `Err` where it has no place.
    pub(super) fn place(
        &mut self,
        incoming: &Incoming<W>,
        id: RequestId,
    ) -> Result<Option<Box<Placed>>, Refusal> {
        if self.views.is_none() {
            return Ok(None);
        }
        let Incoming { class, session, group, deadline, token, .. } = *incoming;
        let tenant = incoming.tenant.clone();
        let asked = self.route(tenant.as_deref(), class, group)?;
        let request = Request { id, class, tenant: 0, session, group, deadline, token };
        Ok(Some(Box::new(Placed { tenant, request, asked, ran: false, stopped: None })))
    }

    fn route(&mut self, tenant: Option<&str>, class: usize, group: GroupId) -> Result<GroupId, Refusal> {
        let now = self.clock.now();
        let Some(views) = &mut self.views else { return Ok(group) };
        let (to, change) = views.route(now, tenant, class, group, &mut self.next_member);
        self.follow(change);
        if let Err(Refusal::PrimaryOutside { group, .. }) = &to {
            self.scout(*group);
        }
        to
    }

    /// Tells the decisions what has changed, and takes back what may not go out any more.
    pub(super) fn follow(&mut self, change: Change) {
        let Change { entries, left, recheck, timer } = change;
        if let Some(at) = timer {
            self.timers.push(Reverse((at, Due::Places)));
        }
        self.withdraw(&left);
        if !entries.is_empty() {
            self.feed(Event::Members { complete: false, entries: entries.into_values().collect() });
        }
        if recheck {
            self.recheck();
        }
    }

    /// What is not begun at these members does not begin.
    pub(super) fn withdraw(&self, left: &[MemberId]) {
        if left.is_empty() {
            return;
        }
        let out = self.requests.values().flat_map(|k| &k.out);
        out.filter(|o| left.contains(&o.member)).for_each(|o| o.stop.withdraw());
    }

    pub(super) fn instance(&self, member: MemberId) -> MemberId {
        self.views.as_ref().map_or(member, |v| v.instance(member))
    }

    pub(super) fn tell_places(&mut self, event: placement::Event) {
        let now = self.clock.now();
        let Some(views) = &mut self.views else { return };
        let change = views.handle(now, event, &mut self.next_member);
        self.follow(change);
    }

    /// What an answer or a probe says of a member's role, and whether it could be reached.
    pub(super) fn learned(&mut self, from: MemberId, outcome: Outcome, said: &Report, note: bool) {
        let now = self.clock.now();
        let Some(views) = &mut self.views else { return };
        let role = said.primary.map(|primary| (primary, note));
        let (change, told) = views.learned(now, from, outcome, role, &mut self.next_member);
        self.follow(change);
        // A probe tells all numbers by itself.
        for member in told.into_iter().filter(|_| note) {
            self.feed(Event::Probed { member, outcome, report: *said });
        }
    }

    // ---- requests under way ----

    fn recheck(&mut self) {
        let open = self.requests.iter().filter(|(_, k)| k.answer.is_some() && k.placed.is_some());
        let mut open: Vec<RequestId> = open.map(|(id, _)| *id).collect();
        open.sort_unstable();
        open.into_iter().for_each(|id| self.recheck_one(id));
    }

    /// Whether a request is still asked for where it has its place.
    pub(super) fn recheck_one(&mut self, id: RequestId) {
        let Some(Known { placed: Some(p), answer: Some(_), .. }) = self.requests.get(&id) else { return };
        if p.stopped.is_some() {
            return self.end_stopped(id);
        }
        let (tenant, asked, class, group) = (p.tenant.clone(), p.asked, p.request.class, p.request.group);
        let to = self.route(tenant.as_deref(), class, group);
        if to == Ok(asked) {
            return;
        }
        // What route has told of meanwhile may have come back here for the same request.
        let Some(k) = self.requests.get_mut(&id) else { return };
        let Some(p) = k.placed.as_mut().filter(|p| k.answer.is_some() && p.asked == asked) else { return };
        if k.sent > 0 {
            // Its attempts are numbered: it can't be asked for anew. Those begun end by themselves.
            if p.stopped.is_none() {
                p.stopped = Some(to.err());
                self.feed(Event::Streaming { request: id });
                self.withdraw_of(id);
                self.end_stopped(id);
            }
            return;
        }
        match to {
            Err(why) => {
                self.feed(Event::ClientLeft { request: id });
                self.answer(id, Final::NoPlace(why));
            }
            Ok(to) => {
                p.asked = to;
                let request = Request { group: to, ..p.request.clone() };
                self.feed(Event::ClientLeft { request: id });
                self.feed(Event::Request(request));
            }
        }
    }

    /// What is not begun of a request does not begin.
    pub(super) fn withdraw_of(&self, id: RequestId) {
        self.requests.get(&id).iter().flat_map(|k| &k.out).for_each(|o| o.stop.withdraw());
    }

    /// The final answer of a request whose place has changed under way, once nothing of it is out.
    fn end_stopped(&mut self, id: RequestId) {
        let Some(k) = self.requests.get_mut(&id).filter(|k| k.out.is_empty()) else { return };
        let Some(p) = &mut k.placed else { return };
        let (ran, last) = (p.ran, k.last);
        let answer = match p.stopped.as_mut().map(Option::take) {
            None => return,
            Some(_) if ran => Final::Failed(last),
            Some(Some(why)) => Final::NoPlace(why),
            Some(None) => Final::Refused(None),
        };
        self.answer(id, answer);
    }

    /// After an attempt of a request has ended.
    pub(super) fn attempt_ended(&mut self, id: RequestId) {
        if self.views.is_some() && self.requests.get(&id).is_some_and(|k| k.out.is_empty()) {
            self.recheck_one(id);
        }
    }

    // ---- probes ----

    pub(super) fn probe(&mut self, member: MemberId) {
        let now = self.clock.now();
        let Some(views) = &mut self.views else { return self.begin_probe(member) };
        match views.probe(member, now) {
            Probing::Begin(instance) => self.begin_probe(instance),
            Probing::At(instance, at) => self.timers.push(Reverse((at, Due::Probe(instance)))),
            Probing::UnderWay => {}
        }
        if let Some(group) = self.views.as_ref().and_then(|v| v.primary_unknown(member)) {
            self.scout(group);
        }
    }

    fn scout(&mut self, group: GroupId) {
        let now = self.clock.now();
        let asked = self.views.as_mut().map(|v| v.scout(group, now)).unwrap_or_default();
        asked.into_iter().for_each(|instance| self.begin_probe(instance));
    }

    /// The probe of an instance has ended, and so it has for all that wait for it.
    pub(super) fn probed(&mut self, instance: MemberId, outcome: Outcome, report: Report) {
        self.learned(instance, outcome, &report, false);
        let now = self.clock.now();
        let told = match &mut self.views {
            None => return self.feed(Event::Probed { member: instance, outcome, report }),
            Some(views) => views.probed(instance, now, outcome, report),
        };
        told.into_iter().for_each(|member| self.feed(Event::Probed { member, outcome, report }));
    }
}

impl Placed {
    /// Where it is asked for.
    pub(super) fn asked(&self) -> GroupId {
        self.asked
    }

    /// An attempt has ended so.
    pub(super) fn ended(&mut self, outcome: Outcome) {
        self.ran |= !outcome.never_ran();
    }
}
