//! Answers requests that violate HTTP with a result code, like any other failure.

use std::io;

use ntex::{
    http::{
        Method, Response,
        error::DecodeError,
        h1::{Control, ControlAck, ProtocolError, control::Reason},
    },
    io::Base,
};
use savorykeel_policy::code::Code;

use crate::http::code_response;

/// Handles the control events of an HTTP/1 connection.
///
/// Protocol errors and requests for another protocol get a result code; every other
/// event gets the HTTP library's default handling.
pub(super) async fn handle_control(
    event: Control<Base, io::Error>,
) -> Result<ControlAck<Base>, io::Error> {
    Ok(match event {
        // The node never switches protocols, so a request for another one would wait
        // for ever.
        Control::Request(req) if req.get_ref().upgrade() => {
            let mechanism =
                if req.get_ref().method() == Method::CONNECT { "CONNECT" } else { "Upgrade" };
            req.fail_with(code_response(Code::BadRequest, format!("{mechanism} isn't served")))
        }
        Control::Disconnect(Reason::ProtocolError(error)) => {
            let response = protocol_response(error.err());
            error.fail_with(response)
        }
        other => other.ack(),
    })
}

/// Returns the answer to a protocol error; it closes the connection.
pub(super) fn protocol_response(error: &ProtocolError) -> Response {
    let code = match error {
        ProtocolError::Decode(DecodeError::MaxHeaders | DecodeError::TooLarge(_)) => {
            Code::HeadersTooLarge
        }
        _ => Code::BadRequest,
    };
    let mut response = code_response(code, error.to_string());
    response.head_mut().set_connection_type(ntex::http::ConnectionType::Close);
    response
}
