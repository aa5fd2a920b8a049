//! etcd's JSON gateway, version 3 of its interface.
mod watch;
pub mod wire;

pub use watch::WatchEvent;

use crate::RequestError;
use crate::http::{Member, Response};
use crate::machine::{Item, Revision};
use serde_json::{Value, json};
use settings::operator::Credentials;
use wire::{elements, encoded, item, number, prefix_end};

/// A client of one member of etcd.
pub struct Etcd {
    /// The member; its token is the header that authenticates.
    pub member: Member,
    /// User and password, where etcd wants them.
    pub credentials: Option<Credentials>,
    /// Keys in one page of a read.
    pub page: usize,
}

/// A cluster, and a revision in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterPosition {
    /// The cluster's id; 0 where the dialect has none.
    pub cluster: u64,
    /// The revision.
    pub revision: Revision,
}

/// One page of a read.
struct Page {
    position: ClusterPosition,
    items: Vec<Item>,
    /// There are keys behind the last one.
    has_more: bool,
}

/// The position in a response's header.
fn position(response: &Value) -> ClusterPosition {
    let header = &response["header"];
    ClusterPosition { cluster: number(header, "cluster_id"), revision: number(header, "revision") }
}

fn refusal(response: &Response) -> RequestError {
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
    /// Gets a token for the user; `false` where there is no user.
    fn log_in(&mut self) -> Result<bool, RequestError> {
        let Some(Credentials { user, password }) = self.credentials.clone() else { return Ok(false) };
        let body = json!({"name": user, "password": password}).to_string();
        self.member.auth_header = None;
        let response = self.member.request("POST", "/v3/auth/authenticate", body.as_bytes())?;
        if response.code != 200 {
            return Err(refusal(&response));
        }
        let token = response.json()?["token"].as_str().map(str::to_string);
        let token = token.ok_or_else(|| RequestError::InvalidResponse { reason: "no token".into() })?;
        self.member.auth_header = Some(("Authorization", token));
        Ok(true)
    }

    fn log_in_if_needed(&mut self) -> Result<(), RequestError> {
        if self.credentials.is_some() && self.member.auth_header.is_none() {
            self.log_in()?;
        }
        Ok(())
    }

    fn post(&mut self, path: &str, body: &Value) -> Result<Value, RequestError> {
        self.log_in_if_needed()?;
        let body = body.to_string();
        let mut response = self.member.request("POST", path, body.as_bytes())?;
        // A token expires after a while.
        if response.code == 401 && self.log_in()? {
            response = self.member.request("POST", path, body.as_bytes())?;
        }
        if response.code != 200 {
            return Err(refusal(&response));
        }
        response.json()
    }

    /// The member's position. The read goes through the cluster's leader: a member that is cut off can't answer it.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn position(&mut self, prefix: &str) -> Result<ClusterPosition, RequestError> {
        let body = json!({"key": encoded(prefix), "limit": "1", "keys_only": true});
        Ok(position(&self.post("/v3/kv/range", &body)?))
    }

    /// Everything under a prefix at one revision, page by page.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn read(&mut self, prefix: &str) -> Result<(ClusterPosition, Vec<Item>), RequestError> {
        loop {
            if let Some(read) = self.read_pages(prefix)? {
                return Ok(read);
            }
        }
    }

    /// All pages; `None` where the revision of the first has been compacted away before the last.
    fn read_pages(&mut self, prefix: &str) -> Result<Option<(ClusterPosition, Vec<Item>)>, RequestError> {
        let first = self.read_page(prefix, prefix.as_bytes(), None)?;
        let (position, mut items, mut has_more) = (first.position, first.items, first.has_more);
        while let Some(last) = items.last().filter(|_| has_more) {
            let from = [last.key.as_bytes(), b"\0"].concat();
            let page = match self.read_page(prefix, &from, Some(position)) {
                Err(RequestError::Compacted) => return Ok(None),
                page => page?,
            };
            items.extend(page.items);
            has_more = page.has_more;
        }
        Ok(Some((position, items)))
    }

    /// The page that begins at a key, at the position of the first page or, for that one, at the newest.
    fn read_page(
        &mut self,
        prefix: &str,
        from: &[u8],
        first: Option<ClusterPosition>,
    ) -> Result<Page, RequestError> {
        let mut body = json!({"key": encoded(from), "range_end": encoded(prefix_end(prefix)),
            "limit": self.page.to_string()});
        if let Some(first) = first {
            body["revision"] = json!(first.revision.to_string());
        }
        let response = self.post("/v3/kv/range", &body)?;
        let position = position(&response);
        if first.is_some_and(|first| first.cluster != position.cluster) {
            return Err(RequestError::InvalidResponse {
                reason: "another cluster answers in the middle of a read".into(),
            });
        }
        let items = elements(&response, "kvs").iter().map(item).collect::<Result<Vec<_>, _>>()?;
        let has_more = response["more"] == true && !items.is_empty();
        Ok(Page { position, items, has_more })
    }

    /// Where nothing under the prefix has changed behind this revision, the revision up to which that is so; `None` where
    /// something has. `keys` is the number of keys at the revision: deletions show in the count alone.
    ///
    /// # Errors
    /// The request failed or was refused.
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
        let now = position(&response).revision;
        let count = json!({"key": encoded(prefix), "range_end": end, "count_only": true,
            "revision": now.to_string()});
        let count = number(&self.post("/v3/kv/range", &count)?, "count");
        Ok((count as usize == keys).then_some(now))
    }

    /// Sets a key, under a lease where one is named; its new revision.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn put(&mut self, key: &str, value: &[u8], lease: Option<&str>) -> Result<Revision, RequestError> {
        let mut body = json!({"key": encoded(key), "value": encoded(value)});
        if let Some(lease) = lease {
            body["lease"] = json!(lease);
        }
        Ok(position(&self.post("/v3/kv/put", &body)?).revision)
    }

    /// Sets a key if it is still at this revision; `false` where it is not.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn put_if(&mut self, key: &str, value: &[u8], modified: Revision) -> Result<bool, RequestError> {
        let compare = json!({"key": encoded(key), "target": "MOD", "result": "EQUAL",
            "mod_revision": modified.to_string()});
        let put = json!({"request_put": {"key": encoded(key), "value": encoded(value)}});
        let response = self.post("/v3/kv/txn", &json!({"compare": [compare], "success": [put]}))?;
        Ok(response["succeeded"] == true)
    }

    /// Grants a lease for this many seconds; its id.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn grant_lease(&mut self, ttl_s: u64) -> Result<String, RequestError> {
        let response = self.post("/v3/lease/grant", &json!({"TTL": ttl_s.to_string()}))?;
        match number(&response, "ID") {
            0 => Err(RequestError::InvalidResponse { reason: "no lease".into() }),
            id => Ok(id.to_string()),
        }
    }

    /// Renews a lease; `false` where it is lost.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn keep_alive(&mut self, lease: &str) -> Result<bool, RequestError> {
        let response = self.post("/v3/lease/keepalive", &json!({"ID": lease}))?;
        Ok(number(&response["result"], "TTL") > 0)
    }

    /// Revokes a lease: its keys are deleted at once.
    ///
    /// # Errors
    /// The request failed or was refused.
    pub fn revoke_lease(&mut self, lease: &str) -> Result<(), RequestError> {
        self.post("/v3/lease/revoke", &json!({"ID": lease})).map(|_| ())
    }
}
