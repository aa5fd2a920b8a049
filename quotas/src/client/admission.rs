//! Admission of requests, and the retry time of shed ones.
use super::QuotaClient;
use super::bucket::PICOTOKENS_PER_TOKEN;
use crate::grant::{Grant, MICROTOKENS_PER_TOKEN};
use decision::{Micros, Time};
use rand::RngExt;

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted. If its tenant has a quota, a token has been taken.
    Admitted,
    /// The tenant has no token left at this router.
    Shed {
        /// After how long to retry: when a token is likely to be available. Never 0, and randomised so that
        /// clients do not retry at the same time.
        retry_after: Micros,
    },
}

impl QuotaClient {
    /// Admits or sheds one request of `tenant`; an unknown name counts for the configuration's default tenant
    /// (`unnamed`). `now` must be read for this request, because grants are checked for expiry against it.
    /// Does not allocate memory.
    pub fn admit(&mut self, now: Time, tenant: &str) -> Admission {
        self.raise_fixed_shares_if_due(now);
        let Some(index) = self.index.get(tenant).copied().or(self.default_tenant) else {
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

    /// The time until a token is likely to be available, plus a random part of up to the same length.
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

    /// The time in which the buckets produce one token and the tokens for half of this interval's requests,
    /// which compete for them; `None` if no bucket ever holds a whole token.
    fn token_wait(&self, index: u32, grants_valid: bool) -> Option<u128> {
        let tenant = &self.tenants[index as usize];
        let granted = grants_valid.then_some(&tenant.granted_bucket);
        let buckets = [granted, Some(&tenant.fixed_bucket)].into_iter().flatten();
        let refilling = buckets.filter_map(|bucket| Some((bucket.useful_rate()?, bucket.deficit())));
        let (mut rate, mut deficit) = (0, PICOTOKENS_PER_TOKEN);
        for (bucket_rate, bucket_deficit) in refilling {
            rate += u128::from(bucket_rate);
            deficit = deficit.min(bucket_deficit);
        }
        let requests = u128::from(tenant.request_counts[self.window.current()]);
        let competing = PICOTOKENS_PER_TOKEN * requests / 2;
        (deficit + competing).checked_div(rate)
    }
}
