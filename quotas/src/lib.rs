//! Tenants' quotas for a whole fleet of routers: two state machines and the messages between them.
//!
//! Each router has a [`QuotaClient`], which admits or sheds requests from local token buckets, without I/O.
//! One node, the leader of the store, has the [`Allocator`], which grants the clients shares of each tenant's rate and
//! burst. A client sends a [`Report`] every 200 ms and gets a [`GrantResponse`]; nothing of it is stored on disk.
//!
//! # The bound
//!
//! For each tenant and over every window, all clients together admit at most `rate * window + burst` requests, with the
//! largest rate and burst in force in the window, whatever messages are lost, delayed or duplicated and whatever
//! processes are paused, killed or elected. It rests on these rules:
//!
//! - A client refills a bucket at its grant's rate and never above the grant's capacity. Every bucket begins empty, and
//!   tokens above a lowered capacity are discarded. So a window spends at most the capacities at its begin and what the
//!   rates produce during it.
//! - For each router the allocator counts the larger of what the router is known to hold and what the last response may
//!   have made of it, until the router's grants have expired. It raises a grant only by what the sum of these leaves.
//! - A grant's lifetime counts at the router from before its report was sent ([`QuotaClient::report`]) and at the
//!   allocator from the response. The router subtracts [`Settings::max_clock_drift`], the allocator adds it, so each
//!   clock may be wrong by that much.
//! - A client has one exchange open at a time. A report states what the client holds, which settles what became of
//!   earlier responses. A response is ignored if it belongs to another exchange than the open one, is from an older
//!   term, or would renew grants that have expired meanwhile.
//! - A new leader grants nothing new for one grant lifetime. It accepts what a router says it holds, which an earlier
//!   leader had counted, and renews or lowers it.
//! - A change of the configuration takes two steps. First each router lowers its reserved shares to the smaller of the
//!   old and the new. Only after all routers have acknowledged this, or their grants have expired, is anything raised.
//!
//! # Distribution
//!
//! A quota with [`OnLoss::Share`](::settings::fleet::OnLoss::Share) first gives a part of itself to fixed shares, one for
//! each slot that a router may have in its settings. A router uses its fixed share without a grant, so also while the store
//! is lost. The rest of the quota is granted as follows.
//!
//! Each router has a reserved share of every quota: an equal part ([`ReservedShare`]). A tenant with demand beyond it at
//! some router is allocated by demand. Where what such routers want fits beside the reserved shares of the others, those
//! stay. Otherwise the reserved shares of routers without demand are reclaimed in eighths, as many as are needed, and the
//! quota is shared max-min fair among the routers with demand. Each router keeps the capacity of its reserved share except for what others need for rates far
//! above theirs. Where the burst has a token for each router, each keeps at least one. Once no router has demand beyond its
//! reserved share, the reserved shares return.
//!
//! # Demand
//!
//! A client counts requests over up to 8 s, and starts over where demand changes by more than chance explains. It reports
//! demand beyond a reserved share only where the excess is more than chance. Sparse demand ends for the allocator when
//! its silence is unlikely, or when more clients are silent at a time than chance explains.
//!
//! # Whole tokens
//!
//! A request takes a whole token. Where the granted burst has fewer tokens than routers, only as many routers have a
//! reserved share, and among more routers with demand than tokens the tokens rotate. A fixed share of
//! [`OnLoss::Share`](::settings::fleet::OnLoss::Share) whose capacity is below one token never admits: `burst` times the
//! share must be at least the number of routers. A capacity of exactly one token loses what is produced while it waits
//! for a request: with a `burst` close to the number of routers with demand, only demand far above the quota uses it up.
//!
//! # Limits
//!
//! The fixed share of `on_loss` never expires; a router without contact keeps that of the last version it knew. A router
//! that has never learned that a tenant got a quota does not limit it.
mod allocator;
mod client;
mod equal_shares;
mod grant;
mod messages;
mod settings;
mod time;
mod validate;

pub use self::settings::{InjectedFault, InvalidSettings, Settings};
pub use allocator::{Action, Allocator, AllocatorMetrics, Event};
pub use client::{Admission, ClientMetrics, QuotaClient, QuotaClientSettings, TenantMetrics};
pub use grant::{Grant, MICROTOKENS_PER_TOKEN};
pub use messages::{
    GrantChange, GrantResponse, HeldGrants, Report, ReservedShare, ResponseBody, TenantDemand, TenantGrant,
};
pub use validate::InvalidMessage;
