//! The names of the headers at the edge of the mesh, towards callers and backend
//! servers.
//!
//! The product has names of its own; a platform with others states them here, so
//! that nothing else has to know them.

/// Names of headers, in lower case.
///
/// A header that is absent from the set is neither written nor read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Carries the milliseconds left until the deadline, in and out.
    pub deadline: &'static str,
    /// Carries the id of a request towards the backend server, which repeats it in
    /// its answer where it knows the header.
    pub request_id: &'static str,
    /// Whether callers choose the id, so that it is passed on as it came.
    pub callers_choose_id: bool,
    /// Carries the number of calls above a call.
    pub depth: Option<&'static str>,
    /// Names the service on whose instance a request entered the mesh.
    pub calling_service: Option<&'static str>,
    /// Names the life of the backend server that alone may run a request.
    pub expected_server: Option<&'static str>,
    /// Marks an answer that says that the backend server did not run the request.
    pub not_run: Option<&'static str>,
    /// Prefix of headers that only nodes write; they are dropped from requests and
    /// answers that pass through.
    pub own_prefix: Option<&'static str>,
}

/// The product's own names.
pub const PRODUCT_HEADERS: HeaderNames = HeaderNames {
    deadline: "savorykeel-deadline-ms",
    request_id: "savorykeel-request-id",
    callers_choose_id: false,
    depth: Some("savorykeel-depth"),
    calling_service: None,
    expected_server: None,
    not_run: None,
    own_prefix: Some("savorykeel-"),
};

impl HeaderNames {
    /// Tells whether a header of a caller's request is set anew by the nodes, so
    /// that what the caller wrote is dropped.
    pub fn is_set_by_nodes(&self, name: &str) -> bool {
        let is_own = self.own_prefix.is_some_and(|prefix| name.starts_with(prefix));
        let optional_names = [self.depth, self.calling_service, self.expected_server];
        is_own
            || name == self.deadline
            || (name == self.request_id && !self.callers_choose_id)
            || optional_names.into_iter().flatten().any(|header| header == name)
    }

    /// Tells whether a header of a backend server's answer is kept from callers.
    pub fn is_hidden_from_callers(&self, name: &str) -> bool {
        self.own_prefix.is_some_and(|prefix| name.starts_with(prefix))
    }
}
