//! Admission of single requests, and when a shed client should retry.
use super::QuotaClient;
use super::bucket::PICOTOKENS_PER_TOKEN;
use crate::grant::{Grant, MICROTOKENS_PER_TOKEN};
use decision::{Micros, Time};
use rand::RngExt;

/// Whether a request may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may; a token is spent.
    Admitted,
    /// Its tenant is over its quota at this router.
    Shed {
        /// When a token is likely. Never 0, and spread by chance, so that clients do not return in step.
        retry_after: Micros,
    },
}

impl QuotaClient {
    /// Admits or sheds one request of `tenant`; an unknown name counts as the configuration's `unnamed`. `now` must have
    /// been read for this request: nothing is admitted by a grant that has expired. Does not allocate.
    pub fn admit(&mut self, now: Time, tenant: &str) -> Admission {
        self.raise_fixed_shares_if_due(now);
        let Some(index) = self.index.get(tenant).copied().or(self.unnamed) else {
            return Admission::Admitted;
        };
        let grants_valid = self.grants_valid(now);
        let interval = self.window.current();
        let tenant = &mut self.tenants[index as usize];
        if tenant.shares.is_none() {
            tenant.admitted += 1;
            return Admission::Admitted;
        }
        tenant.request_counts[interval] = tenant.request_counts[interval].saturating_add(1);
        if !tenant.active {
            tenant.active = true;
            self.active.push(index);
        }
        if tenant.try_take(now, grants_valid) {
            tenant.admitted += 1;
            return Admission::Admitted;
        }
        tenant.shed += 1;
        tenant.shed_since_report = true;
        Admission::Shed { retry_after: self.retry_after(index, grants_valid) }
    }

    /// When a token is likely, and up to as long again by chance.
    fn retry_after(&mut self, index: u32, grants_valid: bool) -> Micros {
        let tenant = &self.tenants[index as usize];
        let quota = tenant.shares.map_or(Grant::NONE, |shares| shares.grantable.saturating_add(shares.fixed));
        let duration = if quota.rate == 0 || quota.capacity < MICROTOKENS_PER_TOKEN {
            self.settings.zero_quota_retry_after
        } else if let Some(wait) = self.token_wait(index, grants_valid) {
            (wait.min(self.settings.zero_quota_retry_after as u128) as Micros)
                .max(self.settings.min_retry_after)
        } else {
            self.early_report_wanted |= tenant.reported_demand == 0 && !self.released;
            self.settings.no_token_retry_after
        };
        duration + self.random.random_range(0..=duration)
    }

    /// The time in which the buckets produce a token, and those for half of the requests of this interval before it;
    /// `None` where no bucket ever holds a whole token.
    fn token_wait(&self, index: u32, grants_valid: bool) -> Option<u128> {
        let tenant = &self.tenants[index as usize];
        let granted = grants_valid.then_some(&tenant.granted_bucket);
        let buckets = [granted, Some(&tenant.fixed_bucket)].into_iter().flatten();
        let useful = buckets.filter_map(|bucket| Some((bucket.useful_rate()?, bucket.deficit())));
        let (mut rate, mut deficit) = (0, PICOTOKENS_PER_TOKEN);
        for (bucket_rate, bucket_deficit) in useful {
            rate += u128::from(bucket_rate);
            deficit = deficit.min(bucket_deficit);
        }
        let requests = u128::from(tenant.request_counts[self.window.current()]);
        let queued = PICOTOKENS_PER_TOKEN * requests / 2;
        (deficit + queued).checked_div(rate)
    }
}
