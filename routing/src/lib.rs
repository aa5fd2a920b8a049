//! routing
