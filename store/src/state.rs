//! The keys and values of the store at one log index, as readers see them.
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;

/// The value of a key. A value is stored and exchanged in serialized form: the order of the fields must not
/// change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// The number of changes to this key since it was created, starting at 1.
    pub version: u64,
    /// The log index of the last command that changed the key.
    pub revision: u64,
    /// The epoch of the lease that the key is attached to, if any.
    pub lease_epoch: Option<u64>,
    /// The key's value.
    pub text: String,
}

/// An update of one key. An update is stored and exchanged in serialized form: the order of the fields must
/// not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The key to update.
    pub key: String,
    /// The new text; `None` deletes the key.
    pub text: Option<String>,
    /// The version that the key must have; 0 if the key must not exist. If `None`, any version is accepted.
    pub expected_version: Option<u64>,
}

impl Update {
    /// Parses the JSON of a control command, or of a log entry in the legacy format. Returns `None` if a
    /// field is missing or has the wrong type.
    pub(crate) fn from_json(json: &Json) -> Option<Update> {
        let expected_version = match json.get("expected") {
            None | Some(Json::Null) => None,
            Some(version) => Some(version.as_u64()?),
        };
        let text = match json.get("text") {
            None | Some(Json::Null) => None,
            Some(text) => Some(text.as_str()?.to_string()),
        };
        Some(Update { key: json.get("key")?.as_str()?.to_string(), text, expected_version })
    }
}

/// All keys at one log index. Cloning is cheap: clones share the unchanged parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The id of the store, 0 until it is assigned. Revisions of stores with different ids cannot be
    /// compared.
    pub store_id: u64,
    /// The log index of the last applied command.
    pub applied_index: u64,
    /// The log index of the last command that changed a key.
    pub revision: u64,
    keys: OrdMap<String, Value>,
}

impl State {
    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.keys.get(key)
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the store has no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The keys that start with a prefix, in lexical order.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Value)> {
        let from_prefix = self.keys.range(prefix.to_string()..);
        let matching = from_prefix.take_while(move |(key, _)| key.starts_with(prefix));
        matching.map(|(key, value)| (key.as_str(), value))
    }

    pub(crate) fn insert(&mut self, key: String, value: Value) {
        self.keys.insert(key, value);
    }

    pub(crate) fn remove(&mut self, key: &str) -> Option<Value> {
        self.keys.remove(key)
    }

    /// Parses a JSON snapshot in the legacy format, which had no clients and no leases. Returns `None` if a
    /// field is missing or has the wrong type. The format has no revisions, so all keys get the index of the
    /// last applied command.
    pub(crate) fn from_legacy_json(bytes: &[u8]) -> Option<State> {
        let snapshot: Json = serde_json::from_slice(bytes).ok()?;
        let applied_index = snapshot.get("applied")?.as_u64()?;
        let mut state = State { applied_index, revision: applied_index, ..State::default() };
        for entry in snapshot.get("keys")?.as_array()? {
            let (version, text) = (entry.get(1)?.as_u64()?, entry.get(2)?.as_str()?.to_string());
            let value = Value { version, revision: applied_index, lease_epoch: None, text };
            state.insert(entry.get(0)?.as_str()?.into(), value);
        }
        Some(state)
    }
}
