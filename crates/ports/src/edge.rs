//! Names of the headers exchanged with callers and backend servers at the edge of the mesh.
//!
//! The product has default names. A platform with other names passes its own set, so that no
//! other code depends on them.

/// Names of headers, in lower case.
///
/// A header without a name is neither written nor read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Milliseconds left until the deadline, from callers and to backend servers.
    pub deadline: &'static str,
    /// Request id sent to the backend server, which repeats it in its answer if it supports
    /// the header.
    pub request_id: &'static str,
    /// Whether callers choose the request id, in which case it is forwarded unchanged.
    pub callers_choose_id: bool,
    /// Whether all backend servers repeat the request id in their answers.
    pub answers_repeat_id: bool,
    /// Number of calls that led to this one.
    pub depth: Option<&'static str>,
    /// Service on whose instance the request entered the mesh.
    pub calling_service: Option<&'static str>,
    /// Name of the client account that sent the request, to the backend server.
    pub account: &'static str,
    /// Incarnation of the backend server that alone may run the request.
    pub expected_server: Option<&'static str>,
    /// Present in an answer if the backend server did not run the request.
    pub not_run: Option<&'static str>,
    /// Requests a second that the backend server takes, in its answers while it is in need.
    pub stated_rate: Option<&'static str>,
    /// Has the value `1` in the answers of a backend server that is leaving.
    pub leaving: Option<&'static str>,
    /// Prefix of headers that only nodes write; they are removed from forwarded requests and
    /// answers.
    pub own_prefix: Option<&'static str>,
}

/// Default names of the product.
pub const PRODUCT_HEADERS: HeaderNames = HeaderNames {
    deadline: "savorykeel-deadline-ms",
    request_id: "savorykeel-request-id",
    callers_choose_id: false,
    answers_repeat_id: false,
    depth: Some("savorykeel-depth"),
    calling_service: None,
    account: "savorykeel-account",
    expected_server: None,
    not_run: None,
    stated_rate: Some("savorykeel-server-rate"),
    leaving: Some("savorykeel-server-leaving"),
    own_prefix: Some("savorykeel-"),
};

impl HeaderNames {
    /// Returns whether nodes set this request header, so that a value from the caller is
    /// discarded.
    pub fn is_set_by_nodes(&self, name: &str) -> bool {
        let is_own = self.own_prefix.is_some_and(|prefix| name.starts_with(prefix));
        let optional_names = [self.depth, self.calling_service, self.expected_server];
        is_own
            || name == self.deadline
            || (name == self.request_id && !self.callers_choose_id)
            || optional_names.into_iter().flatten().any(|header| header == name)
    }

    /// Returns whether a header of a backend server's answer is removed before callers get it.
    pub fn is_hidden_from_callers(&self, name: &str) -> bool {
        self.own_prefix.is_some_and(|prefix| name.starts_with(prefix))
    }
}
