//! discovery
