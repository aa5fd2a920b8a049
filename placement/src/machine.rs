//! The machine: what it is told of rules and members, and the views that follow from it.
use crate::rules::{Boundary, BoundaryId, Rules};
use crate::{Action, Event, Member, News, Refusal, Settings};
use decision::{GroupId, MemberState, Time};
use settings::fleet::{Fleet, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Views are numbered from here on: no request may name such a group.
pub const FIRST_VIEW: u32 = 1 << 31;

#[derive(Debug)]
struct Known {
    group: GroupId,
    site: Option<Arc<str>>,
    /// Its site has changed: it is nowhere until then.
    settles: Option<Time>,
    state: MemberState,
    /// When it left the list: its site is remembered for as long as a change of it has to be noticed.
    left: Option<Time>,
    listed_primary: bool,
    /// It has said that it is no primary, since the list last took it for one.
    denies: bool,
    /// When an answer's note last said so.
    denied: Option<Time>,
    reached: bool,
}

impl Known {
    fn inside(&self, sites: &BTreeSet<String>) -> bool {
        self.settles.is_none() && self.site.as_deref().is_some_and(|s| sites.contains(s))
    }

    fn ready(&self) -> bool {
        self.state == MemberState::Ready
    }
}

#[derive(Debug, Default)]
struct Group {
    members: BTreeSet<Arc<str>>,
    /// Who has said that it is the primary, last.
    said: Option<Arc<str>>,
    /// Who is taken for it.
    primary: Option<Arc<str>>,
}

#[derive(Debug)]
struct View {
    number: GroupId,
    members: BTreeSet<Arc<str>>,
    /// One of them is in service.
    serves: bool,
}

/// Which members a request may meet.
#[derive(Debug)]
pub struct Places {
    settings: Settings,
    rules: Option<Rules>,
    next_boundary: BoundaryId,
    members: BTreeMap<Arc<str>, Known>,
    groups: BTreeMap<GroupId, Group>,
    views: BTreeMap<(GroupId, BoundaryId), View>,
    next_view: u32,
    /// The rules are confirmed until then.
    until: Option<Time>,
    /// They were when this was last looked at: strict views are empty while they are not.
    confirmed: bool,
    /// Times at which something settles or is forgotten.
    due: BTreeSet<Time>,
    timer: Option<Time>,
}

impl Places {
    /// A machine that knows no rules and no members.
    pub fn new(settings: Settings) -> Self {
        Places {
            settings,
            rules: None,
            next_boundary: 0,
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            views: BTreeMap::new(),
            next_view: FIRST_VIEW,
            until: None,
            confirmed: false,
            due: BTreeSet::new(),
            timer: None,
        }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::News(News::Rules { version, fleet }) => self.on_rules(version, &fleet, actions),
            Event::News(News::Confirmed { until }) => self.until = self.until.max(Some(until)),
            Event::Members { complete, entries } => self.on_members(now, complete, entries, actions),
            Event::Said { member, primary, note } => self.on_said(now, &member, primary, note, actions),
            Event::Reach { member, reached } => self.on_reach(&member, reached, actions),
            Event::Timer => {}
        }
        self.tick(now, actions);
    }

    /// Something is due by now: [`Event::Timer`] has to come before anything else does.
    pub fn is_due(&self, now: Time) -> bool {
        self.timer.is_some_and(|t| t <= now)
    }

    /// The group in which a request is to be asked for: its own where its tenant has no rule for its class. A view that
    /// is asked for the first time is shown with `actions`, before the request goes on.
    ///
    /// # Errors
    /// Where the request has no place, and why; nothing of it may leave the router.
    pub fn route(
        &mut self,
        now: Time,
        tenant: Option<&str>,
        class: usize,
        group: GroupId,
        needs_primary: bool,
        actions: &mut Vec<Action>,
    ) -> Result<GroupId, Refusal> {
        if group.0 >= FIRST_VIEW {
            return Err(Refusal::Reserved { group });
        }
        if self.is_due(now) {
            self.tick(now, actions);
        }
        let rules = self.rules.as_ref().ok_or(Refusal::NoRules)?;
        let Some(id) = rules.boundary(tenant, class) else { return Ok(group) };
        let boundary = &rules.boundaries[&id];
        if boundary.strict && self.until.is_none_or(|until| until <= now) {
            return Err(Refusal::Unconfirmed { version: rules.version });
        }
        if !self.views.contains_key(&(group, id)) {
            let number = GroupId(self.next_view);
            self.next_view += 1;
            let view = View { number, members: BTreeSet::new(), serves: false };
            self.views.insert((group, id), view);
            self.fill((group, id), actions);
        }
        let (rules, view) = (self.rules.as_ref().ok_or(Refusal::NoRules)?, &self.views[&(group, id)]);
        let boundary = &rules.boundaries[&id];
        if !boundary.strict {
            return Ok(view.number);
        }
        if !view.serves {
            return Err(Refusal::NoneInside { group, sites: boundary.worded() });
        }
        match self.primary(group) {
            Some(primary) if needs_primary && !view.members.contains(primary) => {
                let m = &self.members[primary];
                let site = match (&m.site, m.settles) {
                    (Some(site), None) => site.to_string(),
                    (Some(site), Some(_)) => format!("{site} (since a moment ago)"),
                    (None, _) => "a site that is not known".into(),
                };
                let (primary, sites) = (primary.clone(), boundary.worded());
                Err(Refusal::PrimaryOutside { group, primary, site, sites })
            }
            _ => Ok(view.number),
        }
    }

    /// Who is taken for a group's primary: the last that has said so, else the listed one.
    pub fn primary(&self, group: GroupId) -> Option<&Arc<str>> {
        self.groups.get(&group)?.primary.as_ref()
    }

    /// The names of a group's members, wherever they are.
    pub fn members(&self, group: GroupId) -> impl Iterator<Item = &Arc<str>> {
        self.groups.get(&group).into_iter().flat_map(|g| &g.members)
    }

    /// All views: their numbers, groups, and members.
    pub fn views(&self) -> impl Iterator<Item = (GroupId, GroupId, &BTreeSet<Arc<str>>)> {
        self.views.iter().map(|((base, _), v)| (v.number, *base, &v.members))
    }

    // ---- rules ----

    fn on_rules(&mut self, version: Version, fleet: &Fleet, actions: &mut Vec<Action>) {
        if self.rules.as_ref().is_some_and(|r| r.version >= version) {
            return;
        }
        let before = self.rules.as_ref();
        let rules = Rules::read(version, fleet, &self.settings.classes, before, &mut self.next_boundary);
        self.views.retain(|(base, id), view| {
            let used = rules.boundaries.contains_key(id);
            if !used {
                actions.push(Action::Show { view: view.number, base: *base, members: Vec::new() });
            }
            used
        });
        self.rules = Some(rules);
        actions.push(Action::Recheck);
    }

    /// What time alone changes.
    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut touched = BTreeSet::new();
        if self.due.first().is_some_and(|t| *t <= now) {
            self.due.retain(|t| *t > now);
            let (hold, groups) = (self.settings.hold, &mut self.groups);
            self.members.retain(|name, m| {
                if m.settles.is_some_and(|t| t <= now) {
                    m.settles = None;
                    touched.insert(m.group);
                }
                let over = m.left.is_some_and(|t| t.0 + hold <= now.0);
                if over && let Some(group) = groups.get_mut(&m.group) {
                    group.members.remove(name);
                }
                !over
            });
            self.groups.retain(|_, g| !g.members.is_empty());
        }
        let confirmed = self.until.is_some_and(|until| now < until);
        if std::mem::replace(&mut self.confirmed, confirmed) != confirmed {
            touched.extend(self.views.keys().map(|(base, _)| *base));
            actions.push(Action::Recheck);
        }
        for group in touched {
            self.touch(group, actions);
        }
        if self.is_due(now) {
            self.timer = None;
        }
        let ends = self.until.filter(|_| confirmed);
        let next = self.due.first().copied().into_iter().chain(ends).min();
        if let Some(at) = next
            && self.timer.is_none_or(|t| at < t)
        {
            self.timer = Some(at);
            actions.push(Action::Timer { at });
        }
    }

    // ---- members ----

    fn on_members(&mut self, now: Time, complete: bool, entries: Vec<Member>, actions: &mut Vec<Action>) {
        let mut touched = BTreeSet::new();
        if complete {
            let named: BTreeSet<&str> = entries.iter().map(|e| &*e.name).collect();
            let due = Time(now.0 + self.settings.hold);
            for (_, m) in self.members.iter_mut().filter(|(n, m)| m.left.is_none() && !named.contains(&***n))
            {
                (m.state, m.left) = (MemberState::Removed, Some(now));
                self.due.insert(due);
                touched.insert(m.group);
            }
        }
        for e in entries {
            touched.insert(e.group);
            self.on_member(now, e, &mut touched);
        }
        for group in touched {
            self.touch(group, actions);
        }
    }

    fn on_member(&mut self, now: Time, e: Member, touched: &mut BTreeSet<GroupId>) {
        let due = Time(now.0 + self.settings.hold);
        let gone = e.state == MemberState::Removed;
        let Some(m) = self.members.get_mut(&e.name) else {
            if gone {
                return;
            }
            self.groups.entry(e.group).or_default().members.insert(e.name.clone());
            let (group, site, state, listed_primary) = (e.group, e.site, e.state, e.primary);
            let (settles, left, denies, denied, reached) = (None, None, false, None, true);
            let known = Known { group, site, settles, state, left, listed_primary, denies, denied, reached };
            self.members.insert(e.name, known);
            return;
        };
        if m.site != e.site {
            (m.site, m.settles) = (e.site, Some(due));
            self.due.insert(due);
        }
        m.state = e.state;
        m.left = gone.then_some(now);
        if gone {
            self.due.insert(due);
        }
        m.denies &= m.listed_primary || !e.primary;
        m.listed_primary = e.primary;
        if m.group != e.group {
            let before = std::mem::replace(&mut m.group, e.group);
            touched.insert(before);
            if let Some(group) = self.groups.get_mut(&before) {
                group.members.remove(&e.name);
            }
            self.groups.entry(e.group).or_default().members.insert(e.name);
        }
    }

    fn on_said(&mut self, now: Time, name: &Arc<str>, primary: bool, note: bool, actions: &mut Vec<Action>) {
        let denial = self.settings.denial;
        let Some(m) = self.members.get_mut(name) else { return };
        let Some(group) = self.groups.get_mut(&m.group) else { return };
        if primary {
            let contradicted = !note && m.denied.is_some_and(|t| now.0 - t.0 < denial);
            if contradicted || !m.ready() {
                return;
            }
            (m.denies, m.reached) = (false, true);
            if group.said.as_ref() == Some(name) {
                return;
            }
            group.said = Some(name.clone());
        } else {
            if note {
                m.denied = Some(now);
            }
            let news = !std::mem::replace(&mut m.denies, true);
            if group.said.as_ref() == Some(name) {
                group.said = None;
            } else if !news {
                return;
            }
        }
        let group = m.group;
        self.touch(group, actions);
    }

    fn on_reach(&mut self, name: &Arc<str>, reached: bool, actions: &mut Vec<Action>) {
        let Some(m) = self.members.get_mut(name) else { return };
        if std::mem::replace(&mut m.reached, reached) == reached {
            return;
        }
        let group = m.group;
        if let Some(g) = self.groups.get_mut(&group).filter(|g| !reached && g.said.as_ref() == Some(name)) {
            g.said = None;
        }
        self.touch(group, actions);
    }

    // ---- views ----

    /// A group's primary and its views, after something of its members has changed.
    fn touch(&mut self, group: GroupId, actions: &mut Vec<Action>) {
        if let Some(g) = self.groups.get_mut(&group) {
            let members = &self.members;
            g.said.take_if(|name| !(g.members.contains(name) && members[name].ready()));
            let listed = |n: &&Arc<str>| {
                let m = &members[*n];
                m.listed_primary && !m.denies && m.reached && m.ready()
            };
            let primary = g.said.clone().or_else(|| g.members.iter().find(listed).cloned());
            if g.primary != primary {
                g.primary = primary;
                actions.push(Action::Recheck);
            }
        }
        let views: Vec<BoundaryId> =
            self.views.range((group, 0)..=(group, BoundaryId::MAX)).map(|((_, id), _)| *id).collect();
        for id in views {
            self.fill((group, id), actions);
        }
    }

    /// Which members a boundary has in a group.
    fn within(&self, group: GroupId, boundary: &Boundary) -> BTreeSet<Arc<str>> {
        let Some(g) = self.groups.get(&group) else { return BTreeSet::new() };
        let here = || g.members.iter().map(|n| (n, &self.members[n])).filter(|(_, m)| m.left.is_none());
        let inside = here().filter(|(_, m)| m.inside(&boundary.sites));
        if boundary.strict {
            return inside.filter(|_| self.confirmed).map(|(n, _)| n.clone()).collect();
        }
        if !inside.clone().any(|(_, m)| m.ready() && m.reached) {
            return here().map(|(n, _)| n.clone()).collect();
        }
        inside.map(|(n, _)| n).chain(&g.primary).cloned().collect()
    }

    fn fill(&mut self, key: (GroupId, BoundaryId), actions: &mut Vec<Action>) {
        let Some(boundary) = self.rules.as_ref().and_then(|r| r.boundaries.get(&key.1)) else { return };
        let members = self.within(key.0, boundary);
        let serves = members.iter().any(|n| self.members[n].ready());
        let Some(view) = self.views.get_mut(&key) else { return };
        if std::mem::replace(&mut view.serves, serves) != serves {
            actions.push(Action::Recheck);
        }
        if view.members != members {
            let names = members.iter().cloned().collect();
            view.members = members;
            actions.push(Action::Show { view: view.number, base: key.0, members: names });
        }
    }
}
