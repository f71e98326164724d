//! Why the program ends without success.

use eiderferry_config::ConfigurationError;
use eiderferry_entry::{ControlStopped, StartError};
use eiderferry_platform_adapter::{CheckError, RunError};
use quick_error::quick_error;

/// Exit code for a document that can't be used.
const EXIT_INVALID_INPUT: u8 = 2;
/// Exit code for a node that can't start.
const EXIT_START_FAILED: u8 = 3;
/// Exit code for a planned stop that cut requests off.
const EXIT_DRAIN_TIMEOUT: u8 = 4;

/// Exit code for a node that gave no answer.
const EXIT_CALL_FAILED: u8 = 5;
/// Exit code for something that the node does not know.
const EXIT_NOT_FOUND: u8 = 6;

quick_error! {
    /// Why the program ends without success.
    #[derive(Debug)]
    pub enum CommandError {
        /// A document can't be used.
        InvalidDocument(cause: ConfigurationError) {
            from()
            display("{cause}")
        }
        /// The node can't start.
        StartFailed(cause: StartError) {
            from()
            display("{cause}")
        }
        /// A document of the platform can't be used.
        InvalidPlatformDocument(cause: CheckError) {
            from()
            display("{cause}")
        }
        /// A relay on the platform can't run.
        RelayFailed(cause: RunError) {
            from()
            display("{cause}")
        }
        /// The control thread ended by itself.
        ControlStopped(cause: ControlStopped) {
            from()
            display("{cause}")
        }
        /// Signals can't be watched.
        SignalSetup(cause: std::io::Error) {
            display("can't watch for signals: {cause}")
        }
        /// The node could not be asked.
        CallFailed(message: String) {
            display("the node gave no answer: {message}; check --node and --token")
        }
        /// The node knows nothing of it.
        NotFound(message: String) {
            display("{message}")
        }
        /// An argument is not understood.
        InvalidArgument(message: String) {
            display("{message}")
        }
        /// The drain limit passed with requests still running.
        DrainTimeout {
            display("the drain limit passed with requests still running; raise `drain_limit_ms`")
        }
    }
}

impl CommandError {
    /// The process's exit code.
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
