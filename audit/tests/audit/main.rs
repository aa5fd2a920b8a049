//! Tests of the audit through its public interface.
mod encoding;
mod fence;
mod harness;
mod random;
mod record;
mod recorded_run;
mod stored_forms;
mod timeline;
mod tracker;
