//! The operator's TOML file: the `MySQL` front end with its classes, rules and servers, and the optional
//! tables of the other components. Unknown keys are rejected.
mod config;
mod credentials;
mod log;
mod mysql;
mod registry;
mod reload;
mod sessions;
mod store;
mod table;

pub use config::{OperatorConfig, read};
pub use credentials::Credentials;
pub use log::{LogConfig, RecordingConfig};
pub use mysql::{MysqlConfig, Server, StatementRule};
pub use registry::{RegistryConfig, RegistryKind, RegistryTls};
pub use reload::{Reload, reload};
pub use sessions::SessionsConfig;
pub use store::StoreConfig;
