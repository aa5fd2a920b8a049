//! A user's name and password.

/// The name and the password of a user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credentials {
    /// The name.
    pub user: String,
    /// The password, in plain text.
    pub password: String,
}
