//! What the committed commands add up to.
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;

/// A key's value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Counts the changes of this key since it came to be.
    pub version: u64,
    /// Its text.
    pub text: String,
}

/// A command that changes one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Its new text; `None` removes it.
    pub text: Option<String>,
    /// Takes effect only at this version; 0 means that the key is not there.
    pub expected: Option<u64>,
}

impl Change {
    /// As it stands in the log.
    pub fn write(&self) -> Vec<u8> {
        json!({"key": self.key, "text": self.text, "expected": self.expected}).to_string().into_bytes()
    }

    /// From the log, or from a command.
    pub fn read(v: &Json) -> Option<Change> {
        let expected = match v.get("expected") {
            None | Some(Json::Null) => None,
            Some(x) => Some(x.as_u64()?),
        };
        let text = match v.get("text") {
            None | Some(Json::Null) => None,
            Some(x) => Some(x.as_str()?.to_string()),
        };
        Some(Change { key: v.get("key")?.as_str()?.to_string(), text, expected })
    }
}

/// All keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The index of the last command that is in it.
    pub applied: u64,
    keys: BTreeMap<String, Value>,
}

impl State {
    /// A key's value.
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.keys.get(key)
    }

    /// The keys that begin so.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Value)> {
        let from = self.keys.range(prefix.to_string()..);
        from.take_while(move |(k, _)| k.starts_with(prefix)).map(|(k, v)| (k.as_str(), v))
    }

    /// Applies a change: the key's new version, or the one that it has where another was expected.
    pub fn apply(&mut self, change: Change) -> Result<u64, u64> {
        let version = self.keys.get(&change.key).map_or(0, |v| v.version);
        if change.expected.is_some_and(|e| e != version) {
            return Err(version);
        }
        match change.text {
            Some(text) => {
                self.keys.insert(change.key, Value { version: version + 1, text });
                Ok(version + 1)
            }
            None => {
                self.keys.remove(&change.key);
                Ok(0)
            }
        }
    }

    /// The whole of it, for a snapshot.
    pub fn write(&self) -> Vec<u8> {
        let keys: Vec<Json> = self.keys.iter().map(|(k, v)| json!([k, v.version, v.text])).collect();
        json!({"applied": self.applied, "keys": keys}).to_string().into_bytes()
    }

    /// From a snapshot.
    pub fn read(bytes: &[u8]) -> Option<State> {
        let v: Json = serde_json::from_slice(bytes).ok()?;
        let mut keys = BTreeMap::new();
        for k in v.get("keys")?.as_array()? {
            let value = Value { version: k.get(1)?.as_u64()?, text: k.get(2)?.as_str()?.to_string() };
            keys.insert(k.get(0)?.as_str()?.to_string(), value);
        }
        Some(State { applied: v.get("applied")?.as_u64()?, keys })
    }
}
