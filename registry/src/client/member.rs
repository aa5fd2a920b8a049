//! One member of the registry, in the dialect that the settings name.
use crate::consul::Consul;
use crate::etcd::{ClusterPosition, Etcd};
use crate::http::{Bounds, Member};
use crate::machine::{EndpointIndex, Item, Revision};
use crate::tls::Tls;
use crate::{Error, RequestError};
use settings::Limits;
use settings::operator::{RegistryConfig as Settings, RegistryKind};
use std::sync::Arc;
use std::time::Duration;

/// Connections to the registry are given at least this long, whatever the limit for connections to nodes.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Leases have whole seconds, one at least.
const MIN_LEASE_S: u64 = 1;
/// Consul accepts no shorter sessions.
const MIN_CONSUL_SESSION_S: u64 = 10;

/// Makes clients of the registry's members.
#[derive(Clone)]
pub struct MemberConnector {
    settings: Settings,
    tls: Option<Arc<Tls>>,
    bounds: Bounds,
    /// Keys in one page of a read from etcd.
    page: usize,
    /// How long Consul may wait with its answer for a change.
    pub(super) query_wait: Duration,
    /// How long a watch may bring nothing before it is checked.
    pub(super) max_quiet: Duration,
}

impl MemberConnector {
    /// Reads the files that TLS needs.
    ///
    /// # Errors
    /// A file for TLS can't be used.
    pub fn new(settings: &Settings, limits: &Limits) -> Result<MemberConnector, Error> {
        Ok(MemberConnector {
            settings: settings.clone(),
            tls: settings.tls.clone().map(Tls::new).transpose()?.map(Arc::new),
            bounds: Bounds {
                connect_timeout: limits.backend_connect_timeout.max(MIN_CONNECT_TIMEOUT),
                read_timeout: limits.registry_read_timeout,
                max_bytes: limits.max_registry_response_bytes,
            },
            page: limits.registry_page_size,
            query_wait: limits.registry_blocking_query_timeout,
            max_quiet: limits.registry_watch_check_delay,
        })
    }

    /// A client of one member; nothing is connected yet.
    ///
    /// # Panics
    /// The settings name fewer members.
    pub fn client_for(&self, endpoint: EndpointIndex) -> MemberClient {
        let mut member = Member::new(self.settings.endpoints[endpoint], self.tls.clone(), self.bounds);
        match self.settings.kind {
            RegistryKind::Etcd => MemberClient::Etcd(Etcd {
                member,
                credentials: self.settings.credentials.clone(),
                page: self.page,
            }),
            RegistryKind::Consul => {
                member.auth_header = self.settings.access_token.clone().map(|t| ("X-Consul-Token", t));
                MemberClient::Consul(Consul { member, service: self.settings.service.clone() })
            }
        }
    }
}

/// A client of one member, by dialect.
pub enum MemberClient {
    /// etcd's.
    Etcd(Etcd),
    /// Consul's.
    Consul(Consul),
}

impl MemberClient {
    /// Everything under a prefix, and the position at which it was read.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn read(&mut self, prefix: &str) -> Result<(ClusterPosition, Vec<Item>), RequestError> {
        match self {
            MemberClient::Etcd(etcd) => etcd.read(prefix),
            MemberClient::Consul(consul) => {
                let (index, mut items) = consul.read(prefix, None)?;
                let (health_index, nodes) = consul.health(prefix, None)?;
                items.extend(nodes);
                Ok((ClusterPosition { cluster: 0, revision: index.max(health_index) }, items))
            }
        }
    }

    /// Sets a key, under a lease where one is named.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn put(&mut self, key: &str, value: &[u8], lease: Option<&str>) -> Result<(), RequestError> {
        match self {
            MemberClient::Etcd(etcd) => etcd.put(key, value, lease).map(|_| ()),
            MemberClient::Consul(consul) => {
                if consul.put(key, value, lease)? {
                    Ok(())
                } else {
                    Err(RequestError::Rejected {
                        status: 200,
                        message: "another session holds the key".into(),
                    })
                }
            }
        }
    }

    /// Sets a key if it has not changed since this revision; `false` where it has.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn put_if(&mut self, key: &str, value: &[u8], modified: Revision) -> Result<bool, RequestError> {
        match self {
            MemberClient::Etcd(etcd) => etcd.put_if(key, value, modified),
            MemberClient::Consul(consul) => consul.put_if(key, value, modified),
        }
    }

    pub(super) fn grant_lease(&mut self, ttl: Duration) -> Result<String, RequestError> {
        match self {
            MemberClient::Etcd(etcd) => etcd.grant_lease(ttl.as_secs().max(MIN_LEASE_S)),
            MemberClient::Consul(consul) => consul.create_session(ttl.as_secs().max(MIN_CONSUL_SESSION_S)),
        }
    }

    /// Renews a lease; `false` where it is lost.
    pub(super) fn keep_alive(&mut self, lease: &str) -> Result<bool, RequestError> {
        match self {
            MemberClient::Etcd(etcd) => etcd.keep_alive(lease),
            MemberClient::Consul(consul) => consul.renew_session(lease),
        }
    }

    pub(super) fn revoke_lease(&mut self, lease: &str) -> Result<(), RequestError> {
        match self {
            MemberClient::Etcd(etcd) => etcd.revoke_lease(lease),
            MemberClient::Consul(consul) => consul.destroy_session(lease),
        }
    }
}
