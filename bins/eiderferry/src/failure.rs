//! Why the program ends without success.

use eiderferry_config::ConfigurationError;
use eiderferry_entry::{ControlStopped, StartError};
use eiderferry_platform_adapter::{CheckError, RunError};
use quick_error::quick_error;

/// Exit code for a document that can't be used.
const BAD_DOCUMENT: u8 = 2;
/// Exit code for a node that can't start.
const CANNOT_START: u8 = 3;
/// Exit code for a planned stop that cut requests off.
const CUT_OFF: u8 = 4;

/// Exit code for a node that gave no answer.
const NO_ANSWER: u8 = 5;
/// Exit code for something that the node does not know.
const NOT_FOUND: u8 = 6;

quick_error! {
    /// Why the program ends without success.
    #[derive(Debug)]
    pub enum Failure {
        /// A document can't be used.
        Document(cause: ConfigurationError) {
            from()
            display("{cause}")
        }
        /// The node can't start.
        Start(cause: StartError) {
            from()
            display("{cause}")
        }
        /// A document of the platform can't be used.
        PlatformDocument(cause: CheckError) {
            from()
            display("{cause}")
        }
        /// A relay on the platform can't run.
        Platform(cause: RunError) {
            from()
            display("{cause}")
        }
        /// The control thread ended by itself.
        Control(cause: ControlStopped) {
            from()
            display("{cause}")
        }
        /// Signals can't be watched.
        Signals(cause: std::io::Error) {
            display("can't watch for signals: {cause}")
        }
        /// The node could not be asked.
        Call(message: String) {
            display("the node gave no answer: {message}; check --node and --token")
        }
        /// The node knows nothing of it.
        NotFound(message: String) {
            display("{message}")
        }
        /// An argument is not understood.
        BadArgument(message: String) {
            display("{message}")
        }
        /// The drain limit passed with requests still running.
        CutOff {
            display("the drain limit passed with requests still running; raise `drain_limit_ms`")
        }
    }
}

impl Failure {
    /// The process's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Failure::Document(_) => BAD_DOCUMENT,
            Failure::PlatformDocument(_) => BAD_DOCUMENT,
            Failure::Platform(RunError::Settings(_)) => BAD_DOCUMENT,
            Failure::Platform(_) => CANNOT_START,
            Failure::Start(_) | Failure::Signals(_) | Failure::Control(_) => CANNOT_START,
            Failure::CutOff => CUT_OFF,
            Failure::Call(_) => NO_ANSWER,
            Failure::NotFound(_) => NOT_FOUND,
            Failure::BadArgument(_) => BAD_DOCUMENT,
        }
    }
}
