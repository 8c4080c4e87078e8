//! The first decision on an operator's request, before anything is read from the consensus.

use crate::codec::{CommandParseError, OperatorCodec};
use crate::operator_response::OperatorResponse;
use http1::Request;
use operator_commands::{Command, CommandKind};

/// How a controller handles a request.
pub(crate) enum RequestRoute {
    /// Responds immediately.
    Respond(OperatorResponse),
    /// Redirects the operator to a controller in contact with a majority, since this one must neither accept nor reject
    /// commands.
    Redirect,
    /// Executes the command.
    Execute(Command),
}

/// Decides how to handle a request. `is_in_contact` is only called if the request is a valid command.
pub(crate) fn route(
    request: Request,
    codec: &dyn OperatorCodec,
    zones: &[String],
    is_in_contact: impl FnOnce() -> bool,
) -> RequestRoute {
    let kind = match codec.parse_command(&request.method, &request.target) {
        Ok(kind) => kind,
        Err(CommandParseError::UnknownTarget) => {
            return respond(404, "there is no such call");
        }
        Err(CommandParseError::Rejected(status)) => return respond(status, "not this method"),
    };
    if names_unknown_zone(&kind, zones) {
        return respond(404, "there is no such zone");
    }
    if !is_in_contact() {
        return RequestRoute::Redirect;
    }
    RequestRoute::Execute(Command {
        kind,
        base: codec.base_version(&request.headers),
        version: codec.document_version(&request.body),
        body: request.body,
    })
}

fn names_unknown_zone(kind: &CommandKind, zones: &[String]) -> bool {
    match kind {
        CommandKind::BeginEvacuation(zone) | CommandKind::FinishEvacuation(zone) => {
            !zones.contains(zone)
        }
        _ => false,
    }
}

fn respond(status: u16, reason: &str) -> RequestRoute {
    RequestRoute::Respond(OperatorResponse::new(status, reason))
}
