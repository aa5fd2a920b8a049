//! postgres
