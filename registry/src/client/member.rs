//! A client of one registry member, for etcd or Consul as configured.
use crate::consul::Consul;
use crate::etcd::{ClusterRevision, Etcd};
use crate::http::{Bounds, HttpClient};
use crate::machine::{EndpointIndex, Item, Revision};
use crate::tls::Tls;
use crate::{Error, RequestError};
use settings::Limits;
use settings::operator::{RegistryConfig as Settings, RegistryKind};
use std::sync::Arc;
use std::time::Duration;

/// Lower bound for the connect timeout to the registry, which is otherwise that of backend connections.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The shortest lease; etcd counts leases in whole seconds.
const MIN_LEASE_S: u64 = 1;
/// The shortest session TTL that Consul accepts.
const MIN_CONSUL_SESSION_S: u64 = 10;

/// Creates clients of the registry's members.
#[derive(Clone)]
pub struct MemberConnector {
    settings: Settings,
    tls: Option<Arc<Tls>>,
    bounds: Bounds,
    /// The number of keys per page of a read from etcd.
    page: usize,
    /// How long a blocking query waits for a change.
    pub(super) query_wait: Duration,
    /// How long a watch may be silent before it is checked.
    pub(super) max_silence: Duration,
}

impl MemberConnector {
    /// Creates the connector; loads the TLS files.
    ///
    /// # Errors
    /// If a TLS file is unreadable or invalid.
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
            max_silence: limits.registry_watch_check_delay,
        })
    }

    /// Creates a client of one member without opening a connection.
    ///
    /// # Panics
    /// If `endpoint` is not the index of a configured member.
    pub fn client_for(&self, endpoint: EndpointIndex) -> MemberClient {
        let mut http_client =
            HttpClient::new(self.settings.endpoints[endpoint], self.tls.clone(), self.bounds);
        match self.settings.kind {
            RegistryKind::Etcd => MemberClient::Etcd(Etcd {
                http_client,
                credentials: self.settings.credentials.clone(),
                page: self.page,
            }),
            RegistryKind::Consul => {
                http_client.auth_header = self.settings.access_token.clone().map(|t| ("X-Consul-Token", t));
                MemberClient::Consul(Consul { http_client, service: self.settings.service.clone() })
            }
        }
    }
}

/// A client of one registry member.
pub enum MemberClient {
    /// A client of an etcd member.
    Etcd(Etcd),
    /// A client of a Consul member.
    Consul(Consul),
}

impl MemberClient {
    /// Reads all keys under a prefix, and the cluster ID and revision at which they were read.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn read(&mut self, prefix: &str) -> Result<(ClusterRevision, Vec<Item>), RequestError> {
        match self {
            MemberClient::Etcd(etcd) => etcd.read(prefix),
            MemberClient::Consul(consul) => {
                let (index, mut items) = consul.read(prefix, None)?;
                let (health_index, nodes) = consul.health(prefix, None)?;
                items.extend(nodes);
                Ok((ClusterRevision { cluster: 0, revision: index.max(health_index) }, items))
            }
        }
    }

    /// Sets a key, attached to a lease if given.
    ///
    /// # Errors
    /// If the request failed or was rejected.
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

    /// Sets a key if it has not changed since the revision `modified`; `false` otherwise.
    ///
    /// # Errors
    /// If the request failed or was rejected.
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

    /// Renews a lease; `false` if it has expired or was revoked.
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
