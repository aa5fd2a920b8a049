//! Credentials of a database or registry user.

/// The name and password of a database or registry user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credentials {
    /// The user's name.
    pub user: String,
    /// The user's password, in plain text.
    pub password: String,
}
