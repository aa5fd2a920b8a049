//! What an admission costs, by tenants of the configuration: admitted, refused, and without a quota.
use criterion::{Criterion, criterion_group, criterion_main};
use decision::Time;
use quotas::{Action, Allocator, Event, QuotaClient, QuotaClientSettings, Settings};
use settings::fleet::{Fleet, OnLoss, Quota, Tenant};
use std::hint::black_box;
use std::sync::Arc;

fn fleet(tenants: usize) -> Arc<Fleet> {
    let tenant = |t: usize| {
        let rate = if t == 0 { 1e9 } else { 0.0 };
        let quota = (t != 1).then_some(Quota { rate, burst: u32::MAX, on_loss: OnLoss::Closed });
        (format!("tenant-{t:04}"), Tenant { quota, ..Tenant::default() })
    };
    let tenants = (0..tenants).map(tenant).collect();
    Arc::new(Fleet { routers: 1, unnamed: "tenant-0000".into(), tenants, ..Fleet::default() })
}

fn admit(c: &mut Criterion) {
    for tenants in [10, 1_000] {
        let fleet = fleet(tenants);
        let mut allocator = Allocator::new(Settings::default());
        let mut pocket = QuotaClient::new(QuotaClientSettings {
            router: "r".into(),
            incarnation: 1,
            slot: None,
            settings: Settings { ttl: 3_600_000_000, ..Settings::default() },
            seed: 1,
        });
        let mut actions = Vec::new();
        allocator.handle(Time(0), Event::BecameLeader { term: 1 }, &mut actions);
        allocator.handle(Time(0), Event::Config { version: 1, fleet: fleet.clone() }, &mut actions);
        pocket.apply_config(Time(0), 1, &fleet);
        let begin = Time(10_000_000);
        let report = pocket.report(begin);
        allocator.handle(begin, Event::Report { connection: 0, report }, &mut actions);
        for Action::Respond { response: answer, .. } in actions {
            pocket.handle_response(begin, answer);
        }
        let mut now = begin.0;
        for (what, name) in
            [("admitted", "tenant-0000"), ("unbounded", "tenant-0001"), ("refused", "tenant-0002")]
        {
            c.bench_function(&format!("{what}, {tenants} tenants"), |b| {
                b.iter(|| {
                    now += 1;
                    pocket.admit(Time(black_box(now)), black_box(name))
                })
            });
        }
    }
}

criterion_group!(benches, admit);
criterion_main!(benches);
