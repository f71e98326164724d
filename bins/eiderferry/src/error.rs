//! Errors of the commands and their exit codes.

use eiderferry_config::ConfigurationError;
use eiderferry_entry::{ControlStopped, StartError};
use eiderferry_platform_adapter::{CheckError, RunError};
use quick_error::quick_error;

/// Exit code for an invalid document or argument.
const EXIT_INVALID_INPUT: u8 = 2;
/// Exit code for a node or relay that can't start or run.
const EXIT_START_FAILED: u8 = 3;
/// Exit code for a graceful shutdown that terminated requests at the drain limit.
const EXIT_DRAIN_TIMEOUT: u8 = 4;

/// Exit code for a failed call to a node.
const EXIT_CALL_FAILED: u8 = 5;
/// Exit code for a request that the node or the logs don't contain.
const EXIT_NOT_FOUND: u8 = 6;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// Settings or a configuration can't be read or are invalid.
        InvalidDocument(cause: ConfigurationError) {
            from()
            display("{cause}")
        }
        /// The entry node can't start.
        StartFailed(cause: StartError) {
            from()
            display("{cause}")
        }
        /// A document in the platform's format is invalid.
        InvalidPlatformDocument(cause: CheckError) {
            from()
            display("{cause}")
        }
        /// The relay on the users' platform can't run.
        RelayFailed(cause: RunError) {
            from()
            display("{cause}")
        }
        /// The control thread ended unexpectedly.
        ControlStopped(cause: ControlStopped) {
            from()
            display("{cause}")
        }
        /// The signal handlers can't be installed.
        SignalSetup(cause: std::io::Error) {
            display("can't install signal handlers: {cause}")
        }
        /// A call to the node's operator interface failed.
        CallFailed(message: String) {
            display("the call to the node failed: {message}; check --node and --token")
        }
        /// The node or the logs have no record of the request.
        NotFound(message: String) {
            display("{message}")
        }
        /// An argument, or a file that it names, is invalid.
        InvalidArgument(message: String) {
            display("{message}")
        }
        /// Requests were still running at the drain limit and were terminated.
        DrainTimeout {
            display(
                "requests were still running at the drain limit and were terminated; \
                 raise `drain_limit_ms`"
            )
        }
    }
}

impl CommandError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::InvalidDocument(_) => EXIT_INVALID_INPUT,
            CommandError::InvalidPlatformDocument(_) => EXIT_INVALID_INPUT,
            CommandError::RelayFailed(RunError::Settings(_)) => EXIT_INVALID_INPUT,
            CommandError::RelayFailed(_) => EXIT_START_FAILED,
            CommandError::StartFailed(_)
            | CommandError::SignalSetup(_)
            | CommandError::ControlStopped(_) => EXIT_START_FAILED,
            CommandError::DrainTimeout => EXIT_DRAIN_TIMEOUT,
            CommandError::CallFailed(_) => EXIT_CALL_FAILED,
            CommandError::NotFound(_) => EXIT_NOT_FOUND,
            CommandError::InvalidArgument(_) => EXIT_INVALID_INPUT,
        }
    }
}
