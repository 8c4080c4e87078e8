//! An operator's command, with the properties that the decision depends on.

/// The operation that a command requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// Read the current configuration.
    Read,
    /// Replace the whole configuration.
    Replace,
    /// Change individual items of the configuration.
    Update,
    /// Begin the evacuation of a zone: send no more requests to its runners.
    BeginEvacuation(String),
    /// Finish the evacuation of a zone: send requests to its runners again.
    FinishEvacuation(String),
}

/// The base version of a configuration command, as stated by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaseVersion {
    /// A single valid number.
    Given(u64),
    /// No base version is given.
    Missing,
    /// The base version is given more than once.
    Repeated,
    /// The value is not a decimal integer, or does not fit in 64 bits.
    Malformed,
}

impl BaseVersion {
    /// Parses the values of the header field that holds the base version.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut values = values.into_iter();
        let Some(value) = values.next() else {
            return Self::Missing;
        };
        if values.next().is_some() {
            return Self::Repeated;
        }
        let value = value.trim_ascii();
        let is_decimal = value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).ok().filter(|_| is_decimal);
        let number = text.and_then(|text| text.parse().ok());
        number.map_or(Self::Malformed, Self::Given)
    }
}

/// A command sent by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The requested operation.
    pub kind: CommandKind,
    /// The version that the command is based on; ignored for reads and evacuations.
    pub base: BaseVersion,
    /// The version in the body; `None` if it cannot be parsed.
    pub version: Option<u64>,
    /// The body of the command.
    pub body: Vec<u8>,
}

impl Command {
    /// Whether the command uses the evacuations register instead of the configuration register.
    pub fn is_evacuation(&self) -> bool {
        matches!(
            self.kind,
            CommandKind::BeginEvacuation(_) | CommandKind::FinishEvacuation(_)
        )
    }
}
