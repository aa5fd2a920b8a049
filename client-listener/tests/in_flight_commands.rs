//! The counter of commands in flight: every order in which the threads of a connection may use it.
use routing::permit::CommandGate;

/// A step of one thread. Between two steps of one thread any steps of others may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The reader has read a command.
    Begin,
    /// The writer has the oldest response, and checks whether it is the last.
    CheckLast,
    /// It writes the response.
    Write,
    /// It finishes the command, and closes the connection if that was the last one.
    Finish,
    /// Shutdown, eviction or an idle timeout closes the connection if nothing is in flight.
    CloseIfIdle,
    /// A thread closes it whatever is in flight: its client takes no response.
    Close,
}

/// One connection, and what has happened on it.
#[derive(Default)]
struct Model {
    commands: CommandGate,
    accepted: usize,
    written: usize,
    finished: usize,
    /// How often the connection was closed in order, behind its last response.
    orderly_closes: usize,
    /// A thread closed it whatever was in flight.
    closed_by_force: bool,
    rejected: usize,
}

impl Model {
    /// Whether a thread can't take this step yet.
    fn is_blocked(&self, step: Step) -> bool {
        match step {
            Step::CheckLast | Step::Write => self.written == self.accepted,
            Step::Finish => self.finished == self.written,
            Step::Begin | Step::CloseIfIdle | Step::Close => false,
        }
    }

    fn step(&mut self, step: Step) {
        let was_closed = self.commands.is_closed();
        match step {
            Step::Begin => {
                let accepted = self.commands.permit_command().is_ok();
                assert_eq!(accepted, !was_closed, "accepted once closed, or rejected before");
                self.accepted += usize::from(accepted);
                self.rejected += usize::from(!accepted);
            }
            Step::CheckLast => {
                let in_flight = self.commands.count();
                let last = self.commands.permit_last_response().is_ok();
                assert_eq!(last, !was_closed && in_flight == 1);
                assert_eq!(
                    self.commands.is_closed(),
                    was_closed || last,
                    "closed though neither idle nor last"
                );
            }
            Step::Write => self.written += 1,
            Step::Finish => {
                self.finished += 1;
                if self.commands.finish() {
                    assert!(self.commands.is_closed());
                    self.close_in_order();
                }
            }
            Step::CloseIfIdle => {
                let idle = self.commands.permit_idle_close().is_ok();
                assert_eq!(
                    self.commands.is_closed(),
                    was_closed || idle,
                    "closed though neither idle nor last"
                );
                if idle {
                    self.close_in_order();
                }
            }
            Step::Close => {
                self.commands.close();
                self.closed_by_force = true;
            }
        }
        assert_eq!(self.commands.count(), self.accepted - self.finished);
    }

    /// The connection closes: every accepted command has its response, and none is accepted any more.
    fn close_in_order(&mut self) {
        self.orderly_closes += 1;
        assert_eq!(
            (self.accepted, self.accepted),
            (self.written, self.finished),
            "a response is lost to the close"
        );
        assert!(
            self.commands.is_closed() && self.commands.permit_command().is_err(),
            "a command is accepted after the close"
        );
    }
}

/// Runs every order of these threads' steps from the start, and counts the orders.
fn explore(threads: &[&[Step]]) -> usize {
    let mut orders = 0;
    let mut unexplored = vec![Vec::new()];
    while let Some(order) = unexplored.pop() {
        let (mut model, mut next_steps) = (Model::default(), vec![0; threads.len()]);
        for &thread in &order {
            let steps: &[Step] = threads[thread];
            model.step(steps[next_steps[thread]]);
            next_steps[thread] += 1;
        }
        let mut finished = true;
        for (thread, steps) in threads.iter().enumerate() {
            let Some(&step) = steps.get(next_steps[thread]) else { continue };
            // A blocked thread is tried again after every other step.
            if !model.is_blocked(step) {
                finished = false;
                let mut longer_order = order.clone();
                longer_order.push(thread);
                unexplored.push(longer_order);
            }
        }
        if finished {
            orders += 1;
            assert_eq!(
                model.finished, model.accepted,
                "{order:?}: the writer answers every accepted command"
            );
            // Closed once by the counter; a forced close beside it may come before the last response.
            assert!(
                model.orderly_closes <= 1 || model.closed_by_force && model.orderly_closes <= 2,
                "{order:?}: {} closes",
                model.orderly_closes
            );
            let played = threads.iter().zip(&next_steps).flat_map(|(steps, n)| &steps[..*n]);
            let attempted = played.filter(|s| **s == Step::Begin).count();
            assert_eq!(model.accepted + model.rejected, attempted, "{order:?}");
        }
    }
    orders
}

#[test]
fn no_order_of_reader_writer_and_closes_accepts_late_command_or_loses_response() {
    use Step::{Begin, CheckLast, Close, CloseIfIdle, Finish, Write};
    let writer = [CheckLast, Write, Finish, CheckLast, Write, Finish];
    // A reader and a writer, while shutdown and eviction close connections.
    assert_ne!(explore(&[&[Begin, Begin], &writer, &[CloseIfIdle, CloseIfIdle]]), 0);
    assert_ne!(explore(&[&[Begin, Begin], &writer, &[CloseIfIdle], &[CloseIfIdle]]), 0);
    // The writer finds that its client takes no responses.
    assert_ne!(explore(&[&[Begin, Begin], &writer, &[CloseIfIdle], &[Close]]), 0);
    // Commands answered on the reader's own thread.
    let alone = [Begin, CheckLast, Write, Finish, CloseIfIdle, Begin, CheckLast, Write, Finish];
    assert_ne!(explore(&[&alone, &[CloseIfIdle, CloseIfIdle], &[Close]]), 0);
}

#[test]
fn closed_counter_rejects_commands_and_lets_those_in_flight_finish() {
    let commands = CommandGate::default();
    assert!(commands.permit_command().is_ok() && commands.permit_command().is_ok());
    assert!(
        commands.permit_last_response().is_err() && commands.permit_idle_close().is_err(),
        "two are in flight"
    );
    commands.close();
    assert!(commands.is_closed() && commands.permit_command().is_err());
    assert_eq!(commands.count(), 2);
    assert!(
        commands.permit_last_response().is_err() && commands.permit_idle_close().is_err(),
        "it is closed already"
    );
    assert!(!commands.finish());
    assert!(commands.finish(), "the last one closes the connection");
    assert!(commands.permit_command().is_err() && commands.permit_idle_close().is_err());
}
