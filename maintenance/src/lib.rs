//! Maintenance of database instances and drain of the router, both on operators' commands.
//!
//! An instance is a database server, identified by its id in the endpoint list. While it is in maintenance it
//! receives no new requests; once restored it warms up like an instance that has just started. A drain
//! gracefully ends the service of the whole router.
//!
//! - [`Machine`] is the state machine: it decides which instances are in maintenance, whether the router
//!   drains, and the response to each command. It does no I/O and reads no clock.
//! - [`StateFile`] stores the machine's [`State`], so that it survives a kill or an upgrade. The old and the
//!   new process of a router share the file.
//! - [`ProcessPresence`] counts how many processes of the router are alive, and how many of them accept
//!   clients.
//!
//! All times are in microseconds. Those in the file must come from a clock that all processes of the router
//! share: the wall clock, or one that counts from the start of the host.
//!
//! A command is applied to a copy of the machine while the file is locked. If the write fails, the copy is
//! dropped: otherwise a revision that was never stored would hide the one that another process stores under
//! the same number.
//!
//! ```
//! use decision::Time;
//! use maintenance::{Action, EndpointChange, Event, Machine, Settings, SharedFolderError, State, StateFile};
//!
//! fn apply(
//!     file: &StateFile,
//!     machine: &mut Machine,
//!     now: Time,
//!     command: Event,
//! ) -> Result<Vec<Action>, SharedFolderError> {
//!     let (mut next, mut actions) = (machine.clone(), Vec::new());
//!     let mut locked = file.lock()?;
//!     if let Some(state) = locked.read()? {
//!         next.handle(now, Event::StateRead(state), &mut actions);
//!     }
//!     next.handle(now, command, &mut actions);
//!     for action in &actions {
//!         if let Action::Persist(state) = action {
//!             locked.write(state)?;
//!         }
//!     }
//!     *machine = next;
//!     Ok(actions) // Next, apply the masks to the endpoint list, then respond to the operator.
//! }
//!
//! # let temporary = tempfile::tempdir().unwrap();
//! # let folder = temporary.path();
//! let file = StateFile::open(folder)?;
//! let settings = Settings { max_entries: 64, restored_retention: 60_000_000 };
//! let mut machine = Machine::new(settings, State::default());
//! let changes = vec![EndpointChange { id: "db-3".into(), listed: true }];
//! machine.handle(Time(0), Event::EndpointsUpdated { complete: true, changes }, &mut Vec::new());
//! let actions = apply(&file, &mut machine, Time(1), Event::Suspend("db-3".into()))?;
//! assert_eq!(actions.last(), Some(&Action::Respond(Ok(()))));
//!
//! // The next process starts from the stored state.
//! let state = file.lock()?.read()?.unwrap_or_default();
//! assert!(Machine::new(settings, state).mask().in_maintenance.contains("db-3"));
//! # Ok::<(), SharedFolderError>(())
//! ```
mod error;
mod interface;
mod limits;
mod machine;
mod presence;
mod state;
mod state_file;

pub use error::{FileOperation, SharedFolderError, UnusableReason};
pub use interface::{Action, EndpointChange, Event, MaintenanceError, MaintenanceMask, Settings};
pub use machine::Machine;
pub use presence::{OtherProcess, OtherProcesses, ProcessPresence};
pub use state::{MaintenanceEntry, State};
pub use state_file::{LockedStateFile, StateFile};
