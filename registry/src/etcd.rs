//! Client for etcd's v3 API through its JSON gateway.
mod watch;
pub mod wire;

pub use watch::WatchEvent;

use crate::RequestError;
use crate::http::{HttpClient, Response};
use crate::machine::{Item, Revision};
use serde_json::{Value, json};
use settings::operator::Credentials;
use wire::{elements, encoded, item, number, prefix_end};

/// A client of one etcd member.
pub struct Etcd {
    /// The HTTP client; its auth header carries the login token.
    pub http_client: HttpClient,
    /// User and password, if etcd requires authentication.
    pub credentials: Option<Credentials>,
    /// The number of keys per page of a paged read.
    pub page: usize,
}

/// A revision of a registry cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterRevision {
    /// The cluster ID; 0 for Consul, which has none.
    pub cluster: u64,
    /// The revision of the cluster's data.
    pub revision: Revision,
}

/// A page of keys, from a read in several pages.
struct Page {
    cluster_revision: ClusterRevision,
    items: Vec<Item>,
    /// Whether the registry has more keys after the last key of this page.
    has_more: bool,
}

/// Reads cluster ID and revision from the header of a response.
fn cluster_revision(response: &Value) -> ClusterRevision {
    let header = &response["header"];
    ClusterRevision { cluster: number(header, "cluster_id"), revision: number(header, "revision") }
}

fn rejection(response: &Response) -> RequestError {
    let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let text = body["message"].as_str().or(body["error"].as_str()).unwrap_or("").to_string();
    if text.contains("compacted") {
        return RequestError::Compacted;
    }
    RequestError::Rejected {
        status: response.code,
        message: if text.is_empty() { response.text() } else { text },
    }
}

impl Etcd {
    /// Requests a login token; `false` if no credentials are configured.
    fn log_in(&mut self) -> Result<bool, RequestError> {
        let Some(Credentials { user, password }) = self.credentials.clone() else { return Ok(false) };
        let body = json!({"name": user, "password": password}).to_string();
        self.http_client.auth_header = None;
        let response = self.http_client.request("POST", "/v3/auth/authenticate", body.as_bytes())?;
        if response.code != 200 {
            return Err(rejection(&response));
        }
        let token = response.json()?["token"].as_str().map(str::to_string);
        let token = token
            .ok_or_else(|| RequestError::InvalidResponse { reason: "login response without token".into() })?;
        self.http_client.auth_header = Some(("Authorization", token));
        Ok(true)
    }

    fn log_in_if_needed(&mut self) -> Result<(), RequestError> {
        if self.credentials.is_some() && self.http_client.auth_header.is_none() {
            self.log_in()?;
        }
        Ok(())
    }

    fn post(&mut self, path: &str, body: &Value) -> Result<Value, RequestError> {
        self.log_in_if_needed()?;
        let body = body.to_string();
        let mut response = self.http_client.request("POST", path, body.as_bytes())?;
        // The token may have expired: log in again and repeat the request.
        if response.code == 401 && self.log_in()? {
            response = self.http_client.request("POST", path, body.as_bytes())?;
        }
        if response.code != 200 {
            return Err(rejection(&response));
        }
        response.json()
    }

    /// Reads the member's cluster ID and revision. The read is linearizable, so a member without contact to
    /// the leader fails it.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn cluster_revision(&mut self, prefix: &str) -> Result<ClusterRevision, RequestError> {
        let body = json!({"key": encoded(prefix), "limit": "1", "keys_only": true});
        Ok(cluster_revision(&self.post("/v3/kv/range", &body)?))
    }

    /// Reads all keys under a prefix at one revision, page by page.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn read(&mut self, prefix: &str) -> Result<(ClusterRevision, Vec<Item>), RequestError> {
        loop {
            if let Some(read) = self.read_pages(prefix)? {
                return Ok(read);
            }
        }
    }

    /// Reads all pages; `None` if the revision of the first page was compacted before the last one was read.
    fn read_pages(&mut self, prefix: &str) -> Result<Option<(ClusterRevision, Vec<Item>)>, RequestError> {
        let first = self.read_page(prefix, prefix.as_bytes(), None)?;
        let (cluster_revision, mut items, mut has_more) =
            (first.cluster_revision, first.items, first.has_more);
        while let Some(last) = items.last().filter(|_| has_more) {
            let from = [last.key.as_bytes(), b"\0"].concat();
            let page = match self.read_page(prefix, &from, Some(cluster_revision)) {
                Err(RequestError::Compacted) => return Ok(None),
                page => page?,
            };
            items.extend(page.items);
            has_more = page.has_more;
        }
        Ok(Some((cluster_revision, items)))
    }

    /// Reads the page that starts at the key `from`: at the revision of the first page, or at the newest
    /// revision if the page is the first one.
    fn read_page(
        &mut self,
        prefix: &str,
        from: &[u8],
        first: Option<ClusterRevision>,
    ) -> Result<Page, RequestError> {
        let mut body = json!({"key": encoded(from), "range_end": encoded(prefix_end(prefix)),
            "limit": self.page.to_string()});
        if let Some(first) = first {
            body["revision"] = json!(first.revision.to_string());
        }
        let response = self.post("/v3/kv/range", &body)?;
        let cluster_revision = cluster_revision(&response);
        if first.is_some_and(|first| first.cluster != cluster_revision.cluster) {
            return Err(RequestError::InvalidResponse {
                reason: "another cluster responded in the middle of a paged read".into(),
            });
        }
        let items = elements(&response, "kvs").iter().map(item).collect::<Result<Vec<_>, _>>()?;
        let has_more = response["more"] == true && !items.is_empty();
        Ok(Page { cluster_revision, items, has_more })
    }

    /// Checks whether any key under the prefix has changed after `revision`. Returns the current revision if
    /// none has, `None` otherwise. `keys` is the number of keys at `revision`: deletions are detected by a
    /// different count.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn unchanged_up_to(
        &mut self,
        prefix: &str,
        revision: Revision,
        keys: usize,
    ) -> Result<Option<Revision>, RequestError> {
        let end = encoded(prefix_end(prefix));
        let newer = json!({"key": encoded(prefix), "range_end": end, "keys_only": true, "limit": "1",
            "min_mod_revision": (revision + 1).to_string()});
        let response = self.post("/v3/kv/range", &newer)?;
        if !elements(&response, "kvs").is_empty() {
            return Ok(None);
        }
        let now = cluster_revision(&response).revision;
        let count = json!({"key": encoded(prefix), "range_end": end, "count_only": true,
            "revision": now.to_string()});
        let count = number(&self.post("/v3/kv/range", &count)?, "count");
        Ok((count as usize == keys).then_some(now))
    }

    /// Sets a key, attached to a lease if given; returns its new revision.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn put(&mut self, key: &str, value: &[u8], lease: Option<&str>) -> Result<Revision, RequestError> {
        let mut body = json!({"key": encoded(key), "value": encoded(value)});
        if let Some(lease) = lease {
            body["lease"] = json!(lease);
        }
        Ok(cluster_revision(&self.post("/v3/kv/put", &body)?).revision)
    }

    /// Sets a key if its modification revision is still `modified`; `false` otherwise.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn put_if(&mut self, key: &str, value: &[u8], modified: Revision) -> Result<bool, RequestError> {
        let compare = json!({"key": encoded(key), "target": "MOD", "result": "EQUAL",
            "mod_revision": modified.to_string()});
        let put = json!({"request_put": {"key": encoded(key), "value": encoded(value)}});
        let response = self.post("/v3/kv/txn", &json!({"compare": [compare], "success": [put]}))?;
        Ok(response["succeeded"] == true)
    }

    /// Creates a lease with a time to live in seconds; returns its ID.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn grant_lease(&mut self, ttl_s: u64) -> Result<String, RequestError> {
        let response = self.post("/v3/lease/grant", &json!({"TTL": ttl_s.to_string()}))?;
        match number(&response, "ID") {
            0 => Err(RequestError::InvalidResponse { reason: "response without lease ID".into() }),
            id => Ok(id.to_string()),
        }
    }

    /// Renews a lease; `false` if it has expired or was revoked.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn keep_alive(&mut self, lease: &str) -> Result<bool, RequestError> {
        let response = self.post("/v3/lease/keepalive", &json!({"ID": lease}))?;
        Ok(number(&response["result"], "TTL") > 0)
    }

    /// Revokes a lease; etcd deletes its keys at once.
    ///
    /// # Errors
    /// If the request failed or was rejected.
    pub fn revoke_lease(&mut self, lease: &str) -> Result<(), RequestError> {
        self.post("/v3/lease/revoke", &json!({"ID": lease})).map(|_| ())
    }
}
