//! Fleet-wide quotas for tenants: two state machines and the messages between them.
//!
//! Each router has a [`QuotaClient`], which admits or sheds requests using local token buckets, without I/O.
//! The leader of the store has the [`Allocator`], which grants the clients shares of each tenant's rate and
//! burst. A client sends a [`Report`] every 200 ms and receives a [`GrantResponse`]; neither is stored on
//! disk.
//!
//! # The bound
//!
//! For each tenant and in every time window, all clients together admit at most `rate * window + burst`
//! requests, with the largest rate and burst in force in the window. This holds even if messages are lost,
//! delayed or duplicated, processes are paused or killed, or leaders change. It rests on these rules:
//!
//! - A client refills a bucket at its grant's rate and never above the grant's capacity. Every bucket starts
//!   empty, and tokens above a lowered capacity are discarded. So the tokens spent in a window are at most
//!   the capacities at its start plus what the rates produce during it.
//! - For each router the allocator counts the larger of what the router has acknowledged to hold and what the
//!   last response may have changed it to, until the router's grants have expired. It raises a grant only by
//!   what the sum of these leaves of the quota.
//! - A grant's lifetime counts from before the report was sent at the router ([`QuotaClient::report`]), and
//!   from the response at the allocator. The router subtracts [`Settings::max_clock_drift`] and the allocator
//!   adds it, so each clock may be wrong by that much.
//! - A client has one exchange open at a time. A report states what the client holds, so the allocator learns
//!   which earlier responses were applied. A response is ignored if it belongs to an exchange that is not
//!   open, is from an older term, or would renew grants that have expired in the meantime.
//! - A new leader grants nothing new for one grant lifetime. Until then it accepts what a router reports to
//!   hold, because an earlier leader has counted it, and renews or lowers it.
//! - A configuration change takes two steps. First each router lowers its reserved shares to the smaller of
//!   the old and the new. Nothing is raised until all routers have acknowledged this or their grants have
//!   expired.
//!
//! # Distribution
//!
//! A quota with [`OnLoss::Share`](::settings::fleet::OnLoss::Share) reserves a part of itself for fixed
//! shares, one for each slot that a router may have in its settings. A router uses its fixed share without a
//! grant, so also while the store is unavailable. The rest of the quota is granted as follows.
//!
//! Each router has a reserved share of every quota: an equal part ([`ReservedShare`]). A tenant with demand
//! beyond it at some router is allocated by demand. If this demand can be met while the other routers retain
//! their reserved shares, they do. Otherwise the reserved shares of routers without demand are reclaimed in
//! eighths, as many as are needed, and the quota is divided max-min fairly among the routers with demand.
//! Each router retains the capacity of its reserved share, except for what routers with rates far above their
//! reserved shares need. If the burst has a token for each router, each retains at least one. Once no router
//! has demand beyond its reserved share, the reserved shares are restored.
//!
//! # Demand
//!
//! A client averages requests over up to 8 s, and starts over when demand changes by more than random
//! fluctuation explains. It reports demand beyond a reserved share only if the excess is more than random.
//! The allocator considers sparse demand ended when so long a gap between requests is unlikely, or when more
//! clients have such gaps at the same time than random fluctuation explains.
//!
//! # Whole tokens
//!
//! A request takes a whole token. If the granted burst has fewer tokens than there are routers, only as many
//! routers have a reserved share, and if more routers have demand than there are tokens, the tokens rotate
//! among them. A fixed share of [`OnLoss::Share`](::settings::fleet::OnLoss::Share) with a capacity below one
//! token never admits a request: `burst` times the share must be at least the number of routers. A bucket
//! with a capacity of exactly one token discards what is produced while it waits for a request: with a
//! `burst` close to the number of routers with demand, only demand far above the quota uses the quota up.
//!
//! # Limits
//!
//! The fixed share of `on_loss` never expires: a router without contact keeps using that of the last version
//! that it received. A router that has never received a tenant's quota does not limit that tenant.
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
