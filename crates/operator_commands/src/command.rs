//! An operator's command, as far as decisions need it.

/// What a command asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// Read the newest configuration.
    Read,
    /// Put a whole configuration in place.
    Replace,
    /// Change named items of the configuration.
    Update,
    /// Send nothing more to the runners of a zone.
    BeginEvacuation(String),
    /// Take the evacuation of a zone back.
    FinishEvacuation(String),
}

/// The version that a configuration command builds on, as the operator states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaseVersion {
    /// Exactly one readable number.
    Given(u64),
    /// None is stated.
    Missing,
    /// It is stated more than once.
    Repeated,
    /// It is not a whole number in decimal digits, or too large.
    Malformed,
}

impl BaseVersion {
    /// Reads the values of the header field that carries it.
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

/// One command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// What it asks for.
    pub kind: CommandKind,
    /// The version that it builds on; of no meaning for reads and evacuations.
    pub base: BaseVersion,
    /// The version that its body bears, where that can be read.
    pub version: Option<u64>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Command {
    /// Whether the command is about the evacuations' register and not about the configuration's.
    pub fn is_evacuation(&self) -> bool {
        matches!(
            self.kind,
            CommandKind::BeginEvacuation(_) | CommandKind::FinishEvacuation(_)
        )
    }
}
