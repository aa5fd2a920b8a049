//! Time to admit or shed one request, by the number of tenants in the configuration.
use criterion::{Criterion, criterion_group, criterion_main};
use decision::Time;
use quotas::{Action, Allocator, Event, QuotaClient, QuotaClientSettings, Settings};
use settings::fleet::{Fleet, OnLoss, Quota, Tenant};
use std::hint::black_box;
use std::sync::Arc;

const ADMITTED: &str = "tenant-0000";
const UNLIMITED: &str = "tenant-0001";
const SHED: &str = "tenant-0002";
/// A time after the allocator's quiet period.
const BEGIN: Time = Time(10_000_000);

/// The first tenant's quota is never exhausted, the second tenant has none, and all other quotas are zero.
fn fleet(tenants: usize) -> Arc<Fleet> {
    let tenant = |i: usize| {
        let rate = if i == 0 { 1e9 } else { 0.0 };
        let quota = (i != 1).then_some(Quota { rate, burst: u32::MAX, on_loss: OnLoss::Closed });
        (format!("tenant-{i:04}"), Tenant { quota, ..Tenant::default() })
    };
    let tenants = (0..tenants).map(tenant).collect();
    Arc::new(Fleet { max_routers: 1, default_tenant: ADMITTED.into(), tenants, ..Fleet::default() })
}

/// A client with its reserved shares of all quotas, which are valid for an hour.
fn client(fleet: &Arc<Fleet>) -> QuotaClient {
    let mut client = QuotaClient::new(QuotaClientSettings {
        router: "r".into(),
        incarnation: 1,
        slot: None,
        settings: Settings { ttl: 3_600_000_000, ..Settings::default() },
        seed: 1,
    });
    client.apply_config(Time(0), 1, fleet);
    let mut allocator = Allocator::new(Settings::default());
    let mut actions = Vec::new();
    allocator.handle(Time(0), Event::BecameLeader { term: 1 }, &mut actions);
    allocator.handle(Time(0), Event::Config { version: 1, fleet: fleet.clone() }, &mut actions);
    let report = client.report(BEGIN);
    allocator.handle(BEGIN, Event::Report { connection: 0, report }, &mut actions);
    for Action::Respond { response, .. } in actions {
        client.handle_response(BEGIN, response);
    }
    client
}

fn admit(criterion: &mut Criterion) {
    for tenants in [10, 1_000] {
        let mut client = client(&fleet(tenants));
        let mut now = BEGIN.0;
        for (outcome, tenant) in [("admitted", ADMITTED), ("unbounded", UNLIMITED), ("refused", SHED)] {
            criterion.bench_function(&format!("{outcome}, {tenants} tenants"), |bencher| {
                bencher.iter(|| {
                    now += 1;
                    client.admit(Time(black_box(now)), black_box(tenant))
                });
            });
        }
    }
}

criterion_group!(benches, admit);
criterion_main!(benches);
