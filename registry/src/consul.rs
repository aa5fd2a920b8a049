//! Consul's KV store and health endpoint, with blocking queries. Each answer is the whole list at an index.
use crate::Failed;
use crate::http::{Member, Whole};
use crate::machine::{Item, Revision};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::{Value, json};
use std::time::Duration;

/// What stays as it is in a path.
const PATH: &AsciiSet = &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// What a Consul is asked with.
pub struct Consul {
    /// The member; its token is the proof.
    pub member: Member,
    /// Nodes come from this service's health besides the keys.
    pub service: Option<String>,
}

fn path(key: &str) -> String {
    utf8_percent_encode(key.trim_start_matches('/'), PATH).to_string()
}

fn failed(whole: &Whole) -> Failed {
    Failed::Refused(whole.code, whole.text())
}

impl Consul {
    fn get(&mut self, path: &str, silent: Option<Duration>) -> Result<(u64, Value), Failed> {
        let whole = match silent {
            Some(s) => self.member.whole_within("GET", path, b"", s)?,
            None => self.member.whole("GET", path, b"")?,
        };
        if !whole.leader {
            return Err(Failed::Broken("it knows no leader".into()));
        }
        // An index must be above zero; one that is not would make the next query return at once, over and over.
        let index = whole.index.unwrap_or(0).max(1);
        match whole.code {
            200 => Ok((index, whole.json()?)),
            404 => Ok((index, json!([]))),
            _ => Err(failed(&whole)),
        }
    }

    /// Everything under a prefix; where `after` is named, once it has changed behind that index or the wait is over.
    pub fn read(
        &mut self,
        prefix: &str,
        after: Option<(Revision, Duration)>,
    ) -> Result<(Revision, Vec<Item>), Failed> {
        let (mut query, mut silent) = (String::new(), None);
        if let Some((index, wait)) = after {
            query = format!("&index={index}&wait={}ms", wait.as_millis());
            // The server adds up to a sixteenth of the wait, so that not all come back at once.
            silent = Some(wait + wait / 16 + Duration::from_secs(2));
        }
        let (index, list) =
            self.get(&format!("/v1/kv/{}?recurse=true&consistent{query}", path(prefix)), silent)?;
        let item = |v: &Value| {
            let value = STANDARD.decode(v["Value"].as_str().unwrap_or(""));
            Ok(Item {
                key: format!("/{}", v["Key"].as_str().unwrap_or("").trim_start_matches('/')),
                value: value.map_err(|e| Failed::Broken(format!("a value is no base64: {e}")))?,
                created: v["CreateIndex"].as_u64().unwrap_or(0),
                modified: v["ModifyIndex"].as_u64().unwrap_or(0),
            })
        };
        let list = list.as_array().ok_or_else(|| Failed::Broken("no list of keys".into()))?;
        Ok((index, list.iter().map(item).collect::<Result<_, Failed>>()?))
    }

    /// The service's instances as nodes' keys: one with a failing check drains.
    pub fn health(
        &mut self,
        prefix: &str,
        after: Option<(Revision, Duration)>,
    ) -> Result<(Revision, Vec<Item>), Failed> {
        let Some(service) = self.service.clone() else { return Ok((0, Vec::new())) };
        let (mut query, mut silent) = (String::new(), None);
        if let Some((index, wait)) = after {
            query = format!("&index={index}&wait={}ms", wait.as_millis());
            silent = Some(wait + wait / 16 + Duration::from_secs(2));
        }
        let (index, list) =
            self.get(&format!("/v1/health/service/{}?consistent{query}", path(&service)), silent)?;
        let list = list.as_array().ok_or_else(|| Failed::Broken("no list of instances".into()))?;
        let node = |v: &Value| {
            let s = &v["Service"];
            let meta = |name: &str| s["Meta"][name].as_str();
            let passes = v["Checks"].as_array().is_none_or(|c| c.iter().all(|c| c["Status"] != "critical"));
            let host = s["Address"].as_str().filter(|a| !a.is_empty()).or(v["Node"]["Address"].as_str());
            let mut value = json!({
                "addr": format!("{}:{}", host.unwrap_or(""), s["Port"].as_u64().unwrap_or(0)),
                "state": if passes { "in_service" } else { "draining" },
                "zone": meta("zone").unwrap_or(""),
                "weight": s["Weights"]["Passing"].as_f64().unwrap_or(1.0),
            });
            if let Some(group) = meta("group") {
                value["group"] = group.parse::<u32>().map_or_else(|_| json!(group), |g| json!(g));
            }
            if let Some(role) = meta("role") {
                value["role"] = json!(role);
            }
            Item {
                key: format!("{prefix}nodes/{}", s["ID"].as_str().unwrap_or("")),
                value: value.to_string().into_bytes(),
                created: s["CreateIndex"].as_u64().unwrap_or(0),
                modified: s["ModifyIndex"].as_u64().unwrap_or(0),
            }
        };
        Ok((index, list.iter().map(node).collect()))
    }

    /// Sets a key, held by a session where one is named; `None` where another holds it.
    pub fn put(&mut self, key: &str, value: &[u8], session: Option<&str>) -> Result<bool, Failed> {
        let held = session.map_or(String::new(), |s| format!("?acquire={s}"));
        let whole = self.member.whole("PUT", &format!("/v1/kv/{}{held}", path(key)), value)?;
        Ok(whole.json()? == true)
    }

    /// Sets a key if it is still at this index.
    pub fn put_if(&mut self, key: &str, value: &[u8], modified: Revision) -> Result<bool, Failed> {
        let whole = self.member.whole("PUT", &format!("/v1/kv/{}?cas={modified}", path(key)), value)?;
        Ok(whole.json()? == true)
    }

    /// A session whose keys are deleted when it ends.
    pub fn grant(&mut self, ttl_s: u64) -> Result<String, Failed> {
        let body = json!({"TTL": format!("{ttl_s}s"), "Behavior": "delete", "LockDelay": "0s"}).to_string();
        let v = self.member.whole("PUT", "/v1/session/create", body.as_bytes())?.json()?;
        v["ID"].as_str().map(str::to_string).ok_or_else(|| Failed::Broken("no session".into()))
    }

    /// Renews a session; `false` where it is lost.
    pub fn keep(&mut self, session: &str) -> Result<bool, Failed> {
        let whole = self.member.whole("PUT", &format!("/v1/session/renew/{session}"), b"")?;
        match whole.code {
            200 => Ok(true),
            404 => Ok(false),
            _ => Err(failed(&whole)),
        }
    }

    /// Ends a session.
    pub fn revoke(&mut self, session: &str) -> Result<(), Failed> {
        self.member.whole("PUT", &format!("/v1/session/destroy/{session}"), b"")?.json().map(|_| ())
    }
}
