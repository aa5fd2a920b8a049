//! The operator's TOML file: the `MySQL` front, its classes, rules and servers, and the tables beside it. A key that is
//! not known is an error.
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
